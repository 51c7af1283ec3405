#include "agatevane/fleet/departure.h"

#include "agatevane/fleet/remaining_time.h"
#include "agatevane/fleet/runs.h"

namespace agatevane::fleet {

namespace {

    //! Time for the stop order and the poll that reports the end, in addition to the stop itself. A call may have to be
    //! repeated.
    constexpr Millis orderAllowance { 500 };

    bool isDueToStop(const Fleet& fleet, const StepSpec& step, const Run& run, Instant at, Instant leavesAt)
    {
        bool isLastMoment = elapsed(at, leavesAt) <= fleet.limits.stopDuration + orderAllowance;
        // Other members of a continuous gang run on workers that stay, and only a limited number of them may be
        // stopped.
        if (step.isContinuous)
            return isLastMoment && !step.isGang;
        auto left = remainingTime(step, run, at);
        if (step.savesCheckpoints)
            return isLastMoment && (!left || at + *left > leavesAt);
        return left && at + *left > leavesAt;
    }

    //! True if it is known when the worker leaves.
    bool isLeaving(const Worker& worker)
    {
        return worker.isDraining && worker.leavesAt != Instant {};
    }

} // namespace

void stopDepartingRuns(Fleet& fleet, const std::vector<Worker*>& workers, Instant at)
{
    for (auto* worker : workers) {
        if (!isLeaving(*worker))
            continue;
        for (auto& [key, run] : worker->runs) {
            auto* job = findJob(fleet, key.first.job);
            if (run.state != RunState::Running || !run.isWanted || !job || job->phase != JobPhase::Open)
                continue;
            if (isDueToStop(fleet, stepOf(*job, key.first), run, at, worker->leavesAt))
                stopTaskRuns(fleet, *job, key.first, at, "worker_leaves");
        }
    }
}

Instant nextDepartureOf(const Worker& worker)
{
    return isLeaving(worker) && !worker.runs.empty() ? Instant::min() : Instant::max();
}

} // namespace agatevane::fleet
