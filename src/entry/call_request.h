#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/work_class.h"
#include "agatevane/http/message.h"

namespace agatevane::entry {

//! The options of a call, from the headers of its request.
struct CallOptions {
    WorkClass workClass = WorkClass::Standard;
    Millis timeout { 0 };
    bool isIdempotent = false; //!< the call may run more than once
    std::string idempotencyKey;
};

//! Reads the options from the headers and returns every invalid header. A request that is not idempotent needs a key:
//! without one, its caller could neither repeat it safely nor query its outcome.
Findings readCallOptions(const http::Request& request, Millis defaultTimeout, CallOptions& options);

} // namespace agatevane::entry
