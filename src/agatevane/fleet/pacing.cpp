#include "agatevane/fleet/pacing.h"

#include "agatevane/event_log/event_log.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! Fillers speed up below this share of the target and keep their pace between it and the target.
    constexpr double calmShare = 0.75;
    //! Share of the target that a new pace aims at where the harm that fillers do is known.
    constexpr double aimedShare = 0.85;
    //! The first order while a target is missed and the harm is not known; the next one stops the fillers' work.
    constexpr int loweredPace = 25;
    //! The harm changes within seconds, so that a known one only bounds the step.
    constexpr int paceStep = 15;
    //! A smaller step is not worth an order.
    constexpr int leastStep = 3;
    //! A changed pace shows in the report after a tenth of a second and the half second that a report covers.
    constexpr Millis settleTime { 600 };
    constexpr Millis paceRetry { 150 };

    struct Neighbours {
        bool hasFiller = false;
        bool hasUnpacedFiller = false; //!< adopted from an earlier owner, which may have slowed it down
        double worstShare = 0; //!< tail over target of the task that is worst off
        std::int64_t tailLatencyMs = 0; //!< of that task
        std::int64_t targetMs = 0;
        bool hasServing = false;
    };

    Neighbours neighboursOf(const Fleet& fleet, const Worker& worker)
    {
        Neighbours found;
        for (const auto& [key, run] : worker.runs) {
            auto job = fleet.jobs.find(key.first.job);
            if (!run.isWanted || run.state != RunState::Running || job == fleet.jobs.end())
                continue;
            const auto& step = stepOf(job->second, key.first);
            if (step.isFiller) {
                found.hasFiller = true;
                found.hasUnpacedFiller = found.hasUnpacedFiller || !run.pace;
            }
            if (!isServing(step))
                continue;
            found.hasServing = true;
            auto share = static_cast<double>(run.tailLatencyMs) / static_cast<double>(step.tailLatencyTargetMs);
            if (share >= found.worstShare) {
                found.worstShare = share;
                found.tailLatencyMs = run.tailLatencyMs;
                found.targetMs = step.tailLatencyTargetMs;
            }
        }
        return found;
    }

    //! Learns from the last change of pace how much a percent of it adds to the worst share.
    void learnHarm(FillerPace& pace, double share)
    {
        auto change = pace.percent - pace.previousPercent;
        auto harm = change == 0 ? 0 : (share - pace.previousTailRatio) / change;
        if (harm > 0)
            pace.interferencePerPercent = harm;
    }

    int lowered(const FillerPace& pace, double share)
    {
        bool wasLowered = pace.percent < pace.previousPercent;
        if (wasLowered)
            return 0;
        if (pace.interferencePerPercent <= 0)
            return pace.percent > loweredPace ? loweredPace : 0;
        auto excess = static_cast<int>((share - aimedShare) / pace.interferencePerPercent) + 1;
        return std::max(0, pace.percent - excess);
    }

    int raised(const FillerPace& pace, double share)
    {
        auto step = paceStep;
        if (pace.interferencePerPercent > 0)
            step = std::min(step, static_cast<int>((aimedShare - share) / pace.interferencePerPercent));
        return step < leastStep ? pace.percent : std::min(fullPace, pace.percent + step);
    }

    int nextPace(const FillerPace& pace, const Neighbours& neighbours, Instant at)
    {
        if (!neighbours.hasServing)
            return fullPace;
        if (at - pace.decidedAt < settleTime)
            return pace.percent;
        if (neighbours.worstShare > 1)
            return lowered(pace, neighbours.worstShare);
        return neighbours.worstShare < calmShare ? raised(pace, neighbours.worstShare) : pace.percent;
    }

} // namespace

bool needsPacing(const Fleet& fleet, const Worker& worker)
{
    auto neighbours = neighboursOf(fleet, worker);
    return neighbours.hasFiller && neighbours.hasServing;
}

void decidePace(Fleet& fleet, Worker& worker, Instant at)
{
    auto neighbours = neighboursOf(fleet, worker);
    if (!neighbours.hasFiller) {
        worker.fillerPace = {};
        return;
    }
    auto& fillerPace = worker.fillerPace;
    if (neighbours.hasUnpacedFiller && neighbours.hasServing)
        fillerPace.percent = std::min(fillerPace.percent, loweredPace);
    if (at - fillerPace.decidedAt >= settleTime)
        learnHarm(fillerPace, neighbours.worstShare);
    auto percent = nextPace(fillerPace, neighbours, at);
    if (percent == fillerPace.percent)
        return;
    fleet.fillerSlowdowns += percent < fillerPace.percent ? 1 : 0;
    Line("fillers_paced")
        .with("worker", worker.id)
        .with("percent", percent)
        .with("percent_before", fillerPace.percent)
        .with("tail_ms", neighbours.tailLatencyMs)
        .with("target_ms", neighbours.targetMs);
    fillerPace.previousPercent = fillerPace.percent;
    fillerPace.previousTailRatio = neighbours.worstShare;
    fillerPace.percent = percent;
    fillerPace.decidedAt = at;
}

void emitPaceOrders(Fleet& fleet, Instant at, Orders& orders)
{
    for (auto& [workerId, worker] : fleet.workers) {
        for (auto& [key, run] : worker.runs) {
            if (run.state != RunState::Running || !run.isWanted || run.isPaceInFlight || at < run.nextPaceAt
                || run.pace == worker.fillerPace.percent)
                continue;
            auto* job = findJob(fleet, key.first.job);
            if (!job || !stepOf(*job, key.first).isFiller)
                continue;
            run.isPaceInFlight = true;
            orders.paces.push_back(
                { workerId, worker.address, key.first, key.second, worker.fillerPace.percent, fleet.fencingToken });
        }
    }
}

void applyPaceOutcome(
    Fleet& fleet, const WorkerId& workerId, const RunKey& key, int percent, OrderOutcome outcome, Instant at)
{
    auto* worker = findWorker(fleet, workerId);
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
    // It may have been carried out or may be later; it is sent until it is confirmed.
    run.pace.reset();
    run.nextPaceAt = at + paceRetry;
    Line("pace_not_confirmed")
        .with("job", key.first.job)
        .with("task", toString(key.first))
        .with("worker", workerId)
        .with("percent", percent)
        .with("outcome", nameOf(outcome));
}

} // namespace agatevane::fleet
