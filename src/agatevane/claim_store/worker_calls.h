#pragma once

#include "agatevane/http/client.h"
#include "agatevane/idempotency/claim_flow.h"

//! The part of the worker's HTTP interface that non-idempotent requests need.
namespace agatevane {

//! Sends the attempt once. `basePath` is the worker's, often empty. An answer counts only if its attempt id, length and
//! digest fit.
AttemptSent sendAttempt(http::Client& client, const std::string& basePath, const SendAttempt& action,
    const ServiceId& service, const std::string& body, Instant deadline);

//! Asks what became of the attempt, or forbids it if it was never seen.
AttemptQueried queryAttempt(
    http::Client& client, const std::string& basePath, const QueryAttempt& action, Instant deadline);

} // namespace agatevane
