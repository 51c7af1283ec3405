#include "agatevane/fleet/dispatch.h"

#include "agatevane/fleet/departure.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/expiry.h"
#include "agatevane/fleet/pacing.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <utility>

namespace agatevane::fleet {

void applyDesiredState(Fleet& fleet, const desired_state::DesiredState& desired)
{
    fleet.desired = desired;
    for (auto& [id, job] : fleet.jobs) {
        if (const auto* queue = desired_state::findQueueByName(desired, job.spec.queue))
            job.policy = *queue;
    }
    fleet.isPlacementDue = true;
}

Orders advance(Fleet& fleet, std::int64_t unixMs, Instant at)
{
    Orders orders;
    auto due = takeDueWorkers(fleet, at);
    expireRuns(fleet, due, at);
    abandonUnconfirmedStarts(fleet, due, at);
    withdrawEvacuatedStarts(fleet, due, at);
    stopDepartingRuns(fleet, due, at);
    reviewStandings(fleet, at);
    if (fleet.isPlacementDue && !areStartsHeld(fleet, at))
        place(fleet, unixMs, at);
    orders.advice = std::exchange(fleet.dueAdviceRequests, {});
    addDueWorkers(fleet, due, at);
    // Starts are held back while a poll acknowledges ends.
    emitPolls(fleet, due, at, orders);
    emitRunOrders(fleet, due, at, orders);
    emitPaceOrders(fleet, due, at, orders);
    for (auto* worker : due)
        scheduleWorker(fleet, *worker);
    return orders;
}

} // namespace agatevane::fleet
