#pragma once

#include "agatevane/scheduling/shard_state.h"

namespace agatevane::scheduling {

//! Where a gang can run after certain other gangs, its victims, have ended.
struct ReleasePlan {
    Allocation allocation;
    std::vector<int> victims;
};

//! Finds the shortest prefix of the candidates whose end lets the shape fit, and leaves out those whose accelerators
//! the allocation does not need. Returns nothing if the shape does not fit even after all candidates have ended.
std::optional<ReleasePlan> planReleases(Shard& shard, const Shape& shape, const std::vector<int>& candidates);

//! Whether there is free capacity to start all victims of the plan again as soon as the plan's gang has started.
bool canPlaceVictimsElsewhere(Shard& shard, const ReleasePlan& plan);

} // namespace agatevane::scheduling
