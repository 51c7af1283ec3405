#pragma once

#include "agatevane/fleet/runs.h"

//! Fillers slow the tasks beside them that serve users. Fillers of a worker are slowed down while one of these is over
//! its target, and sped up step by step while all are well below.
namespace agatevane::fleet {

//! True if fillers work beside tasks that serve users on the worker.
bool needsPacing(const Fleet& fleet, const Worker& worker);

//! Sets the pace of the worker's fillers by the latest report.
void decidePace(Fleet& fleet, Worker& worker, Instant at);

//! Emits orders for fillers whose pace on the worker is not the one decided.
void emitPaceOrders(Fleet& fleet, Instant at, Orders& orders);
void applyPaceOutcome(
    Fleet& fleet, const WorkerId& worker, const RunKey& key, int percent, OrderOutcome outcome, Instant at);

} // namespace agatevane::fleet
