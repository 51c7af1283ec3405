#pragma once

#include "agatevane/scheduling/shard_state.h"

//! Capacity held for jobs that cannot start yet, and use of that capacity until they can.
namespace agatevane::scheduling {

//! Starts jobs whose reserved capacity is free, and drops reservations that cannot be met any more.
void advanceReservations(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Reserves for the oldest starved gang, or preempts for it when it has waited too long.
void reserveForStarved(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Starts work on reserved capacity that will have left it when the reserved gang can start.
void backfill(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! Moves checkpointable gangs so that a waiting gang fits, if that gains more accelerator time than it costs.
void defragment(Shard& shard, Instant at, std::vector<Decision>& decisions);

//! When the job would find room if running gangs ended as expected, and the room; nothing if it never would.
struct ExpectedRoom {
    Slots slots;
    Instant at;
};
std::optional<ExpectedRoom> expectedRoom(Shard& shard, int job, Instant at);

} // namespace agatevane::scheduling
