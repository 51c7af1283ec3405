#pragma once

#include "agatevane/scheduling/shard_state.h"
#include <functional>

namespace agatevane::scheduling {

//! Shapes of queued jobs that may still fit. A shape that was found not to fit stays out of the set for all start
//! passes that follow, since free capacity only falls during them.
struct FeasibleShapes {
    IndexSet shapes;
};

//! The shapes with queued jobs that need no more accelerators than are free.
FeasibleShapes feasibleShapes(const Shard& shard);

//! Removes the shape that did not fit, and every shape that is at least as large and as restricted in its placement.
void markInfeasible(const Shard& shard, FeasibleShapes& feasible, int shape);

//! Which jobs a pass over the queues may start.
struct StartPass {
    std::array<bool, classCount> classes { true, true, true };
    std::function<bool(const Workspace&)> isCandidate; //!< if empty, every workspace is a candidate
    std::function<bool(const Workspace&, const Job&)> isEligible; //!< if empty, every job is eligible
    std::function<bool()> isDone; //!< ends the pass early; if empty, the pass ends when nothing more fits
    int reservationHolder = -1; //!< job whose reserved capacity the started gangs use as backfills; -1: none
};

//! Dequeues and charges the gang and adds the decision. Drops the job's reservation if it has one.
void startGang(Shard& shard, int job, Allocation allocation, Instant at, std::vector<Decision>& decisions);

//! Starts what fits. The next job is chosen by the workspace with the lowest score, then by the order of its callers,
//! then by class and age.
void runStartPass(
    Shard& shard, const StartPass& pass, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions);

Placement placementOf(const Shard& shard, const Allocation& allocation);

} // namespace agatevane::scheduling
