#include "agatevane/fleet/headroom.h"

#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/remaining_time.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! Workers that don't answer hold back no others: what has no answer in time is not counted.
    std::size_t countUnderWay(const Limits& limits, const WorkerLoad& load, Instant at)
    {
        return static_cast<std::size_t>(std::count_if(load.unconfirmedSince.begin(), load.unconfirmedSince.end(),
            [&limits, at](Instant since) { return at - since < limits.startAnswerTimeout; }));
    }

    double share(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    }

} // namespace

FleetHeadroom collectHeadroom(Fleet& fleet, Instant at)
{
    FleetHeadroom all;
    Capacity total;
    Capacity used;
    for (auto& [id, worker] : fleet.workers) {
        if (!isUsable(worker, at))
            continue;
        WorkerHeadroom headroom { &worker, worker.capacity, {} };
        headroom.free -= worker.used;
        const auto& load = loadOf(fleet, worker);
        all.startsUnderWay += countUnderWay(fleet.limits, load, at);
        headroom.afterStops = headroom.free;
        headroom.afterStops += load.stopping;
        headroom.servingTasks = load.servingTasks;
        headroom.fillerMilliCores = load.fillerMilliCores;
        headroom.isChosenLast = isChosenLast(worker, at);
        total += worker.capacity;
        used += worker.used;
        all.workers.push_back(headroom);
    }
    all.utilization = std::max(share(used.accelerators, total.accelerators), share(used.milliCores, total.milliCores));
    return all;
}

void addEndingRuns(const Fleet& fleet, std::vector<WorkerHeadroom>& headrooms, Instant at)
{
    for (auto& headroom : headrooms) {
        for (const auto& [key, run] : headroom.worker->runs) {
            if (endsBeforeStop(fleet, run, at))
                headroom.ending += run.need;
        }
    }
}

} // namespace agatevane::fleet
