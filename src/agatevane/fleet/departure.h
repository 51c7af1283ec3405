#pragma once

#include "agatevane/fleet/state.h"

//! Stops work on draining workers that are about to leave, while they can still save it.
namespace agatevane::fleet {

//! Stops runs that can't end before their worker leaves: those that save checkpoints at the last moment, others as soon
//! as it shows that they can't end in time. Also stops continuous runs outside gangs at the last moment, since they
//! have to be restarted in any case.
void stopDepartingRuns(Fleet& fleet, const std::vector<Worker*>& workers, Instant at);
//! When stopDepartingRuns() has to look at the worker unless it changes; Instant::max(): never.
Instant nextDepartureOf(const Worker& worker);

} // namespace agatevane::fleet
