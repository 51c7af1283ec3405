#pragma once

#include "agatevane/scheduling/shard_state.h"

namespace agatevane::scheduling {

const Reservation* reservationOf(const Shard& shard, int job);
Reservation* reservationOf(Shard& shard, int job);
void addReservation(Shard& shard, Reservation reservation);

//! Gives the held capacity back; does nothing if the job has no reservation.
void dropReservation(Shard& shard, int job);

} // namespace agatevane::scheduling
