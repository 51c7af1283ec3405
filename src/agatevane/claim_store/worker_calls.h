#pragma once

#include "agatevane/http/client.h"
#include "agatevane/idempotency/claim_flow.h"

//! Client calls of the worker's HTTP interface for non-idempotent requests.
namespace agatevane {

//! Sends the attempt once. `basePath` is the path prefix of the worker's address, often empty. An answer is accepted
//! only if its attempt id, length and digest match; otherwise the outcome is Unknown.
AttemptSent sendAttempt(http::Client& client, const std::string& basePath, const SendAttempt& action,
    const ServiceId& service, const std::string& body, Instant deadline);

//! Queries the state of the attempt. With `action.forbid`, the worker refuses it from then on if it has never seen it.
AttemptQueried queryAttempt(
    http::Client& client, const std::string& basePath, const QueryAttempt& action, Instant deadline);

} // namespace agatevane
