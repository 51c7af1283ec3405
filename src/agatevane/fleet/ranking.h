#pragma once

#include "agatevane/fleet/placement.h"

//! Which waiting units go first: by what their jobs can still earn.
namespace agatevane::fleet {

//! Order of units. Within a tier the least slack goes first; from `timelyTier` on the queue's priority is added.
constexpr int guaranteedTier = 0; //!< urgent work within its tenant's guarantee
constexpr int urgentTier = 1;
constexpr int continuousTier = 5; //!< has no end by which to be late, and is restarted whenever there is room
constexpr int timelyTier = 10; //!< can still meet its objective
constexpr int lateTier = 1000; //!< still earns something
constexpr int hopelessTier = 2000;

//! Sets the unit's tier and slack. `ageMs` is the time since its job was accepted or its occurrence was due.
void rank(const Fleet& fleet, Unit& unit, std::int64_t ageMs);

} // namespace agatevane::fleet
