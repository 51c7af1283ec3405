#pragma once

#include "agatevane/fleet/state.h"

//! How well the free capacity suits the waiting work.
namespace agatevane::fleet {

//! Share of its service's free accelerators that the widest waiting step could use: the one whose tasks need the most
//! accelerators each. 1 if no step waits or no accelerator is free.
double usableFreeShare(const Fleet& fleet, std::int64_t unixMs, Instant at);

} // namespace agatevane::fleet
