#include "agatevane/scheduling/reservation.h"
#include <algorithm>

namespace agatevane::scheduling {

const Reservation* reservationOf(const Shard& shard, int job)
{
    auto found = std::find_if(shard.reservations.begin(), shard.reservations.end(),
        [job](const Reservation& reservation) { return reservation.job == job; });
    return found == shard.reservations.end() ? nullptr : &*found;
}

void addReservation(Shard& shard, Reservation reservation)
{
    const Job& job = shard.jobs[reservation.job];
    hold(shard.fleet, reservation.slots);
    shard.workspaces[job.workspace].pending += job.accelerators;
    shard.reservations.push_back(std::move(reservation));
}

void dropReservation(Shard& shard, int slot)
{
    const Reservation* found = reservationOf(shard, slot);
    if (found == nullptr)
        return;
    const Job& job = shard.jobs[slot];
    unhold(shard.fleet, found->slots);
    shard.workspaces[job.workspace].pending -= job.accelerators;
    shard.reservations.erase(shard.reservations.begin() + (found - shard.reservations.data()));
}

} // namespace agatevane::scheduling
