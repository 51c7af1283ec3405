#pragma once

#include "agatevane/claim_store/claim_store.h"
#include "agatevane/http/message.h"
#include "entry/call_request.h"
#include "entry/call_runner.h"
#include "entry/fresh_catalogue.h"
#include "entry/gate_table.h"
#include "entry/limit_table.h"

namespace agatevane::entry {

//! Objects that the call routes use. They must outlive the HTTP server.
struct CallContext {
    FreshCatalogue catalogue;
    WorkerClient& workerClient;
    WorkerRouter& router;
    GateTable& gates;
    LimitTable& limits;
    ClaimStore& claims;
    EntryMetrics& metrics;
    Millis defaultTimeout;
};

//! Serves POST /v1/services/{service}/calls: runs the call and writes its answer.
void handleCall(CallContext& context, const http::Request& request, http::Response& response);

//! Serves GET /v1/requests/{workspace}/{key}: writes the recorded answer, or what is known of the request's outcome.
void showRequest(CallContext& context, const http::Request& request, http::Response& response);

} // namespace agatevane::entry
