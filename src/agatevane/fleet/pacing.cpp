#include "agatevane/fleet/pacing.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/due_workers.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! Fillers speed up while the ratio of tail latency to target is lower, and keep their pace from here up to 1.
    constexpr double speedUpRatio = 0.75;
    //! Ratio of tail latency to target that a new pace aims at once the fillers' interference is known.
    constexpr double aimedRatio = 0.85;
    //! Pace of the first order while a target is missed and the interference is unknown. The next order sets pace 0.
    constexpr int reducedPace = 25;
    //! Largest increase of the pace at once. The known interference only limits it further, as it changes within
    //! seconds.
    constexpr int maxPaceStep = 15;
    //! Smallest increase of the pace that is worth an order.
    constexpr int minPaceStep = 3;
    //! A change of pace is visible in reports after a tenth of a second, plus the half second that a report covers.
    constexpr Millis settlingTime { 600 };
    constexpr Millis paceRetryDelay { 150 };

    struct ColocatedTasks {
        bool hasFiller = false;
        bool hasFillerOfUnknownPace = false; //!< an earlier owner may have slowed an adopted filler down
        double worstTailRatio = 0; //!< highest ratio of tail latency to target
        std::int64_t tailLatencyMs = 0; //!< tail latency of the task with this ratio
        std::int64_t targetMs = 0;
        bool hasServing = false;
    };

    ColocatedTasks colocatedTasksOf(const Fleet& fleet, const Worker& worker)
    {
        ColocatedTasks found;
        for (const auto& [key, run] : worker.runs) {
            auto job = fleet.jobs.find(key.first.job);
            if (!run.isWanted || run.state != RunState::Running || job == fleet.jobs.end())
                continue;
            const auto& step = stepOf(job->second, key.first);
            if (step.isFiller) {
                found.hasFiller = true;
                found.hasFillerOfUnknownPace = found.hasFillerOfUnknownPace || !run.pace;
            }
            if (!isServing(step))
                continue;
            found.hasServing = true;
            auto tailRatio = static_cast<double>(run.tailLatencyMs) / static_cast<double>(step.tailLatencyTargetMs);
            if (tailRatio >= found.worstTailRatio) {
                found.worstTailRatio = tailRatio;
                found.tailLatencyMs = run.tailLatencyMs;
                found.targetMs = step.tailLatencyTargetMs;
            }
        }
        return found;
    }

    //! Estimates from the last change of pace how much one percent of pace adds to the highest ratio.
    void learnInterference(FillerPace& pace, double tailRatio)
    {
        auto change = pace.percent - pace.previousPercent;
        auto interference = change == 0 ? 0 : (tailRatio - pace.previousTailRatio) / change;
        if (interference > 0)
            pace.interferencePerPercent = interference;
    }

    int loweredPercent(const FillerPace& pace, double tailRatio)
    {
        bool wasLowered = pace.percent < pace.previousPercent;
        if (wasLowered)
            return 0;
        if (pace.interferencePerPercent <= 0)
            return pace.percent > reducedPace ? reducedPace : 0;
        auto excess = static_cast<int>((tailRatio - aimedRatio) / pace.interferencePerPercent) + 1;
        return std::max(0, pace.percent - excess);
    }

    int raisedPercent(const FillerPace& pace, double tailRatio)
    {
        auto step = maxPaceStep;
        if (pace.interferencePerPercent > 0)
            step = std::min(step, static_cast<int>((aimedRatio - tailRatio) / pace.interferencePerPercent));
        return step < minPaceStep ? pace.percent : std::min(fullPace, pace.percent + step);
    }

    int nextPace(const FillerPace& pace, const ColocatedTasks& colocated, Instant at)
    {
        if (!colocated.hasServing)
            return fullPace;
        if (at - pace.decidedAt < settlingTime)
            return pace.percent;
        if (colocated.worstTailRatio > 1)
            return loweredPercent(pace, colocated.worstTailRatio);
        return colocated.worstTailRatio < speedUpRatio ? raisedPercent(pace, colocated.worstTailRatio) : pace.percent;
    }

    //! True if the pace of a filler is to be ordered, now or later.
    bool needsPaceOrder(const Fleet& fleet, const Worker& worker, const Run& run)
    {
        if (run.state != RunState::Running || !run.isWanted || run.isPaceInFlight
            || run.pace == worker.fillerPace.percent)
            return false;
        const auto* job = findJob(fleet, run.task.job);
        return job && stepOf(*job, run.task).isFiller;
    }

} // namespace

bool needsPacing(const Fleet& fleet, const Worker& worker)
{
    auto colocated = colocatedTasksOf(fleet, worker);
    return colocated.hasFiller && colocated.hasServing;
}

void decidePace(Fleet& fleet, Worker& worker, Instant at)
{
    auto colocated = colocatedTasksOf(fleet, worker);
    if (!colocated.hasFiller) {
        worker.fillerPace = {};
        return;
    }
    auto& fillerPace = worker.fillerPace;
    if (colocated.hasFillerOfUnknownPace && colocated.hasServing)
        fillerPace.percent = std::min(fillerPace.percent, reducedPace);
    if (at - fillerPace.decidedAt >= settlingTime)
        learnInterference(fillerPace, colocated.worstTailRatio);
    auto percent = nextPace(fillerPace, colocated, at);
    if (percent == fillerPace.percent)
        return;
    fleet.fillerSlowdowns += percent < fillerPace.percent ? 1 : 0;
    Line("fillers_paced")
        .with("worker", worker.id)
        .with("percent", percent)
        .with("percent_before", fillerPace.percent)
        .with("tail_ms", colocated.tailLatencyMs)
        .with("target_ms", colocated.targetMs);
    fillerPace.previousPercent = fillerPace.percent;
    fillerPace.previousTailRatio = colocated.worstTailRatio;
    fillerPace.percent = percent;
    fillerPace.decidedAt = at;
}

void emitPaceOrders(Fleet& fleet, const std::vector<Worker*>& workers, Instant at, Orders& orders)
{
    for (auto* worker : workers) {
        for (auto& [key, run] : worker->runs) {
            if (!needsPaceOrder(fleet, *worker, run) || at < run.nextPaceAt)
                continue;
            run.isPaceInFlight = true;
            orders.paces.push_back(
                { worker->id, worker->address, key.first, key.second, worker->fillerPace.percent, fleet.fencingToken });
        }
    }
}

Instant nextPaceOrderOf(const Fleet& fleet, const Worker& worker)
{
    auto next = Instant::max();
    for (const auto& [key, run] : worker.runs) {
        if (needsPaceOrder(fleet, worker, run))
            next = std::min(next, run.nextPaceAt);
    }
    return next;
}

void applyPaceOutcome(
    Fleet& fleet, const WorkerId& workerId, const RunKey& key, int percent, OrderOutcome outcome, Instant at)
{
    auto* worker = changeWorker(fleet, workerId);
    if (!worker)
        return;
    auto found = worker->runs.find(key);
    if (found == worker->runs.end())
        return;
    auto& run = found->second;
    run.isPaceInFlight = false;
    if (outcome == OrderOutcome::Done) {
        run.pace = percent;
        return;
    }
    // The order may have been carried out, or may be later. It is sent again until it is confirmed.
    run.pace.reset();
    run.nextPaceAt = at + paceRetryDelay;
    Line("pace_not_confirmed")
        .with("job", key.first.job)
        .with("task", toString(key.first))
        .with("worker", workerId)
        .with("percent", percent)
        .with("outcome", nameOf(outcome));
}

} // namespace agatevane::fleet
