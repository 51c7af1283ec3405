#pragma once

#include "agatevane/fleet/runs.h"

//! Fillers increase the tail latency of tasks on the same worker that serve users. The fillers of a worker are slowed
//! down while one of these tasks is over its target, and sped up step by step while all are well below.
namespace agatevane::fleet {

//! True if the worker runs both fillers and tasks that serve users.
bool needsPacing(const Fleet& fleet, const Worker& worker);

//! Decides the pace of the worker's fillers from the latest report.
void decidePace(Fleet& fleet, Worker& worker, Instant at);

//! Emits orders for fillers of the workers whose confirmed pace is not the decided one.
void emitPaceOrders(Fleet& fleet, const std::vector<Worker*>& workers, Instant at, Orders& orders);
//! When emitPaceOrders() has to look at the worker unless it changes; Instant::max(): never.
Instant nextPaceOrderOf(const Fleet& fleet, const Worker& worker);
void applyPaceOutcome(
    Fleet& fleet, const WorkerId& worker, const RunKey& key, int percent, OrderOutcome outcome, Instant at);

} // namespace agatevane::fleet
