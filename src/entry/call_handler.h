#pragma once

#include "agatevane/http/message.h"
#include "entry/catalogue_snapshot.h"
#include "entry/worker_client.h"

namespace agatevane::entry {

//! What the call route needs. The references outlive the HTTP server.
struct CallContext {
    CatalogueHolder& catalogue;
    WorkerClient& workers;
    Millis defaultTimeout;
};

//! POST /v1/services/{service}/calls
void handleCall(CallContext& context, const http::Request& request, http::Response& response);

} // namespace agatevane::entry
