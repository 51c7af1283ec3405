#include "agatevane/fleet/worker_speed.h"

#include "agatevane/fleet/runs.h"
#include <algorithm>
#include <cmath>
#include <optional>

namespace agatevane::fleet {

namespace {

    //! Durations assumed of every worker that are just as expected. Declared times are wrong by a factor of 2.5, so
    //! that a few ends say nothing of the worker.
    constexpr double assumedSamples = 8;
    //! A duration counts the less the more have followed; together they count as this many.
    constexpr double maxSamples = 32;
    //! Logarithm of the largest ratio that one end counts with: a task that takes seven times as long as its kind is a
    //! straggler and does not show the speed of its worker.
    const double maxLogSpeed = std::log(2);
    //! Workers count as equally fast within this difference of logarithms, which is about a tenth.
    constexpr double speedStep = 0.1;

    //! Time that the run took for the whole work of its task; nothing if it does not show how long the task takes.
    std::optional<Millis> wholeDuration(const Job& job, const Worker& worker, const Run& run, Instant at)
    {
        const auto& step = stepOf(job, run.task);
        // A gang takes as long as its slowest member, a filler as long as others leave it no cores.
        if (step.isGang || step.isContinuous || step.isFiller || step.estimatedMs <= 0)
            return std::nullopt;
        bool isRemote = !step.dataRack.empty() && step.dataRack != worker.rack;
        bool isOwnStart = run.ordersSent > 0 && run.isConfirmed && run.state == RunState::Running;
        if (isRemote || !isOwnStart || run.firstPercent > 0 || !sharedTask(job, run.task).checkpoint.empty())
            return std::nullopt;
        return std::max(elapsed(run.confirmedAt, at), Millis(1));
    }

    double logRatio(Millis actual, Millis expected)
    {
        return std::log(static_cast<double>(actual.count()) / static_cast<double>(expected.count()));
    }

    void addSpeed(Fleet& fleet, Worker& worker, double logSpeed)
    {
        auto& known = fleet.workerHistory.speeds[worker.id];
        // An incarnation on another kind of machine.
        if (known.labels != worker.labels)
            known = { 0, 0, worker.labels };
        constexpr double kept = 1 - 1 / maxSamples;
        known.logSum = kept * known.logSum + std::clamp(logSpeed, -maxLogSpeed, maxLogSpeed);
        known.samples = kept * known.samples + 1;
        worker.speed = std::exp(known.logSum / (known.samples + assumedSamples));
    }

} // namespace

void noteDuration(Fleet& fleet, Worker& worker, const RunKey& key, EndKind kind, Instant at)
{
    auto run = worker.runs.find(key);
    const auto* job = findJob(fleet, key.first.job);
    if (kind != EndKind::Done || run == worker.runs.end() || !job || !findTask(fleet, key.first)
        || !areStopsCostly(fleet.limits))
        return;
    auto actual = wholeDuration(*job, worker, run->second, at);
    if (!actual)
        return;
    auto expected = runTimeOf(fleet, *job, stepOf(*job, key.first));
    // A declared time says nothing of the worker.
    if (!expected.group)
        return;
    auto expectedMs = std::max<std::int64_t>(run_times::quantileMs(expected, medianFraction), 1);
    addSpeed(fleet, worker, -logRatio(*actual, Millis(expectedMs)));
}

int speedRank(const Worker& worker, int priority)
{
    auto steps = static_cast<int>(std::lround(std::log(worker.speed) / speedStep));
    return priority == 0 ? steps : -steps;
}

} // namespace agatevane::fleet
