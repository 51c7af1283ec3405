#pragma once

#include "agatevane/fleet/placement.h"
#include <set>

//! Chooses runs to stop for a more urgent step, so that the least work is lost.
namespace agatevane::fleet {

struct PreemptionPlan {
    Placement placement; //!< workers for the step's tasks once the victims have ended
    std::set<TaskId> victims; //!< tasks to stop; a gang is named by its first task and stopped as a whole
    double loss = 0; //!< core-seconds of work that the victims lose
};

//! The plan with the least loss that is found, or nothing if stopping all permitted runs does not free enough capacity.
std::optional<PreemptionPlan> planPreemption(Fleet& fleet, const PendingStep& pending,
    const std::vector<WorkerHeadroom>& headrooms, bool needsOneRack, const std::string& rack, Instant at);

} // namespace agatevane::fleet
