#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/outcome.h"
#include "agatevane/http/message.h"
#include <optional>

namespace agatevane::http {

//! An error answer in the format of RFC 7807 (problem details).
struct Problem {
    int status = 500;
    std::string title;
    std::string detail;
    std::optional<Outcome> outcome; //!< what is known about the work that the request asked for
    std::optional<int> retryAfterSeconds;
    std::string resultLink; //!< path at which the result can be requested later; empty if there is none
    Findings findings;
};

void writeProblem(const Problem& problem, Response& response);

} // namespace agatevane::http
