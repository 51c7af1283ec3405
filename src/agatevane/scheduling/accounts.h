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

} // namespace agatevane::scheduling
