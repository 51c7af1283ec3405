#pragma once

#include "agatevane/fleet/placement.h"
#include <set>

//! Which runs to stop so that a more urgent unit gets room, at the least loss of work.
namespace agatevane::fleet {

struct PreemptionPlan {
    Places places; //!< for each task of the unit, once the victims have ended
    std::set<TaskId> victims; //!< all members of a gang count as victims
    double loss = 0; //!< core-seconds of work that would be thrown away
};

//! The plan with the least loss, or nothing if stopping what may be stopped does not make enough room.
std::optional<PreemptionPlan> planPreemption(
    Fleet& fleet, const Unit& unit, const std::vector<Room>& rooms, bool oneRack, const std::string& rack, Instant at);

} // namespace agatevane::fleet
