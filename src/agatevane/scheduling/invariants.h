#pragma once

#include "agatevane/scheduling/shard_state.h"

namespace agatevane::scheduling {

//! Recomputes every account from the jobs and compares: no overcommit, whole gangs only, guarantees reclaimable.
Findings checkInvariants(const Shard& shard);

//! The part that costs no more than a pass over the workspaces; decide counts its failures.
bool areTotalsConsistent(const Shard& shard);

} // namespace agatevane::scheduling
