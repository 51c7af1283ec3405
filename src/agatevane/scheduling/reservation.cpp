#include "agatevane/scheduling/reservation.h"
#include <algorithm>
#include <utility>

namespace agatevane::scheduling {

const Reservation* reservationOf(const Shard& shard, int job)
{
    auto found = std::find_if(shard.reservations.begin(), shard.reservations.end(),
        [job](const Reservation& reservation) { return reservation.job == job; });
    return found == shard.reservations.end() ? nullptr : &*found;
}

Reservation* reservationOf(Shard& shard, int job)
{
    return const_cast<Reservation*>(reservationOf(std::as_const(shard), job));
}

void addReservation(Shard& shard, Reservation reservation)
{
    Job& job = shard.jobs[reservation.job];
    job.hasReservation = true;
    holdCapacity(shard.fleet, reservation.allocation);
    Workspace& workspace = shard.workspaces[job.workspace];
    workspace.reserved += job.accelerators;
    workspace.urgentReserved += job.workClass == WorkClass::Urgent ? job.accelerators : 0;
    shard.reservations.push_back(std::move(reservation));
}

void dropReservation(Shard& shard, int slot)
{
    Job& job = shard.jobs[slot];
    if (!job.hasReservation)
        return;
    const Reservation* found = reservationOf(shard, slot);
    job.hasReservation = false;
    shard.didDropReservation = true;
    releaseHeldCapacity(shard.fleet, found->allocation);
    Workspace& workspace = shard.workspaces[job.workspace];
    workspace.reserved -= job.accelerators;
    workspace.urgentReserved -= job.workClass == WorkClass::Urgent ? job.accelerators : 0;
    shard.reservations.erase(shard.reservations.begin() + (found - shard.reservations.data()));
}

} // namespace agatevane::scheduling
