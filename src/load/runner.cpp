#include "load/runner.h"

#include "agatevane/base/hash.h"
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace agatevane::load {

namespace {

    constexpr Millis lateStartThreshold { 100 };
    constexpr Millis answerMargin {
        3000
    }; //!< An entry VM answers by the deadline; waiting this much longer allows for delays.
    constexpr Millis jobTimeout { 35000 };
    constexpr Millis workerControlTimeout { 30000 };
    constexpr std::size_t maxWrongAnswersListed = 20;

} // namespace

void VerdictCounts::add(Verdict verdict, double latencyMs)
{
    ++verdicts[verdict];
    if (verdict == Verdict::Done)
        latenciesMs.push_back(latencyMs);
}

std::uint64_t VerdictCounts::count(Verdict verdict) const
{
    auto found = verdicts.find(verdict);
    return found == verdicts.end() ? 0 : found->second;
}

std::uint64_t VerdictCounts::total() const
{
    std::uint64_t sum = 0;
    for (const auto& [verdict, count] : verdicts)
        sum += count;
    return sum;
}

Runner::Runner(const LoadSettings& settings)
    : settings_(settings)
{
    entries_.reserve(settings.entries.size());
    for (const auto& entry : settings.entries)
        entries_.push_back(std::make_unique<http::Client>(entry));
}

Report Runner::run(const std::vector<PlannedRequest>& plan)
{
    std::atomic<std::size_t> next = 0;
    auto start = now() + Millis(20);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(settings_.threads));
    for (int i = 0; i < settings_.threads; ++i) {
        threads.emplace_back([&] {
            for (auto index = next++; index < plan.size(); index = next++) {
                auto planned = start + plan[index].at;
                std::this_thread::sleep_until(planned);
                send(plan[index], planned);
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    if (settings_.workerControl)
        checkExecutions();
    return std::move(report_);
}

void Runner::send(const PlannedRequest& request, Instant planned)
{
    if (now() - planned > lateStartThreshold) {
        std::lock_guard lock(mutex_);
        ++report_.lateStarts;
    }
    auto result = post(request, request.entry);
    auto judgement = request.kind == RequestKind::Call ? judgeCall(settings_, request, result) : judgeJob(result);
    record(request, judgement, std::chrono::duration<double, std::milli>(now() - planned).count());
    if (!request.isRepeated)
        return;
    auto repeatResult = post(request, (request.entry + 1) % entries_.size());
    auto repeatJudgement
        = request.kind == RequestKind::Call ? judgeCall(settings_, request, repeatResult) : judgeJob(repeatResult);
    if (repeatJudgement.verdict == Verdict::Wrong)
        reportWrong("repeat: " + repeatJudgement.reason);
    bool bothDone = judgement.verdict == Verdict::Done && repeatJudgement.verdict == Verdict::Done;
    if (bothDone && request.kind == RequestKind::Call && result.body != repeatResult.body)
        reportWrong("the repeat got another answer");
    if (judgement.verdict == Verdict::Done && repeatJudgement.verdict == Verdict::NotRun && repeatResult.status != 429
        && repeatResult.status != 503)
        reportWrong("done at first, not run at the repeat");
    if (repeatJudgement.verdict != Verdict::NotRun) {
        std::lock_guard lock(mutex_);
        notRunBodies_.erase(digestOf(request.body));
    }
}

http::ClientResult Runner::post(const PlannedRequest& request, std::size_t entry)
{
    http::Headers headers { { "Authorization", "Bearer " + settings_.callers[request.caller].token } };
    if (!request.key.empty())
        headers.emplace("Idempotency-Key", request.key);
    if (request.kind == RequestKind::Job)
        return entries_[entry]->request("POST", "/v1/jobs", request.body, now() + jobTimeout, headers);
    headers.emplace("Agatevane-Class", std::string(nameOf(request.workClass)));
    headers.emplace("Agatevane-Deadline-Ms", std::to_string(settings_.deadline.count()));
    if (request.isIdempotent)
        headers.emplace("Agatevane-Idempotent", "true");
    return entries_[entry]->request("POST", "/v1/services/" + settings_.service.value + "/calls", request.body,
        now() + settings_.deadline + answerMargin, headers);
}

void Runner::record(const PlannedRequest& request, const Judgement& judgement, double latencyMs)
{
    {
        std::lock_guard lock(mutex_);
        if (request.kind == RequestKind::Job) {
            report_.groups["jobs"].add(judgement.verdict, latencyMs);
        } else {
            report_.groups["calls"].add(judgement.verdict, latencyMs);
            report_.groups["class " + std::string(nameOf(request.workClass))].add(judgement.verdict, latencyMs);
            report_.groups["caller " + std::to_string(request.caller + 1)].add(judgement.verdict, latencyMs);
            if (judgement.verdict == Verdict::NotRun)
                notRunBodies_.insert(digestOf(request.body));
            if (!request.isIdempotent)
                nonIdempotentBodies_.insert(digestOf(request.body));
        }
    }
    if (judgement.verdict == Verdict::Wrong)
        reportWrong(judgement.reason);
}

void Runner::reportWrong(const std::string& reason)
{
    std::lock_guard lock(mutex_);
    ++report_.wrongCount;
    if (report_.wrongAnswers.size() < maxWrongAnswersListed)
        report_.wrongAnswers.push_back(reason);
}

//! Compares the answers that callers received with the calls that the workers executed.
void Runner::checkExecutions()
{
    http::Client control(*settings_.workerControl);
    auto result = control.request("GET", "/control/executions", "", now() + workerControlTimeout);
    auto executions = nlohmann::json::parse(result.body, nullptr, false);
    if (result.error || !executions.is_array())
        return reportWrong("the workers' executions cannot be read");
    std::map<std::string, int> runs;
    for (const auto& execution : executions)
        ++runs[execution.value("bodyDigest", "")];
    for (const auto& digest : notRunBodies_) {
        if (runs.contains(digest))
            reportWrong("told not run, but ran: body " + digest);
    }
    for (const auto& digest : nonIdempotentBodies_) {
        auto found = runs.find(digest);
        if (found != runs.end() && found->second > 1)
            reportWrong("not idempotent, but ran " + std::to_string(found->second) + " times: body " + digest);
    }
}

} // namespace agatevane::load
