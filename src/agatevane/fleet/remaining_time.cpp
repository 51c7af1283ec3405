#include "agatevane/fleet/remaining_time.h"

#include "agatevane/fleet/runs.h"

namespace agatevane::fleet {

namespace {

    constexpr int allDone = 100;
    //! From this percentage on, the measured speed of a run predicts its end better than any estimate.
    constexpr int minMeasuredPercent = 10;

    //! Time left if the run had done all of its percentage itself; else more is left than that.
    Millis leastRemainingTime(const Run& run, Instant at)
    {
        auto whole = elapsed(run.confirmedAt, run.progressAt) * allDone / run.percent;
        return whole - elapsed(run.confirmedAt, at);
    }

} // namespace

std::optional<Millis> measuredRemainingTime(const StepSpec& step, const Run& run, Instant at)
{
    // If the step saves checkpoints, an earlier run may have done a part of the percentage.
    if (!step.savesCheckpoints)
        return run.percent >= minMeasuredPercent ? std::optional(leastRemainingTime(run, at)) : std::nullopt;
    int gained = run.percent - run.firstPercent;
    if (!run.isReported || gained < minMeasuredPercent)
        return std::nullopt;
    return elapsed(run.firstReportAt, run.progressAt) * (allDone - run.percent) / gained - elapsed(run.progressAt, at);
}

bool endsBeforeStop(const Fleet& fleet, const Run& run, Instant at)
{
    if (run.state != RunState::Running || !run.isWanted || run.percent < minMeasuredPercent)
        return false;
    // Most runs are ruled out without a look at their job.
    auto stop = fleet.limits.stopDuration;
    if (leastRemainingTime(run, at) >= stop)
        return false;
    const auto* job = findJob(fleet, run.task.job);
    if (!job || stepOf(*job, run.task).isContinuous)
        return false;
    auto left = measuredRemainingTime(stepOf(*job, run.task), run, at);
    return left && *left<stop&& * left + endReportAllowance> Millis(0);
}

} // namespace agatevane::fleet
