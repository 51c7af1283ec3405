#pragma once

#include "agatevane/scheduling/shard_state.h"

namespace agatevane::scheduling {

//! The job's reservation, or null. The pointer is valid until a reservation is added or dropped.
const Reservation* reservationOf(const Shard& shard, int job);
Reservation* reservationOf(Shard& shard, int job);
void addReservation(Shard& shard, Reservation reservation);

//! Releases the held capacity; does nothing if the job has no reservation.
void dropReservation(Shard& shard, int job);

} // namespace agatevane::scheduling
