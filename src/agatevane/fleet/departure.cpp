#include "agatevane/fleet/departure.h"

#include "agatevane/fleet/runs.h"

namespace agatevane::fleet {

namespace {

    //! Time for the stop order and the poll that reports the end, in addition to the stop itself. A call may have to be
    //! repeated.
    constexpr Millis orderAllowance { 500 };
    constexpr int fullPercent = 100;
    //! From this percentage on, the measured speed of a run predicts its end better than the estimate.
    constexpr int minMeasuredPercent = 10;

    //! Time until a run ends; nothing if it is unknown.
    std::optional<Millis> remainingWork(const StepSpec& step, const Run& run, Instant at)
    {
        // If the step saves checkpoints, an earlier run may have done a part of the percentage.
        if (!step.savesCheckpoints && run.percent >= minMeasuredPercent) {
            auto whole = elapsed(run.confirmedAt, run.progressAt) * fullPercent / run.percent;
            return whole - elapsed(run.confirmedAt, at);
        }
        if (step.estimatedMs == 0)
            return std::nullopt;
        return Millis(step.estimatedMs) * (fullPercent - run.percent) / fullPercent;
    }

    bool isDueToStop(const Fleet& fleet, const StepSpec& step, const Run& run, Instant at, Instant leavesAt)
    {
        bool isLastMoment = elapsed(at, leavesAt) <= fleet.limits.stopDuration + orderAllowance;
        // Other members of a continuous gang run on workers that stay, and only a limited number of them may be
        // stopped.
        if (step.isContinuous)
            return isLastMoment && !step.isGang;
        auto left = remainingWork(step, run, at);
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
