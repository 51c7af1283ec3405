#include "agatevane/fleet/due_workers.h"

#include "agatevane/fleet/departure.h"
#include "agatevane/fleet/expiry.h"
#include "agatevane/fleet/pacing.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    void sortById(std::vector<Worker*>& workers)
    {
        std::sort(workers.begin(), workers.end(), [](const Worker* a, const Worker* b) { return a->id < b->id; });
    }

    void reschedule(Fleet& fleet, Worker& worker, Instant dueAt)
    {
        if (worker.dueAt == dueAt)
            return;
        fleet.dueWorkers.erase({ worker.dueAt, worker.id });
        worker.dueAt = dueAt;
        if (dueAt != Instant::max())
            fleet.dueWorkers.emplace(dueAt, worker.id);
    }

} // namespace

void markDue(Fleet& fleet, Worker& worker)
{
    worker.load.reset();
    reschedule(fleet, worker, Instant::min());
}

void markAllDue(Fleet& fleet)
{
    for (auto& [id, worker] : fleet.workers)
        markDue(fleet, worker);
}

Worker* changeWorker(Fleet& fleet, const WorkerId& id)
{
    auto* worker = findWorker(fleet, id);
    if (worker)
        markDue(fleet, *worker);
    return worker;
}

std::vector<Worker*> takeDueWorkers(Fleet& fleet, Instant at)
{
    std::vector<Worker*> due;
    while (!fleet.dueWorkers.empty() && fleet.dueWorkers.begin()->first <= at) {
        auto& worker = fleet.workers.at(fleet.dueWorkers.begin()->second);
        fleet.dueWorkers.erase(fleet.dueWorkers.begin());
        worker.dueAt = Instant::max();
        worker.load.reset();
        due.push_back(&worker);
    }
    sortById(due);
    fleet.workerVisits += due.size();
    return due;
}

void addDueWorkers(Fleet& fleet, std::vector<Worker*>& workers, Instant at)
{
    auto more = takeDueWorkers(fleet, at);
    if (more.empty())
        return;
    workers.insert(workers.end(), more.begin(), more.end());
    sortById(workers);
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
}

void scheduleWorker(Fleet& fleet, Worker& worker)
{
    reschedule(fleet, worker,
        std::min({ nextExpiryOf(fleet, worker), nextDepartureOf(worker), nextPollOf(fleet, worker),
            nextRunOrderOf(worker), nextPaceOrderOf(fleet, worker) }));
}

void removeWorker(Fleet& fleet, const Worker& worker)
{
    fleet.dueWorkers.erase({ worker.dueAt, worker.id });
    forgetWorker(fleet, worker.id);
    fleet.workers.erase(fleet.workers.find(worker.id));
}

} // namespace agatevane::fleet
