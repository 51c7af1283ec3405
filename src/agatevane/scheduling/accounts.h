#pragma once

#include "agatevane/scheduling/shard_state.h"

//! Queues and accounts of workspaces and callers, kept consistent as jobs are queued, charged and released.
namespace agatevane::scheduling {

int workspaceSlot(Shard& shard, const WorkspaceId& id);
int callerSlot(Shard& shard, int workspace, const CallerId& id);
int shapeSlot(Shard& shard, const Shape& shape);
Shape shapeOf(const JobSpec& spec);

//! A slot for a new job, filled from `spec`, neither queued nor charged yet.
int addJob(Shard& shard, const JobSpec& spec);
void forgetJob(Shard& shard, int job);

void addToQueue(Shard& shard, int job);
void removeFromQueue(Shard& shard, int job);

//! Charges all parts of a gang at once. The job must not be queued.
void chargeGang(Shard& shard, int job, Slots slots, Instant at);

//! Returns all parts of a gang at once.
void releaseGang(Shard& shard, int job);

void beginPreemption(Shard& shard, int job, Instant deadline);
void setSavedAt(Shard& shard, int job, Instant at);
void setExpectedEnd(Shard& shard, int job, Instant at);

//! Scales guarantees down in proportion if the available workers cannot hold them all.
void updateGuarantees(Shard& shard);

//! Selects anew which gangs of the workspace its guarantee covers.
void updateProtection(Shard& shard, Workspace& workspace);

//! Brings fair shares and idle credit up to `at`.
void settle(Shard& shard, Instant at);

//! Workspaces with the lowest score are served first.
double score(const Shard& shard, const Workspace& workspace, Instant at);

//! Whether quota and guarantees of others let the workspace start the shape now.
bool mayCharge(const Shard& shard, const Workspace& workspace, const Shape& shape);

} // namespace agatevane::scheduling
