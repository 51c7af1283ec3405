#include "agatevane/fleet/expiry.h"

#include "agatevane/fleet/decision_log.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/incarnations.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>
#include <optional>

namespace agatevane::fleet {

namespace {

    //! A run without progress for this long is stuck, unless a percent of its work is known to take long.
    constexpr Millis stallTimeout { 3500 };
    //! As `stallTimeout`, for fillers, which only have the cores that other tasks leave idle.
    constexpr Millis fillerStallTimeout { 12000 };
    constexpr Millis avoidAfterStall { 8000 };
    //! A run is stuck once a percent takes this many times as long as expected.
    constexpr int stallFactor = 3;
    //! Expected lengths may be far too long, so that they delay the first stop by no more than this.
    constexpr Millis maxExpectedStallTimeout { 30000 };
    //! Each stop of a task for a stall doubles the time that its next run has, this many times at most.
    constexpr int maxStallDoublings = 12;
    constexpr int allDone = 100;

    void loseRuns(Fleet& fleet, Worker& worker, Instant at, std::string_view reason)
    {
        std::vector<RunKey> keys;
        for (const auto& [key, run] : worker.runs)
            keys.push_back(key);
        for (const auto& key : keys)
            loseRun(fleet, worker, key, at, reason);
    }

    //! True if the worker is silent and all leases that this owner has given it have ended.
    bool hasLapsedUnseen(const Fleet& fleet, const Worker& worker, Instant at)
    {
        return worker.missedPolls > 0 && at >= worker.leaseExpiryBound && isOwnershipConfirmed(fleet, at);
    }

    //! What a silent worker has is given up with its leases: its runs, and the ends that it has not returned.
    void giveUpLapsed(Fleet& fleet, Worker& worker, Instant at)
    {
        if (!worker.runs.empty()) {
            loseRuns(fleet, worker, at, "lease_passed");
            worker.hasAnsweredPoll = false;
        }
        if (worker.mayLackEnds && haveInheritedRunsEnded(fleet, at)) {
            worker.mayLackEnds = false;
            fleet.isPlacementDue = true;
        }
    }

    //! True if the first end waits for its commit or its acknowledgement. An unreadable one, and those behind it, wait
    //! for nothing that this owner could do soon.
    bool hasEndToAcknowledge(const Worker& worker)
    {
        return !worker.unacknowledgedEnds.empty() && worker.unacknowledgedEnds.front().isReadable;
    }

    //! Time in which the run has advanced by a percent on average; 0: not known yet.
    Millis observedPercentTime(const Run& run)
    {
        int gained = run.percent - run.firstPercent;
        return gained > 0 ? elapsed(run.firstReportAt, run.progressAt) / gained : Millis(0);
    }

    Millis expectedStallTimeout(std::int64_t runTimeMs)
    {
        return std::min(Millis(runTimeMs / allDone) * stallFactor, maxExpectedStallTimeout);
    }

    //! A run without progress is stopped once it has made none for this long; nothing: it is never stopped for that.
    std::optional<Millis> stallTimeoutOf(const Fleet& fleet, const Worker& worker, const Run& run)
    {
        if (run.state != RunState::Running || !run.isWanted || run.percent >= allDone)
            return std::nullopt;
        if (worker.missedPolls > 0 || worker.mayLackEnds)
            return std::nullopt;
        const auto* job = findJob(fleet, run.task.job);
        if (!job || stepOf(*job, run.task).isContinuous)
            return std::nullopt;
        const auto& step = stepOf(*job, run.task);
        // A stop loses the work of a run, so that the time for a percent is taken from the long runs, and what was
        // learned shortens no limit.
        auto learned = expectedStallTimeout(runTimeMs(fleet, *job, step, longFraction));
        auto timeout = std::max({ step.isFiller ? fillerStallTimeout : stallTimeout,
            expectedStallTimeout(step.estimatedMs), learned, observedPercentTime(run) * stallFactor });
        // The work may take longer than declared, so that a run never gets far enough to show its pace.
        return timeout * (1 << std::min(sharedTask(*job, run.task).stalls, maxStallDoublings));
    }

    void stopStalledRuns(Fleet& fleet, Worker& worker, Instant at)
    {
        for (auto& [key, run] : worker.runs) {
            auto timeout = stallTimeoutOf(fleet, worker, run);
            if (!timeout)
                continue;
            auto& job = *findJob(fleet, key.first.job);
            if (stepOf(job, key.first).isFiller && worker.fillerPace.percent < fullPace)
                run.progressAt = at;
            if (at - run.progressAt < *timeout)
                continue;
            ++sharedTask(job, key.first).stalls;
            worker.avoidUntil = std::max(worker.avoidUntil, at + avoidAfterStall);
            stopTaskRuns(fleet, job, key.first, at, "no_progress");
        }
    }

    bool isRemovable(const Fleet& fleet, const Worker& worker, Instant at)
    {
        return !worker.isListed && worker.runs.empty() && !hasEndToAcknowledge(worker)
            && !(worker.hasUnnamedRun && at < worker.leaseExpiryBound) && worker.unansweredAcknowledgements.empty()
            && !mayTakeLateStart(fleet, worker, at) && (worker.hasAnsweredPoll || haveInheritedRunsEnded(fleet, at));
    }

} // namespace

void expireRuns(Fleet& fleet, std::vector<Worker*>& workers, Instant at)
{
    for (auto* worker : workers) {
        removeExpiredStarts(*worker, at);
        std::erase_if(worker->unansweredAcknowledgements, [at](const auto& each) { return at >= each.second; });
        if (hasLapsedUnseen(fleet, *worker, at))
            giveUpLapsed(fleet, *worker, at);
        stopStalledRuns(fleet, *worker, at);
    }
    std::erase_if(workers, [&fleet, at](const Worker* worker) {
        if (!isRemovable(fleet, *worker, at))
            return false;
        fleet.haveWorkersChanged = true;
        logRemoved(*worker, at);
        removeWorker(fleet, *worker);
        return true;
    });
}

Instant nextExpiryOf(const Fleet& fleet, const Worker& worker)
{
    // Whether an unlisted worker can be removed also depends on the time since the takeover. The time for which
    // fillers are slowed down does not count as a stall.
    if (!worker.isListed || worker.fillerPace.percent < fullPace)
        return Instant::min();
    auto next = Instant::max();
    for (const auto& [key, until] : worker.unansweredStarts)
        next = std::min(next, until);
    for (const auto& [incarnation, until] : worker.unansweredAcknowledgements)
        next = std::min(next, until);
    if ((!worker.runs.empty() || worker.mayLackEnds) && worker.missedPolls > 0)
        next = std::min(next, worker.leaseExpiryBound);
    for (const auto& [key, run] : worker.runs) {
        if (auto timeout = stallTimeoutOf(fleet, worker, run))
            next = std::min(next, run.progressAt + *timeout);
    }
    return next;
}

} // namespace agatevane::fleet
