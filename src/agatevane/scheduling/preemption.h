#pragma once

#include "agatevane/scheduling/plan.h"

//! Preemption of whole gangs for claims of guarantees, urgent work and starved work.
namespace agatevane::scheduling {

//! Gangs that the job may preempt, in order: least urgent class, furthest above share, latest checkpoint.
std::vector<int> victimsFor(const Shard& shard, int job, ReservationKind kind, Instant at);

//! Gangs above this size free far more than the job needs and are preempted only if no others suffice.
int largestVictim(const Job& job);

//! Preempts the plan's victims and holds the capacity for the job.
void carryOut(
    Shard& shard, int job, ReservationKind kind, const Plan& plan, Instant at, std::vector<Decision>& decisions);

void preemptForGuarantees(Shard& shard, Instant at, std::vector<Decision>& decisions);
void preemptForUrgent(Shard& shard, Instant at, std::vector<Decision>& decisions);
void preemptForShares(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Preempts for one job; returns whether it now has a reservation or has started.
bool preemptFor(Shard& shard, int job, ReservationKind kind, Instant at, std::vector<Decision>& decisions);

//! Accelerators that the workspace would have in use if the job started and all preemption was over.
int usedWith(const Shard& shard, const Job& job);

//! Urgent work may preempt up to its workspace's fair share; one gang may exceed it, or large gangs could never start.
bool isWithinUrgentShare(const Workspace& workspace, int accelerators);

} // namespace agatevane::scheduling
