#pragma once

#include "agatevane/scheduling/shard_state.h"

//! Reservations of capacity for jobs that cannot start yet, and backfill: other jobs use that capacity in the meantime.
namespace agatevane::scheduling {

//! Starts jobs whose reserved capacity is free, and drops reservations that can no longer be fulfilled.
void advanceReservations(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Makes a reservation for the oldest gang that has waited for Policy::reservationAfter. Preempts for gangs that have
//! waited for Policy::starvedAfter.
void reserveForStarved(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Starts jobs on reserved capacity that can be stopped and are expected to end before the reserved gang starts, or
//! that can be checkpointed as soon as it needs the capacity.
void backfill(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Preempts gangs that can be checkpointed and that fit elsewhere, so that a waiting gang fits in their place. Does so
//! only if that gains more accelerator time than it costs.
void defragment(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Where and when a queued job can start if running gangs end as expected.
struct ExpectedStart {
    Allocation allocation;
    Instant at;
};

//! Returns nothing if the job does not fit even after all running gangs have ended.
std::optional<ExpectedStart> expectedStart(Shard& shard, int job, Instant at);

} // namespace agatevane::scheduling
