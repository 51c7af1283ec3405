#pragma once

#include "agatevane/scheduling/shard_state.h"

namespace agatevane::scheduling {

//! Where a gang would run once the victims have ended.
struct Plan {
    Slots slots;
    std::vector<int> victims;
};

//! The shortest prefix of the candidates whose end lets the shape fit, without those that the placement does not need.
std::optional<Plan> planWithout(Shard& shard, const Shape& shape, const std::vector<int>& candidates);

//! Whether all victims of the plan could be placed again at once after the shape has started.
bool canReplaceVictims(Shard& shard, const Plan& plan);

} // namespace agatevane::scheduling
