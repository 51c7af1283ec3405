#include "agatevane/fleet/worker_history.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/state.h"
#include <algorithm>
#include <cmath>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! An end counts half after this long. Work that is held back for one or two half-lives still meets its objective.
    constexpr Millis halfLife { 8000 };
    //! Successes assumed of every worker, so that one fault makes no suspect and two within a half-life do.
    constexpr double assumedSuccesses = 2;
    //! Most successes that are counted, so that a long good history does not hide a worker that begins to fail.
    constexpr double maxSuccesses = 2;
    //! A worker becomes a suspect above this share of faults, and ends its probation at the other.
    constexpr double suspectShare = 0.4;
    constexpr double trustShare = 0.25;
    //! One of this many workers of a service may be held back: the others then still carry the load at a utilisation of
    //! three quarters, and a fault of the network or of the owner does not take the whole service away.
    constexpr std::size_t workersPerHeldBack = 4;
    //! Runs that are lost within this time have one cause, since a machine that goes down loses all its runs.
    constexpr Millis incidentDuration { 500 };
    //! A step without any success that failed on this many workers fails by its own fault.
    constexpr std::size_t failuresThatClearWorkers = 3;
    constexpr Millis reviewInterval { 250 };

    double decayBetween(Instant from, Instant to)
    {
        return to <= from ? 1 : std::exp2(-std::chrono::duration<double>(to - from) / halfLife);
    }

    void decay(EndCounts& counts, Instant at)
    {
        auto factor = decayBetween(counts.countedAt, at);
        counts.successes *= factor;
        counts.faults *= factor;
        counts.countedAt = std::max(counts.countedAt, at);
    }

    void decay(StepFailure& failure, Instant at)
    {
        auto factor = decayBetween(failure.countedAt, at);
        failure.ends *= factor;
        failure.counted *= factor;
        failure.countedAt = std::max(failure.countedAt, at);
    }

    double shareOf(EndCounts counts, Instant at)
    {
        decay(counts, at);
        return counts.faults / (counts.faults + counts.successes + assumedSuccesses);
    }

    constexpr double percent = 100;

    void logStanding(std::string_view event, const WorkerId& id, EndCounts counts, Instant at)
    {
        decay(counts, at);
        Line(event)
            .with("worker", id)
            .with("share_percent", std::lround(percent * shareOf(counts, at)))
            .with("faults", std::lround(percent * counts.faults) / percent)
            .with("successes", std::lround(percent * counts.successes) / percent);
    }

    void addFaults(Fleet& fleet, const WorkerId& id, double amount, Instant at)
    {
        auto& history = fleet.workerHistory;
        auto& counts = history.ends[id];
        decay(counts, at);
        counts.faults = std::max(0.0, counts.faults + amount);
        if (counts.isSuspect || shareOf(counts, at) <= suspectShare)
            return;
        counts.isSuspect = true;
        history.suspects.insert(id);
        history.nextReviewAt = at;
        logStanding("worker_suspected", id, counts, at);
    }

    TaskId firstTaskOf(TaskId id)
    {
        id.index = 0;
        return id;
    }

    //! How much a failed run of the step counts against its worker. The more workers have failed the step, the more
    //! likely it is the step's own fault.
    double blameOf(const StepFailures& step)
    {
        auto workers = step.failures.size();
        if (!step.hasSucceeded && workers >= failuresThatClearWorkers)
            return 0;
        return 1 / static_cast<double>(workers);
    }

    //! Counts the failures of a step anew, after a change of what it says of its workers.
    void reweigh(Fleet& fleet, StepFailures& step, Instant at)
    {
        auto blame = blameOf(step);
        for (auto& failure : step.failures) {
            decay(failure, at);
            auto change = blame * failure.ends - failure.counted;
            failure.counted += change;
            if (fleet.workers.contains(failure.worker))
                addFaults(fleet, failure.worker, change, at);
        }
        step.changedAt = at;
    }

    StepFailures& failuresOf(Fleet& fleet, const TaskId& task)
    {
        auto& steps = fleet.workerHistory.stepFailures;
        auto id = firstTaskOf(task);
        if (auto found = steps.find(id); found != steps.end())
            return found->second;
        if (steps.size() >= maxStepsWithFailures)
            steps.erase(std::min_element(steps.begin(), steps.end(),
                [](const auto& a, const auto& b) { return a.second.changedAt < b.second.changedAt; }));
        auto& step = steps[id];
        // Tasks of the step that are done were, as a rule, done by others: what the worker did itself counts for it.
        const auto* job = findJob(fleet, task.job);
        step.hasSucceeded = job && job->occurrences[id.occurrence].steps[id.step].done > 0;
        return step;
    }

    //! Suspects of one service, the most suspect ones first.
    using SuspectsByService = std::map<std::string, std::vector<std::pair<double, Worker*>>>;

    //! The suspects that stay suspects.
    SuspectsByService trustRecovered(Fleet& fleet, Instant at)
    {
        auto& history = fleet.workerHistory;
        SuspectsByService remaining;
        for (auto each = history.suspects.begin(); each != history.suspects.end();) {
            auto& counts = history.ends.at(*each);
            auto& worker = fleet.workers.at(*each);
            auto share = shareOf(counts, at);
            if (share > trustShare) {
                remaining[worker.service].emplace_back(share, &worker);
                ++each;
                continue;
            }
            counts.isSuspect = false;
            worker.standing = Standing::Trusted;
            fleet.isPlacementDue = true;
            logStanding("worker_trusted", worker.id, counts, at);
            each = history.suspects.erase(each);
        }
        for (auto& [service, suspects] : remaining)
            std::stable_sort(
                suspects.begin(), suspects.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
        return remaining;
    }

    std::map<std::string, std::size_t> countListedWorkers(const Fleet& fleet)
    {
        std::map<std::string, std::size_t> counts;
        for (const auto& [id, worker] : fleet.workers)
            counts[worker.service] += worker.isListed ? 1 : 0;
        return counts;
    }

    Standing standingOf(double share, bool mayBeHeldBack)
    {
        if (!mayBeHeldBack)
            return Standing::Tolerated;
        return share > suspectShare ? Standing::HeldBack : Standing::Probation;
    }

} // namespace

