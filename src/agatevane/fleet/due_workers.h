#pragma once

#include "agatevane/fleet/state.h"
#include <vector>

//! Which workers a round of decisions looks at: those that have changed since the last round, and those for which a
//! time has come. All others would get no order and lose no run, so that a round costs what has changed and not the
//! size of the fleet.
namespace agatevane::fleet {

//! The worker has changed: the next round looks at it. Whoever changes a worker outside a round calls this, or takes
//! the worker from changeWorker().
void markDue(Fleet& fleet, Worker& worker);
void markAllDue(Fleet& fleet);

//! The worker, which the next round looks at; null if it is unknown.
Worker* changeWorker(Fleet& fleet, const WorkerId& id);

//! Takes the workers that are due at `at` out of the queue, sorted by id.
std::vector<Worker*> takeDueWorkers(Fleet& fleet, Instant at);

//! Adds to `workers` those that have become due since they were taken.
void addDueWorkers(Fleet& fleet, std::vector<Worker*>& workers, Instant at);

//! Queues a worker that a round has looked at for the next time at which it needs anything, if there is one.
void scheduleWorker(Fleet& fleet, Worker& worker);

//! Forgets a worker.
void removeWorker(Fleet& fleet, const Worker& worker);

} // namespace agatevane::fleet
