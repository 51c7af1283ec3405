#include "agatevane/http/problem.h"

#include <nlohmann/json.hpp>

namespace agatevane::http {

void writeProblem(const Problem& problem, Response& response)
{
    nlohmann::json body { { "type", "about:blank" }, { "status", problem.status }, { "title", problem.title } };
    if (!problem.detail.empty())
        body["detail"] = problem.detail;
    if (problem.outcome)
        body["outcome"] = nameOf(*problem.outcome);
    if (!problem.resultLink.empty())
        body["result"] = problem.resultLink;
    for (const auto& finding : problem.findings)
        body["findings"].push_back({ { "place", finding.place }, { "text", finding.text } });
    if (problem.retryAfterSeconds)
        response.headers.emplace("Retry-After", std::to_string(*problem.retryAfterSeconds));
    response.status = problem.status;
    response.contentType = "application/problem+json";
    // Text from callers may hold invalid UTF-8, for which the serializer would throw by default.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace agatevane::http
