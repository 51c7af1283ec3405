#pragma once

#include "agatevane/claim_store/claim_store.h"
#include "agatevane/http/message.h"
#include "entry/call_request.h"
#include "entry/call_runner.h"
#include "entry/catalogue_source.h"
#include "entry/gate_table.h"
#include "entry/limit_table.h"

namespace agatevane::entry {

//! What the call route needs. The references outlive the HTTP server.
struct CallContext {
    CatalogueHolder& catalogue;
    CatalogueSource& source;
    WorkerClient& workers;
    WorkerRouter& router;
    GateTable& gates;
    LimitTable& limits;
    ClaimStore& claims;
    EntryMetrics& metrics;
    Millis defaultTimeout;
};

//! POST /v1/services/{service}/calls
void handleCall(CallContext& context, const http::Request& request, http::Response& response);

//! GET /v1/requests/{workspace}/{key}: the answer again, or what is known of it.
void showRequest(CallContext& context, const http::Request& request, http::Response& response);

} // namespace agatevane::entry
