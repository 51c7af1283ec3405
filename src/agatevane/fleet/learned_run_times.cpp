#include "agatevane/fleet/learned_run_times.h"

#include "agatevane/fleet/remaining_time.h"
#include "agatevane/fleet/runs.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    constexpr int fullPercent = 100;
    //! The start of a run is known up to the time between its order and its confirmation. If that is a larger part of
    //! the run, its duration is too uncertain to learn from.
    constexpr int minDurationPerUncertainty = 4;
    //! Finished runs that wait to be counted. They are taken with each tick of the owner; others are not counted.
    constexpr std::size_t maxFinished = 4000;

    run_times::Kind kindOf(const Job& job, const StepSpec& step)
    {
        return { job.spec.queue, job.spec.tenant, step.estimatedMs };
    }

    //! Tasks that never end have no run time, and that of fillers depends on the cores that others leave idle.
    bool hasOwnRunTime(const StepSpec& step)
    {
        return !step.isContinuous && !step.isFiller;
    }

    //! True if the run is slowed down because its data, or other members of its gang, are on another rack.
    bool isRemote(const Fleet& fleet, const Job& job, const Worker& worker, const Run& run)
    {
        const auto& step = stepOf(job, run.task);
        if (!step.dataRack.empty() && step.dataRack != worker.rack)
            return true;
        if (!step.isGang || !step.isTightlyCoupled)
            return false;
        const auto& tasks = job.occurrences[run.task.occurrence].steps[run.task.step].tasks;
        return std::any_of(tasks.begin(), tasks.end(), [&](const Task& task) {
            const auto* other = task.run ? findWorker(fleet, task.run->worker) : nullptr;
            return other && other->rack != worker.rack;
        });
    }

    //! True if the time since the run's confirmation is the time for the same part of the whole work.
    bool isMeasurable(const Run& run)
    {
        return run.isFromStart && run.isWanted && run.state == RunState::Running && run.isConfirmed;
    }

    //! The job of a run from whose duration `at` this owner may learn; null: it may not. The members of a gang end
    //! together, so that only the first counts.
    const Job* findLearnableJob(const Fleet& fleet, const Worker& worker, const Run& run, Instant at)
    {
        if (!areStopsCostly(fleet.limits) || !isMeasurable(run) || !findTask(fleet, run.task))
            return nullptr;
        const auto* job = findJob(fleet, run.task.job);
        const auto& step = stepOf(*job, run.task);
        bool isCounted = !step.isGang || run.task.index == 0;
        bool isCertain = (run.confirmedAt - run.orderedAt) * minDurationPerUncertainty <= at - run.confirmedAt;
        return hasOwnRunTime(step) && isCounted && isCertain && !isRemote(fleet, *job, worker, run) ? job : nullptr;
    }

    //! The remaining time by the run's own pace; nothing if it has not done enough of its work.
    std::optional<Millis> remainingByPace(const Fleet& fleet, const StepSpec& step, const Run& run, Instant at)
    {
        if (step.savesCheckpoints && !areStopsCostly(fleet.limits))
            return std::nullopt;
        return measuredRemainingTime(step, run, at);
    }

    std::optional<Millis> remainingByEstimate(
        const Fleet& fleet, const Job& job, const Worker& worker, const Run& run, double fraction, Instant at)
    {
        const auto& step = stepOf(job, run.task);
        auto estimate = runTimeOf(fleet, job, step);
        auto wholeMs = run_times::quantileMs(estimate, fraction);
        if (wholeMs == 0)
            return std::nullopt;
        auto slowdown = estimate.group && isRemote(fleet, job, worker, run) ? fleet.limits.remoteRackSlowdown : 1.0;
        auto slowed = [slowdown](double ms) { return Millis(static_cast<std::int64_t>(ms * slowdown)); };
        if (estimate.group && isMeasurable(run)) {
            auto soFarMs = static_cast<double>(elapsed(run.confirmedAt, at).count()) / slowdown;
            auto leftMs = run_times::remainingMs(estimate, static_cast<std::int64_t>(soFarMs), fraction);
            return slowed(static_cast<double>(*leftMs));
        }
        return slowed(static_cast<double>(wholeMs)) * (fullPercent - run.percent) / fullPercent;
    }

} // namespace

run_times::Estimate runTimeOf(const Fleet& fleet, const Job& job, const StepSpec& step)
{
    auto kind = kindOf(job, step);
    if (areStopsCostly(fleet.limits) && hasOwnRunTime(step))
        return run_times::estimate(fleet.runTimes.model, kind);
    run_times::Estimate declared;
    declared.declaredMs = kind.declaredMs;
    return declared;
}

std::int64_t runTimeMs(const Fleet& fleet, const Job& job, const StepSpec& step, double fraction)
{
    return run_times::quantileMs(runTimeOf(fleet, job, step), fraction);
}

std::int64_t learnedChainMs(const Fleet& fleet, const Job& job, double fraction, const Occurrence* occurrence)
{
    std::vector<std::int64_t> durationsMs;
    durationsMs.reserve(job.spec.steps.size());
    for (std::size_t index = 0; index < job.spec.steps.size(); ++index) {
        bool isDone = occurrence && occurrence->steps[index].done == occurrence->steps[index].tasks.size();
        durationsMs.push_back(isDone ? 0 : runTimeMs(fleet, job, job.spec.steps[index], fraction));
    }
    return longestChainMs(job.spec.steps, durationsMs);
}

std::optional<Millis> remainingTime(
    const Fleet& fleet, const Job& job, const Worker& worker, const Run& run, double fraction, Instant at)
{
    if (auto left = remainingByPace(fleet, stepOf(job, run.task), run, at))
        return left;
    return remainingByEstimate(fleet, job, worker, run, fraction, at);
}

void learnFromRunning(Fleet& fleet, const Worker& worker, Run& run, Instant at)
{
    const auto* job = findLearnableJob(fleet, worker, run, at);
    if (!job)
        return;
    const auto& step = stepOf(*job, run.task);
    auto soFarMs = elapsed(run.confirmedAt, at).count();
    auto expectedMs = run.sample.durationMs > 0 ? run.sample.durationMs : runTimeMs(fleet, *job, step, medianFraction);
    if (expectedMs > 0 && soFarMs > expectedMs)
        run_times::setDuration(fleet.runTimes.model, kindOf(*job, step), run.sample, soFarMs, at);
}

void learnFromDone(Fleet& fleet, const Worker& worker, Run& run, Instant at)
{
    // After polls without an answer it is not known when the run has ended.
    const auto* job = worker.answersSince == at ? nullptr : findLearnableJob(fleet, worker, run, at);
    if (!job)
        return;
    const auto& step = stepOf(*job, run.task);
    auto actualMs = elapsed(run.confirmedAt, at).count();
    if (fleet.runTimes.finished.size() < maxFinished)
        fleet.runTimes.finished.push_back({ actualMs, runTimeMs(fleet, *job, step, medianFraction), step.estimatedMs });
    run_times::setDuration(fleet.runTimes.model, kindOf(*job, step), run.sample, actualMs, at);
}

} // namespace agatevane::fleet
