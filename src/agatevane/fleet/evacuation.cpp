#include "agatevane/fleet/evacuation.h"

#include "agatevane/fleet/runs.h"

namespace agatevane::fleet {

namespace {

    //! Beside the stop itself, for the order and the look that shows the end; a call may have to be repeated.
    constexpr Millis orderTime { 500 };
    constexpr int wholeWork = 100;
    //! From this percentage on the pace of a run is known better than its estimate.
    constexpr int measuredWork = 10;

    //! What is left to do of a run; nothing if it is not known.
    std::optional<Millis> workLeft(const StepSpec& step, const Run& run, Instant at)
    {
        // A run that began with a checkpoint has done a part of its percentage elsewhere.
        if (!step.savesCheckpoints && run.percent >= measuredWork) {
            auto whole = elapsed(run.confirmedAt, run.progressAt) * wholeWork / run.percent;
            return whole - elapsed(run.confirmedAt, at);
        }
        if (step.estimatedMs == 0)
            return std::nullopt;
        return Millis(step.estimatedMs) * (wholeWork - run.percent) / wholeWork;
    }

    bool isDueToStop(const Fleet& fleet, const StepSpec& step, const Run& run, Instant at, Instant leavesAt)
    {
        bool isLastMoment = elapsed(at, leavesAt) <= fleet.limits.stopDuration + orderTime;
        // Members of a gang that lasts also work on workers that stay; how many of those may be away is bounded.
        if (step.isContinuous)
            return isLastMoment && !step.isGang;
        auto left = workLeft(step, run, at);
        if (step.savesCheckpoints)
            return isLastMoment && (!left || at + *left > leavesAt);
        return left && at + *left > leavesAt;
    }

} // namespace

void evacuate(Fleet& fleet, Instant at)
{
    for (auto& [id, worker] : fleet.workers) {
        if (!worker.isDraining || worker.leavesAt == Instant {})
            continue;
        for (auto& [key, run] : worker.runs) {
            auto* job = findJob(fleet, key.first.job);
            if (run.state != RunState::Running || !run.isWanted || !job || job->phase != JobPhase::Open)
                continue;
            if (isDueToStop(fleet, stepOf(*job, key.first), run, at, worker.leavesAt))
                stopTaskRuns(fleet, *job, key.first, at, "worker_leaves");
        }
    }
}

} // namespace agatevane::fleet
