#pragma once

#include "agatevane/scheduling/plan.h"

//! Preemption of whole gangs for guarantee claims, urgent work, fair shares and starved work.
namespace agatevane::scheduling {

//! Gangs that the job may preempt for this kind of reservation, in order of preference: first by the least urgent
//! class, then by the workspace that is furthest above its fair share, then by the latest checkpoint.
std::vector<int> victimCandidates(const Shard& shard, int job, ReservationKind kind, Instant at);

//! Size in accelerators above which a gang is preempted for the job only if smaller ones do not suffice, since its end
//! frees far more than the job needs.
int maxVictimAccelerators(const Job& job);

//! Preempts the plan's victims and adds a reservation for the job; starts the job if the plan has no victims.
void applyPlan(
    Shard& shard, int job, ReservationKind kind, const ReleasePlan& plan, Instant at, std::vector<Decision>& decisions);

//! Preempt for queued jobs of workspaces that use less than their guarantee, for urgent jobs, and for jobs that have
//! waited for Policy::shareClaimAfter.
void preemptForGuarantees(Shard& shard, Instant at, std::vector<Decision>& decisions);
void preemptForUrgent(Shard& shard, Instant at, std::vector<Decision>& decisions);
void preemptForShares(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Preempts for one job; returns whether it now has a reservation or has started.
bool preemptFor(Shard& shard, int job, ReservationKind kind, Instant at, std::vector<Decision>& decisions);

//! Accelerators that the job's workspace would use if this job and all jobs of the workspace with a reservation had
//! started and all preempted gangs had ended.
int usedAfterStart(const Shard& shard, const Job& job);

//! Whether the workspace's urgent work stays within its fair share with these accelerators added; only then may it
//! preempt. A single gang may exceed the share, because otherwise large gangs could never start.
bool isWithinUrgentShare(const Workspace& workspace, int accelerators);

} // namespace agatevane::scheduling
