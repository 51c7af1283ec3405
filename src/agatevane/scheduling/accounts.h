#pragma once

#include "agatevane/scheduling/shard_state.h"

//! Bookkeeping of the queued jobs and of the accelerators in use for each workspace and caller. A gang's accelerators
//! are charged to its workspace, caller and workers from its start until all of its parts have ended.
namespace agatevane::scheduling {

//! Each returns the slot, which is the index of the entry in the shard's vector, and adds the entry if it is new.
int findOrAddWorkspace(Shard& shard, const WorkspaceId& id);
int findOrAddCaller(Shard& shard, int workspace, const CallerId& id);
int findOrAddShape(Shard& shard, const Shape& shape);
Shape shapeOf(const JobSpec& spec);

//! Adds a job that is neither queued nor charged yet, and returns its slot.
int addJob(Shard& shard, const JobSpec& spec);
//! Frees the slot of a job that is neither queued nor charged, and removes its caller if that has no other job.
void removeJob(Shard& shard, int job);

void addToQueue(Shard& shard, int job);
void removeFromQueue(Shard& shard, int job);

//! Charges all parts of a gang together. The job must not be queued.
void chargeGang(Shard& shard, int job, Allocation allocation, Instant at);

//! Releases the accelerators of all parts of a gang together.
void releaseGang(Shard& shard, int job);

//! Marks a charged gang as being preempted. It stays charged until its parts have ended.
void beginPreemption(Shard& shard, int job, Instant deadline);
void setCheckpointedAt(Shard& shard, int job, Instant at);
void setExpectedEnd(Shard& shard, int job, Instant at);

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