void noteSuccess(Fleet& fleet, const Worker& worker, const TaskId& task, Instant at)
{
    if (!areStopsCostly(fleet.limits))
        return;
    auto& history = fleet.workerHistory;
    auto& counts = history.ends[worker.id];
    decay(counts, at);
    counts.successes = std::min(counts.successes + 1, maxSuccesses);
    auto found = history.stepFailures.find(firstTaskOf(task));
    if (found == history.stepFailures.end() || found->second.hasSucceeded)
        return;
    auto& step = found->second;
    bool hasOtherFailed = std::any_of(step.failures.begin(), step.failures.end(),
        [&worker](const StepFailure& failure) { return failure.worker != worker.id; });
    if (!hasOtherFailed)
        return;
    step.hasSucceeded = true;
    reweigh(fleet, step, at);
}

bool noteFailure(Fleet& fleet, const Worker& worker, const TaskId& task, Instant at)
{
    if (!areStopsCostly(fleet.limits))
        return true;
    auto& step = failuresOf(fleet, task);
    auto& failures = step.failures;
    auto found = std::find_if(failures.begin(), failures.end(),
        [&worker](const StepFailure& failure) { return failure.worker == worker.id; });
    if (found == failures.end()) {
        if (failures.size() >= maxFailuresOfStep)
            return false;
        found = failures.insert(found, { worker.id, 0, 0, at });
    }
    decay(*found, at);
    // As long as nobody has done a task of the step, several failures of it on one worker say no more than one.
    found->ends = step.hasSucceeded ? found->ends + 1 : 1;
    reweigh(fleet, step, at);
    return blameOf(step) > 0;
}

void noteFault(Fleet& fleet, const Worker& worker, Instant at)
{
    // A worker that operators take down loses its runs by no fault of its own.
    if (!areStopsCostly(fleet.limits) || worker.isDraining || worker.awaitsUpkeep)
        return;
    auto& counts = fleet.workerHistory.ends[worker.id];
    if (at < counts.nextFaultAt)
        return;
    counts.nextFaultAt = at + incidentDuration;
    addFaults(fleet, worker.id, 1, at);
}

void noteRestart(Fleet& fleet, const Worker& worker)
{
    auto found = fleet.workerHistory.ends.find(worker.id);
    if (found == fleet.workerHistory.ends.end())
        return;
    found->second.faults /= 2;
    found->second.successes /= 2;
}

void noteStart(Fleet& fleet, const Worker& worker)
{
    fleet.workerHistory.startsOnSuspects += worker.standing == Standing::Trusted ? 0 : 1;
}

void forgetWorker(Fleet& fleet, const WorkerId& id)
{
    fleet.workerHistory.ends.erase(id);
    fleet.workerHistory.speeds.erase(id);
    fleet.workerHistory.suspects.erase(id);
}

void reviewStandings(Fleet& fleet, Instant at)
{
    auto& history = fleet.workerHistory;
    if (at < history.nextReviewAt)
        return;
    history.nextReviewAt = at + reviewInterval;
    history.heldBackWorkers = history.workersOnProbation = 0;
    if (history.suspects.empty())
        return;
    auto suspectsByService = trustRecovered(fleet, at);
    auto workers = countListedWorkers(fleet);
    for (const auto& [service, suspects] : suspectsByService) {
        auto most = workers[service] / workersPerHeldBack;
        for (std::size_t n = 0; n < suspects.size(); ++n) {
            auto [share, worker] = suspects[n];
            auto standing = standingOf(share, n < most);
            history.heldBackWorkers += standing == Standing::HeldBack ? 1 : 0;
            history.workersOnProbation += standing == Standing::Probation ? 1 : 0;
            fleet.isPlacementDue = fleet.isPlacementDue || standing != worker->standing;
            worker->standing = standing;
        }
    }
}

double faultShare(const Fleet& fleet, const WorkerId& id, Instant at)
{
    auto found = fleet.workerHistory.ends.find(id);
    return found == fleet.workerHistory.ends.end() ? 0 : shareOf(found->second, at);
}

} // namespace agatevane::fleet
