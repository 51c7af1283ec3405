#pragma once

#include "agatevane/scheduling/shard_state.h"

namespace agatevane::scheduling {

//! Recomputes all totals from the jobs and compares them with the shard's: no worker is overcommitted, only whole gangs
//! are charged, and guarantees can be reclaimed. Returns a finding for each violation.
Findings checkInvariants(const Shard& shard);

//! The checks of checkInvariants that need only one pass over the workspaces. `decide` makes them after each call and
//! counts the failures.
bool areTotalsConsistent(const Shard& shard);

} // namespace agatevane::scheduling
