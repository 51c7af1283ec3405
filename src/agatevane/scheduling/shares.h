#pragma once

#include "agatevane/scheduling/shard_state.h"

//! What each workspace may use: its guarantee, the gangs that the guarantee protects, its fair share and its quota.
namespace agatevane::scheduling {

//! Computes the effective guarantees: all are scaled down by one factor if their sum exceeds the available capacity.
void updateGuarantees(Shard& shard);

//! Recomputes which gangs of the workspace are protected, which means covered by its guarantee.
void updateProtection(Shard& shard, Workspace& workspace);

//! Recomputes each workspace's fair share, and its credit for the part of the share that it left unused, up to `at`.
void updateFairShares(Shard& shard, Instant at);

//! Position of the workspace in the order of service, lowest first: its use relative to its fair share and the waiting
//! time of its oldest job, weighted by Policy::fairnessWeight.
double score(const Shard& shard, const Workspace& workspace, Instant at);

//! Whether the workspace may start a gang of this shape now: its quota has room, and a gang that can be neither
//! stopped nor checkpointed leaves enough capacity for all guarantees.
bool isWithinQuotaAndGuarantees(const Shard& shard, const Workspace& workspace, const Shape& shape);

} // namespace agatevane::scheduling
