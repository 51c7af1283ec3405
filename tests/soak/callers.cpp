#include "tests/soak/callers.h"

#include "agatevane/base/error.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace agatevane::soak {

namespace {

    constexpr Millis requestTimeout { 3000 };
    constexpr int maxAttempts = 5;
    constexpr std::int64_t retryDelayMs = 400;
    constexpr std::int64_t queryIntervalMs = 250;
    constexpr int queriesPerRound = 4;
    constexpr int statusOk = 200;

    bool isRefusal(int status)
    {
        return status == 429 || status == 503;
    }

} // namespace

Callers::Callers(Ledger& ledger, std::vector<int> ports, std::uint64_t seed)
    : ledger_(ledger)
    , ports_(std::move(ports))
    , random_(seed)
    , client_(context_)
{
}

std::int64_t Callers::nowMs() const
{
    return elapsed(Instant {}, now()).count();
}

int Callers::answerCount(int status) const
{
    auto found = answers_.find(status);
    return found == answers_.end() ? 0 : found->second;
}

bool Callers::hasUnfinishedJobs() const
{
    return std::any_of(
        ledger_.jobs.begin(), ledger_.jobs.end(), [](const auto& each) { return each.second.mustStillEnd(); });
}

void Callers::run(Millis span)
{
    auto end = now() + span;
    while (now() < end) {
        auto atMs = nowMs();
        if (isSubmitting_ && atMs >= nextSubmitMs_) {
            nextSubmitMs_ = atMs + uniform(random_, 80, 400);
            submitNew();
        }
        if (isSubmitting_ && atMs >= nextCancelMs_) {
            nextCancelMs_ = atMs + uniform(random_, 500, 2500);
            cancelRandomJob();
        }
        while (!retries_.empty() && retries_.begin()->first <= atMs) {
            auto next = retries_.begin()->second;
            retries_.erase(retries_.begin());
            attempt(next.job, next.attempts);
        }
        if (atMs >= nextQueryMs_) {
            nextQueryMs_ = atMs + queryIntervalMs;
            queryStates();
        }
        context_.restart();
        context_.run_for(Millis(5));
    }
}

void Callers::send(
    const std::string& method, const std::string& job, const std::string& body, event_http::ResponseHandler done)
{
    auto port = ports_.at(static_cast<std::size_t>(uniform(random_, 0, static_cast<std::int64_t>(ports_.size()) - 1)));
    client_.send({ "127.0.0.1", port },
        { method, "/jobs/" + job,
            { { "X-Agatevane-Credential", key_ },
                { "X-Agatevane-Deadline-Milliseconds", std::to_string(requestTimeout.count()) } },
            body },
        now() + requestTimeout, [this, done = std::move(done)](std::error_code error, event_http::Response response) {
            ++answers_[error ? 0 : response.status];
            done(error, std::move(response));
        });
}

std::string Callers::bodyOf(const std::string& id) const
{
    const auto& job = ledger_.jobs.at(id);
    auto durationMs = durations_.at(id);
    auto payload = "ms=" + std::to_string(durationMs) + (job.isGang ? " gang=" + std::to_string(job.tasks) : " saves");
    nlohmann::json step { { "count", job.tasks }, { "cpu", 1000 }, { "gpu", job.acceleratorsPerTask },
        { "estimatedMs", durationMs } };
    step[job.isGang ? "gang" : "enableCheckpoints"] = true;
    return nlohmann::json { { "specification", payload }, { "steps", nlohmann::json::array({ step }) } }.dump();
}

void Callers::submitNew()
{
    auto id = toHex(nextJob_++);
    auto& job = ledger_.jobs[id];
    job.tasks = static_cast<int>(uniform(random_, 1, 4));
    job.isGang = job.tasks > 1 && uniform(random_, 0, 1) == 0;
    job.acceleratorsPerTask = 1 << uniform(random_, 0, 3);
    job.firstSentMs = nowMs();
    durations_[id] = uniform(random_, 200, 2500);
    attempt(id, 1);
}

void Callers::attempt(const std::string& id, int attempts)
{
    send("POST", id, bodyOf(id), [this, id, attempts](std::error_code error, const event_http::Response& response) {
        recordSubmission(id, attempts, error, error ? 0 : response.status);
    });
}

void Callers::recordSubmission(const std::string& id, int attempts, std::error_code error, int status)
{
    auto& job = ledger_.jobs.at(id);
    if (!error && status == statusOk) {
        job.acceptedMs = job.acceptedMs < 0 ? nowMs() : job.acceptedMs;
        // Some accepted submissions are repeated later: a repeat must not create another job.
        if (attempts <= maxAttempts && uniform(random_, 0, 9) == 0)
            retries_.emplace(nowMs() + uniform(random_, 100, 3000), Pending { id, maxAttempts + 1 });
        return;
    }
    if (error ? error != Errc::Unreachable : !isRefusal(status))
        job.mayHaveArrived = true;
    if (attempts >= maxAttempts) {
        job.isGivenUp = job.isGivenUp || attempts == maxAttempts;
        return;
    }
    retries_.emplace(nowMs() + uniform(random_, retryDelayMs / 2, retryDelayMs * 2), Pending { id, attempts + 1 });
}

void Callers::cancelRandomJob()
{
    std::vector<std::string> open;
    for (const auto& [id, job] : ledger_.jobs) {
        if (job.mustStillEnd())
            open.push_back(id);
    }
    if (!open.empty())
        cancel(open[static_cast<std::size_t>(uniform(random_, 0, static_cast<std::int64_t>(open.size()) - 1))]);
}

void Callers::cancel(const std::string& id)
{
    ledger_.jobs.at(id).cancelSentMs = nowMs();
    send("DELETE", id, {}, [this, id](std::error_code error, const event_http::Response& response) {
        if (!error && (response.status == statusOk || response.status == 410))
            ledger_.jobs.at(id).cancelAckedMs = nowMs();
    });
}

void Callers::queryStates()
{
    std::vector<std::string> known;
    for (const auto& [id, job] : ledger_.jobs) {
        if (job.acceptedMs >= 0 && (job.endedMs < 0 || uniform(random_, 0, 19) == 0))
            known.push_back(id);
    }
    std::shuffle(known.begin(), known.end(), random_);
    known.resize(std::min<std::size_t>(known.size(), queriesPerRound));
    for (const auto& id : known) {
        auto sentMs = nowMs();
        send("GET", id, {}, [this, id, sentMs](std::error_code error, const event_http::Response& response) {
            if (error)
                return;
            auto body = nlohmann::json::parse(response.body, nullptr, false);
            auto state = body.is_object() && body.contains("state") ? body["state"].get<std::string>() : "";
            recordState(ledger_, id, { response.status, state, sentMs, nowMs() });
        });
    }
}

} // namespace agatevane::soak
