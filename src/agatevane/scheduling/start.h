#pragma once

#include "agatevane/scheduling/shard_state.h"
#include <functional>

namespace agatevane::scheduling {

//! Shapes known not to fit at present. Capacity only shrinks during a pass, so a failed search stays valid.
struct FeasibleShapes {
    IndexSet shapes;
};

FeasibleShapes feasibleShapes(const Shard& shard);

//! Removes the shape and every queued shape that needs at least as much.
void markInfeasible(const Shard& shard, FeasibleShapes& feasible, int shape);

struct StartPass {
    std::array<bool, classCount> classes { true, true, true };
    std::function<bool(const Workspace&)> isCandidate; //!< none: every workspace is
    std::function<bool(const Workspace&, const Job&)> isEligible; //!< none: every job is
    std::function<bool()> isDone; //!< none: until nothing more fits
    int backfills = -1; //!< job whose reservation the started gangs use
};

//! Charges the gang and adds the decision; gives up the job's reservation if it has one.
void startGang(Shard& shard, int job, Slots slots, Instant at, std::vector<Decision>& decisions);

//! Starts what fits, workspace by workspace in order of their score, then caller by caller, class and age.
void runStartPass(
    Shard& shard, const StartPass& pass, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions);

Placement placementOf(const Shard& shard, const Slots& slots);

} // namespace agatevane::scheduling
