#pragma once

#include "agatevane/fleet/state.h"

//! Takes work off workers that are about to leave, while they can still save it.
namespace agatevane::fleet {

//! Stops runs that would be lost with their worker: those that save checkpoints at the last moment, those that don't as
//! soon as it shows that they can't end in time, and those that last, which have to be restarted in any case.
void evacuate(Fleet& fleet, Instant at);

} // namespace agatevane::fleet
