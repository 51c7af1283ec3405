#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/fleet/model.h"
#include <map>
#include <vector>

//! Keeps capacity that was freed for a step from other steps until the step has started.
namespace agatevane::fleet {

struct Fleet;
struct PendingStep;
struct WorkerHeadroom;

//! Capacity that is held for the waiting tasks of one step.
struct RoomHold {
    std::vector<WorkerId> workers; //!< one entry for each task; several tasks may have the same worker
    Capacity need; //!< of each task
    bool isGang = false;
    int tier = 0; //!< tier of the step when it got the hold; steps of lower tiers may use the capacity
    Instant endsAt;
    bool isTaken = false; //!< the capacity is taken out of the headrooms of the present round
};

struct RoomHolds {
    std::map<StepId, RoomHold> byStep;
};

//! Holds the capacity at `placement` (indexes into `headrooms`) for the step's waiting tasks.
void holdRoom(Fleet& fleet, const PendingStep& pending, const std::vector<std::size_t>& placement,
    const std::vector<WorkerHeadroom>& headrooms, Instant at);

//! At the beginning of a round: removes the holds whose steps have started or whose time has passed.
void removeEndedHolds(Fleet& fleet, Instant at);

//! Removes the hold of a step that has started all its tasks.
void removeHoldIfStarted(Fleet& fleet, const StepId& step);

//! Takes the capacity of the holds up to `highestTier` out of the headrooms. A hold whose capacity is gone, because its
//! worker is not usable any more or more urgent work has used it, is given up.
void takeHeldRoom(Fleet& fleet, std::vector<WorkerHeadroom>& headrooms, int highestTier);

//! Puts the capacity that is held for the step back, so that the step may use it. True if there was any.
bool releaseHeldRoom(Fleet& fleet, const StepId& step, std::vector<WorkerHeadroom>& headrooms);

//! Workers for the step's waiting tasks, as indexes into `headrooms`, where the held capacity is free by now: for a
//! gang all or none.
std::vector<std::size_t> findHeldRoom(
    const Fleet& fleet, const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms);

//! Takes the released capacity out again. False if the hold does not suffice for all waiting tasks, or there is none:
//! the step then needs new capacity.
bool keepHeldRoom(Fleet& fleet, const PendingStep& pending, std::vector<WorkerHeadroom>& headrooms);

} // namespace agatevane::fleet
