#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/work_class.h"
#include "agatevane/http/message.h"

namespace agatevane::entry {

//! The headers of a short request.
struct CallOptions {
    WorkClass workClass = WorkClass::Standard;
    Millis timeout { 0 };
    bool isIdempotent = false; //!< may run more than once
    std::string idempotencyKey;
};

//! Returns every fault of the headers. A request that is not idempotent needs a key: without one, its caller could
//! neither repeat it safely nor ask what became of it.
Findings readCallOptions(const http::Request& request, Millis defaultTimeout, CallOptions& options);

} // namespace agatevane::entry
