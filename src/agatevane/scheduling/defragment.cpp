#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/backlog.h"
#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/reservation.h"
#include <algorithm>
#include <numeric>

namespace agatevane::scheduling {

namespace {

    constexpr Millis interval { 1000 }; //!< between attempts, since each searches the whole data centre
    constexpr double moveSeconds = 30; //!< accelerator time lost by a checkpoint, a stop and a start elsewhere
    constexpr double longestGainSeconds = 3600; //!< run times are too uncertain to count more
    constexpr int headsPerWorkspace = 4;
    constexpr int mostMoves = 4; //!< gangs for which others are being moved at the same time

    bool isMovable(const Job& gang, const Shape& shape)
    {
        return gang.state == GangState::Charged && gang.canCheckpoint && gang.accelerators < shape.accelerators;
    }

    //! Gangs on the workers, those first that leave the emptiest workers.
    std::vector<int> movableGangs(const Shard& shard, std::vector<int> workers, const Shape& shape)
    {
        std::erase_if(workers, [&](int slot) {
            const Worker& worker = shard.fleet.workers[slot];
            return !worker.isAvailable || worker.used == 0 || worker.capacity < shape.perWorker
                || slot >= static_cast<int>(shard.gangsOf.size());
        });
        std::sort(workers.begin(), workers.end(), [&](int a, int b) {
            return std::pair(shard.fleet.workers[a].used, a) < std::pair(shard.fleet.workers[b].used, b);
        });
        std::vector<int> gangs;
        IndexSet listed;
        for (int slot : workers) {
            for (int gang : shard.gangsOf[slot]) {
                if (isMovable(shard.jobs[gang], shape) && !listed.contains(gang)) {
                    listed.insert(gang);
                    gangs.push_back(gang);
                }
            }
        }
        return gangs;
    }

    int acceleratorsOf(const Shard& shard, const std::vector<int>& gangs)
    {
        return std::accumulate(
            gangs.begin(), gangs.end(), 0, [&](int sum, int gang) { return sum + shard.jobs[gang].accelerators; });
    }

    //! The moves that displace the fewest accelerators.
    std::optional<Plan> cheapestMoves(Shard& shard, const Shape& shape)
    {
        if (shape.maxSpread == Spread::DataCentre) {
            std::vector<int> workers(shard.fleet.workers.size());
            std::iota(workers.begin(), workers.end(), 0);
            return planWithout(shard, shape, movableGangs(shard, std::move(workers), shape));
        }
        std::optional<Plan> best;
        for (const auto& rack : shard.fleet.racks) {
            if (rack.free == 0)
                continue;
            auto gangs = movableGangs(shard, rack.workers, shape);
            if (rack.free + acceleratorsOf(shard, gangs) < shape.accelerators && shape.maxSpread == Spread::Rack)
                continue;
            auto plan = planWithout(shard, shape, gangs);
            if (plan && (!best || acceleratorsOf(shard, plan->victims) < acceleratorsOf(shard, best->victims)))
                best = std::move(plan);
        }
        return best;
    }

    //! The oldest gang that would fit by count but finds no block.
    int oldestBlocked(const Shard& shard, Instant at)
    {
        int best = -1;
        for (const auto& workspace : shard.workspaces) {
            int heads = 0;
            for (const auto& key : workspace.byAge) {
                if (++heads > headsPerWorkspace)
                    break;
                const Job& job = shard.jobs[key.job];
                if (job.hasReservation && reservationOf(shard, key.job)->kind != ReservationKind::Backlog)
                    continue;
                if (job.accelerators < 2 || !mayCharge(shard, workspace, shard.shapes[job.shape]))
                    continue;
                auto retry
                    = shard.retryAt.find({ static_cast<int>(ReservationKind::Defragment), job.workspace, job.shape });
                if (retry != shard.retryAt.end() && retry->second > at)
                    continue;
                if (best < 0 || key < QueueKey { shard.jobs[best].queuedAt, shard.jobs[best].sequence, best })
                    best = key.job;
            }
        }
        return best;
    }

} // namespace

void defragment(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (!shard.policy.defragment || shard.fleet.used + 1 >= shard.fleet.capacity
        || at - shard.defragmentedAt < interval)
        return;
    shard.defragmentedAt = at;
    auto moving = std::count_if(shard.reservations.begin(), shard.reservations.end(),
        [](const Reservation& reservation) { return reservation.kind == ReservationKind::Defragment; });
    int job = moving < mostMoves ? oldestBlocked(shard, at) : -1;
    if (job < 0)
        return;
    const Shape shape = shard.shapes[shard.jobs[job].shape];
    Slots held;
    if (const Reservation* reservation = reservationOf(shard, job))
        held = reservation->slots;
    unhold(shard.fleet, held);
    std::optional<Plan> plan;
    bool isWorthwhile = false;
    if (shard.fleet.free >= shape.accelerators) {
        plan = cheapestMoves(shard, shape);
        if (plan && canReplaceVictims(shard, *plan)) {
            // Run times are upper quantiles, so half of the expected wait is counted as gained.
            auto room = expectedRoom(shard, job, at);
            double wait = room ? std::chrono::duration<double>(room->at - at).count() / 2 : longestGainSeconds;
            double gained = shape.accelerators * std::min(wait, longestGainSeconds);
            isWorthwhile = gained > acceleratorsOf(shard, plan->victims) * moveSeconds;
        }
    }
    hold(shard.fleet, held);
    if (isWorthwhile) {
        dropReservation(shard, job);
        carryOut(shard, job, ReservationKind::Defragment, *plan, at, decisions);
        return;
    }
    shard.retryAt[{ static_cast<int>(ReservationKind::Defragment), shard.jobs[job].workspace, shard.jobs[job].shape }]
        = at + 5 * interval;
}

} // namespace agatevane::scheduling
