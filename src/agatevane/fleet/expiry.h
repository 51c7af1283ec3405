#pragma once

#include "agatevane/fleet/state.h"
#include <vector>

//! Runs and workers whose time has passed: leases that have ended unseen, runs that are stuck, workers that have left.
namespace agatevane::fleet {

//! Removes the runs of those workers whose lease has expired without an answer, and stops runs that make no progress.
//! Forgets unlisted workers that have nothing left, also in `workers`.
void expireRuns(Fleet& fleet, std::vector<Worker*>& workers, Instant at);
//! When expireRuns() has to look at the worker unless it changes; Instant::max(): never.
Instant nextExpiryOf(const Fleet& fleet, const Worker& worker);

} // namespace agatevane::fleet
