#include "unwanted_watch.h"

#include <algorithm>

namespace agatevane::test {

namespace {

    //! A start that is carried out this long after it was sent is late: orders take milliseconds.
    constexpr std::int64_t lateStartMs = 1000;

    std::int64_t countsFromMs(const FleetSimulation& simulation, std::size_t position, std::int64_t cancelledMs)
    {
        const auto& run = simulation.workers().history()[position];
        auto fromMs = cancelledMs;
        auto harmedMs = std::max(simulation.harmedMs(run.worker), simulation.lastSuccessionMs());
        if (harmedMs > 0)
            fromMs = std::max(fromMs, harmedMs);
        if (run.beganMs - simulation.startSentMs(position) >= lateStartMs)
            fromMs = std::max(fromMs, run.beganMs);
        return fromMs;
    }

} // namespace

void watchUnwantedRuns(UnwantedWatch& watch, const FleetSimulation& simulation)
{
    for (auto position : simulation.liveRuns()) {
        const auto& run = simulation.workers().history()[position];
        auto cancelledMs = simulation.cancelledMs(run.key.first.job);
        if (!cancelledMs)
            continue;
        auto goesOnMs = simulation.nowMs() - countsFromMs(simulation, position, *cancelledMs);
        if (goesOnMs <= 0)
            continue;
        ++watch.watched;
        watch.longestMs = std::max(watch.longestMs, goesOnMs);
        if (goesOnMs > unwantedBoundMs)
            watch.overdue.emplace(position,
                simulation.describe(position) + ", cancelled at " + std::to_string(*cancelledMs) + " ms, goes on at "
                    + std::to_string(simulation.nowMs()) + " ms");
    }
}

} // namespace agatevane::test
