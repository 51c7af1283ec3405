#include "load/verdict.h"

#include "agatevane/base/hash.h"
#include "agatevane/base/outcome.h"
#include <nlohmann/json.hpp>

namespace agatevane::load {

namespace {

    Judgement wrong(const std::string& reason)
    {
        return { Verdict::Wrong, reason };
    }

    //! Judges an answer that is not a success. It must be a problem document that states the outcome.
    Judgement judgeProblem(const http::ClientResult& result)
    {
        auto problem = nlohmann::json::parse(result.body, nullptr, false);
        auto outcome = problem.is_object() && problem.contains("outcome") && problem["outcome"].is_string()
            ? fromName<Outcome>(problem["outcome"].get<std::string>())
            : std::nullopt;
        if (!outcome || *outcome == Outcome::Done)
            return wrong("status " + std::to_string(result.status) + " without an outcome");
        bool needsRetryAfter = result.status == 429 || result.status == 503;
        if (needsRetryAfter && http::headerOf(result.headers, "Retry-After").empty())
            return wrong("status " + std::to_string(result.status) + " without Retry-After");
        return { *outcome == Outcome::NotRun ? Verdict::NotRun : Verdict::Unknown, {} };
    }

} // namespace

Judgement judgeCall(const LoadSettings& settings, const PlannedRequest& request, const http::ClientResult& result)
{
    if (result.error)
        return { Verdict::NoAnswer, {} };
    if (result.status != 200) {
        // If a worker failed the call, the entry VM passes on the worker's whole answer and states the outcome in a
        // header.
        if (http::headerOf(result.headers, "Agatevane-Outcome") == nameOf(Outcome::Done))
            return { Verdict::Done, {} };
        return judgeProblem(result);
    }
    auto answer = nlohmann::json::parse(result.body, nullptr, false);
    if (!answer.is_object())
        return wrong("the answer is cut off");
    if (answer.value("requestDigest", "") != digestOf(request.body)
        || answer.value("requestLength", std::size_t(0)) != request.body.size())
        return wrong("the answer is that of another request");
    if (answer.value("service", "") != settings.service.value)
        return wrong("the answer is that of another service");
    if (result.body.size() < static_cast<std::size_t>(settings.answerBytes))
        return wrong("the answer is too short");
    return { Verdict::Done, {} };
}

Judgement judgeJob(const http::ClientResult& result)
{
    if (result.error)
        return { Verdict::NoAnswer, {} };
    if (result.status != 202)
        return judgeProblem(result);
    auto answer = nlohmann::json::parse(result.body, nullptr, false);
    if (!answer.is_object() || answer.value("id", "").empty())
        return wrong("202 without a job id");
    return { Verdict::Done, {} };
}

} // namespace agatevane::load
