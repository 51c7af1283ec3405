#include "agatevane/fleet/worker_record.h"

#include "agatevane/fleet/invariants.h"
#include "agatevane/fleet/runs.h"

namespace agatevane::fleet {

namespace {

    //! True if a start of this owner may be open or running on the worker, or one of its ends is not durable yet.
    bool mayHaveOwnRuns(const Worker& worker)
    {
        return worker.hasAnsweredPoll || !worker.runs.empty() || !worker.unansweredStarts.empty()
            || !worker.unacknowledgedEnds.empty();
    }

    //! True if a start of an earlier owner may be open or running on the worker.
    bool mayHaveEarlierRuns(const Fleet& fleet, const Worker& worker, Instant at)
    {
        bool haveAllEnded = haveInheritedRunsEnded(fleet, at) && at >= fleet.tookOverAt + lateOrderBound;
        return worker.isInEarlierRecord && !haveAllEnded;
    }

} // namespace

std::vector<WorkerListing> workersToName(const Fleet& fleet, Instant at)
{
    std::vector<WorkerListing> listings;
    for (const auto& [id, worker] : fleet.workers) {
        if (mayHaveOwnRuns(worker) || mayHaveEarlierRuns(fleet, worker, at))
            listings.push_back({ id, worker.address, worker.service, worker.zone, worker.rack, worker.labels,
                worker.capacity, worker.isDraining, worker.incarnation, std::nullopt, {} });
    }
    return listings;
}

bool mayReplaceWorkerRecord(const Fleet& fleet, Instant at)
{
    return fleet.earlierWorkers != EarlierWorkers::Unreadable || haveInheritedRunsEnded(fleet, at);
}

void beginNaming(Fleet& fleet, const std::set<WorkerId>& names)
{
    for (auto& [id, worker] : fleet.workers)
        worker.awaitsNaming = worker.awaitsNaming || !names.contains(id);
}

void completeNaming(Fleet& fleet, const std::set<WorkerId>& names)
{
    for (auto& [id, worker] : fleet.workers) {
        if (!names.contains(id))
            continue;
        fleet.isPlacementDue = fleet.isPlacementDue || worker.awaitsNaming;
        worker.awaitsNaming = false;
    }
}

void checkStartIsNamed(Fleet& fleet, const Worker& worker, const RunKey& key)
{
    if (worker.awaitsNaming)
        addViolation(fleet, { Breach::StartOnUnnamedWorker, key.first, worker.id, key.second, "no record names it" });
}

} // namespace agatevane::fleet
