#include "agatevane/claim_store/worker_calls.h"

#include "agatevane/base/error.h"
#include "agatevane/json/reader.h"

namespace agatevane {

namespace {

    //! Returns the answer of the attempt; nothing if it is truncated, corrupted or belongs to another attempt.
    std::optional<ClaimAnswer> intactAnswer(http::ClientResult& result, const AttemptId& attempt)
    {
        auto answer
            = makeClaimAnswer(result.status, http::headerOf(result.headers, "Content-Type"), std::move(result.body));
        bool isIntact = http::headerOf(result.headers, "Agatevane-Attempt") == attempt.value
            && http::headerOf(result.headers, "Agatevane-Length") == std::to_string(answer.length)
            && http::headerOf(result.headers, "Agatevane-Digest") == answer.digest;
        return isIntact ? std::optional(std::move(answer)) : std::nullopt;
    }

    //! Returns the reason for which a worker refused before the start; empty if the answer is not such a refusal.
    std::string refusalOf(const http::ClientResult& result)
    {
        Findings findings;
        nlohmann::json body;
        std::string title;
        if ((result.status != 503 && result.status != 410) || !json::parse(result.body, "body", body, findings))
            return {};
        json::ObjectReader reader(body, "", findings);
        reader.read(result.status == 503 ? "title" : "state", title);
        bool isKnown = title == "leaving" || title == "full" || title == "other_instance" || title == "forbidden";
        return isKnown ? title : std::string();
    }

} // namespace

AttemptSent sendAttempt(http::Client& client, const std::string& basePath, const SendAttempt& action,
    const ServiceId& service, const std::string& body, Instant deadline)
{
    nlohmann::json message { { "attempt", action.attempt.value }, { "service", service.value }, { "body", body } };
    auto result = client.request("POST", basePath + "/v1/calls", json::dump(message), deadline,
        { { "Agatevane-Attempt", action.attempt.value }, { "Agatevane-Instance", action.worker.instance } });
    if (result.error == Errc::Unreachable)
        return { SendOutcome::Refused, {}, "the worker cannot be reached" };
    if (result.error)
        return {};
    // A digest marks an answer of the service, even if its status looks like a refusal by the worker.
    if (http::headerOf(result.headers, "Agatevane-Digest").empty()) {
        auto refusal = refusalOf(result);
        return refusal.empty() ? AttemptSent {} : AttemptSent { SendOutcome::Refused, {}, refusal };
    }
    auto answer = intactAnswer(result, action.attempt);
    return answer ? AttemptSent { SendOutcome::Answered, std::move(*answer), "" } : AttemptSent {};
}

AttemptQueried queryAttempt(
    http::Client& client, const std::string& basePath, const QueryAttempt& action, Instant deadline)
{
    auto path = basePath + "/v1/calls/" + action.attempt.value + (action.forbid ? "/forbid" : "");
    auto result = client.request(action.forbid ? "POST" : "GET", path, "", deadline);
    if (result.error || http::headerOf(result.headers, "Agatevane-Attempt") != action.attempt.value)
        return {};
    AttemptQueried queried { AttemptState::Unreachable, http::headerOf(result.headers, "Agatevane-Instance"), {} };
    auto state = http::headerOf(result.headers, "Agatevane-Call-State");
    if (state == "running")
        queried.state = AttemptState::Running;
    else if (state == "never_seen")
        queried.state = AttemptState::NeverSeen;
    else if (state == "forbidden")
        queried.state = AttemptState::Forbidden;
    else if (state == "done") {
        if (auto answer = intactAnswer(result, action.attempt)) {
            queried.state = AttemptState::Done;
            queried.answer = std::move(*answer);
        }
    }
    return queried;
}

} // namespace agatevane
