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
    //! Every eighth job has checkpoints of this length, so that its progress does not fit into one record.
    constexpr std::uint64_t longCheckpointInterval = 8;
    constexpr int longCheckpointBytes = 40000;
    constexpr int statusOk = 200;
    constexpr int statusGone = 410;
    //! Tasks of jobs that are cancelled soon would last longer than the bound for the end of their runs.
    constexpr std::int64_t shortestCancelledMs = 12000;
    constexpr std::int64_t longestCancelledMs = 20000;
    constexpr std::int64_t shortestCancelDelayMs = 700;
    constexpr std::int64_t longestCancelDelayMs = 1500;

    bool isRefusal(int status)
    {
        return status == 429 || status == 503;
    }

} // namespace

Callers::Callers(Ledger& ledger, std::vector<int> ports, std::uint64_t seed, int cancelSoonPercent)
    : ledger_(ledger)
    , ports_(std::move(ports))
    , random_(seed)
    , client_(context_)
    , cancelSoonPercent_(cancelSoonPercent)
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
    return std::any_of(ledger_.jobs.begin(), ledger_.jobs.end(), [](const auto& each) { return each.second.isOpen(); });
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
        while (!soonCancels_.empty() && soonCancels_.begin()->first <= atMs)
            cancelSoon(soonCancels_.extract(soonCancels_.begin()).mapped());
        if (atMs >= nextQueryMs_) {
            nextQueryMs_ = atMs + queryIntervalMs;
            queryStates();
        }
        context_.restart();
        context_.run_for(Millis(5));
    }
}

std::size_t Callers::anyNode()
{
    return static_cast<std::size_t>(uniform(random_, 0, static_cast<std::int64_t>(ports_.size()) - 1));
}

std::size_t Callers::nodeOtherThan(std::size_t node)
{
    if (ports_.size() < 2)
        return node;
    auto other = static_cast<std::size_t>(uniform(random_, 0, static_cast<std::int64_t>(ports_.size()) - 2));
    return other < node ? other : other + 1;
}

void Callers::send(std::size_t node, const std::string& method, const std::string& job, const std::string& body,
    event_http::ResponseHandler done)
{
    client_.send({ "127.0.0.1", ports_.at(node) },
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
    bool hasLongCheckpoints = std::stoull(id, nullptr, 16) % longCheckpointInterval == 0;
    auto checkpointBytes = hasLongCheckpoints ? longCheckpointBytes : 0;
    auto payload = "ms=" + std::to_string(durationMs)
        + (job.isGang ? " gang=" + std::to_string(job.tasks) : " saves=" + std::to_string(checkpointBytes));
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
    job.isCancelledSoon = cancelSoonPercent_ > 0 && uniform(random_, 1, 100) <= cancelSoonPercent_;
    if (job.isCancelledSoon)
        durations_[id] = uniform(random_, shortestCancelledMs, longestCancelledMs);
    attempt(id, 1);
}

void Callers::attempt(const std::string& id, int attempts)
{
    auto node = anyNode();
    send(node, "POST", id, bodyOf(id),
        [this, id, attempts, node](std::error_code error, const event_http::Response& response) {
            recordSubmission(id, attempts, node, error, error ? 0 : response.status);
        });
}

void Callers::recordSubmission(const std::string& id, int attempts, std::size_t node, std::error_code error, int status)
{
    auto& job = ledger_.jobs.at(id);
    if (!error && status == statusOk) {
        if (job.isCancelledSoon && job.acceptedMs < 0)
            soonCancels_.emplace(
                nowMs() + uniform(random_, shortestCancelDelayMs, longestCancelDelayMs), SoonCancel { id, node });
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
        cancel(open[static_cast<std::size_t>(uniform(random_, 0, static_cast<std::int64_t>(open.size()) - 1))],
            anyNode(), [] {});
}

//! `repeat` is called if the cancellation is not acknowledged.
void Callers::cancel(const std::string& id, std::size_t node, const std::function<void()>& repeat)
{
    auto& job = ledger_.jobs.at(id);
    job.cancelSentMs = job.cancelSentMs < 0 ? nowMs() : job.cancelSentMs;
    send(node, "DELETE", id, {}, [this, id, repeat](std::error_code error, const event_http::Response& response) {
        if (error || (response.status != statusOk && response.status != statusGone))
            return repeat();
        auto& acked = ledger_.jobs.at(id).cancelAckedMs;
        acked = acked < 0 ? nowMs() : acked;
    });
}

//! Cancels through another node than the one that accepted the job, until the cancellation is acknowledged.
void Callers::cancelSoon(const SoonCancel& soon)
{
    cancel(
        soon.job, nodeOtherThan(soon.acceptedBy), [this, soon] { soonCancels_.emplace(nowMs() + retryDelayMs, soon); });
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
        send(anyNode(), "GET", id, {}, [this, id, sentMs](std::error_code error, const event_http::Response& response) {
            if (error)
                return;
            auto body = nlohmann::json::parse(response.body, nullptr, false);
            auto state = body.is_object() && body.contains("state") ? body["state"].get<std::string>() : "";
            recordState(ledger_, id, { response.status, state, sentMs, nowMs() });
        });
    }
}

} // namespace agatevane::soak
