#include "agatevane/scheduling/backlog.h"
#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/shares.h"
#include <algorithm>
#include <numeric>

namespace agatevane::scheduling {

namespace {

    constexpr Millis attemptInterval { 1000 }; //!< minimum time between attempts; each searches the whole data centre
    constexpr double moveCostSeconds = 30; //!< time that a moved accelerator loses by checkpoint, stop and restart
    constexpr double maxGainSeconds = 3600; //!< limit on the wait counted as gained, since run times are uncertain
    constexpr int maxCandidatesPerWorkspace = 4; //!< number of a workspace's oldest jobs that are considered
    constexpr int maxConcurrentDefragmentations = 4; //!< gangs for which others are being moved at the same time

    bool isMovable(const Job& gang, const Shape& shape)
    {
        return gang.state == GangState::Charged && gang.canCheckpoint && gang.accelerators < shape.accelerators;
    }

    //! Movable gangs on the workers, starting with those on the workers with the fewest accelerators in use.
    std::vector<int> movableGangs(const Shard& shard, std::vector<int> workers, const Shape& shape)
    {
        std::erase_if(workers, [&](int slot) {
            const Worker& worker = shard.fleet.workers[slot];
            return !worker.isAvailable || worker.used == 0 || worker.capacity < shape.acceleratorsPerWorker
                || slot >= static_cast<int>(shard.gangsByWorker.size());
        });
        std::sort(workers.begin(), workers.end(), [&](int a, int b) {
            return std::pair(shard.fleet.workers[a].used, a) < std::pair(shard.fleet.workers[b].used, b);
        });
        std::vector<int> gangs;
        IndexSet listed;
        for (int slot : workers) {
            for (int gang : shard.gangsByWorker[slot]) {
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

    //! The plan whose victims use the fewest accelerators.
    std::optional<ReleasePlan> cheapestReleasePlan(Shard& shard, const Shape& shape)
    {
        if (shape.maxSpread == Spread::DataCentre) {
            std::vector<int> workers(shard.fleet.workers.size());
            std::iota(workers.begin(), workers.end(), 0);
            return planReleases(shard, shape, movableGangs(shard, std::move(workers), shape));
        }
        std::optional<ReleasePlan> best;
        for (const auto& rack : shard.fleet.racks) {
            if (rack.free == 0)
                continue;
            auto gangs = movableGangs(shard, rack.workers, shape);
            if (rack.free + acceleratorsOf(shard, gangs) < shape.accelerators && shape.maxSpread == Spread::Rack)
                continue;
            auto plan = planReleases(shard, shape, gangs);
            if (plan && (!best || acceleratorsOf(shard, plan->victims) < acceleratorsOf(shard, best->victims)))
                best = std::move(plan);
        }
        return best;
    }

    //! The oldest queued gang of several accelerators for which defragmentation may be tried now; -1 if there is none.
    //! It has found no block of adjacent workers, even if enough accelerators are free in total, since gangs that fit
    //! have been started before. A reservation of the kind Backfillable does not exclude a gang.
    int oldestDefragmentationCandidate(const Shard& shard, Instant at)
    {
        int best = -1;
        for (const auto& workspace : shard.workspaces) {
            int considered = 0;
            for (const auto& key : workspace.queuedByAge) {
                if (++considered > maxCandidatesPerWorkspace)
                    break;
                const Job& job = shard.jobs[key.job];
                if (job.hasReservation && reservationOf(shard, key.job)->kind != ReservationKind::Backfillable)
                    continue;
                if (job.accelerators < 2 || !isWithinQuotaAndGuarantees(shard, workspace, shard.shapes[job.shape]))
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
        || at - shard.defragmentedAt < attemptInterval)
        return;
    shard.defragmentedAt = at;
    auto ongoing = std::count_if(shard.reservations.begin(), shard.reservations.end(),
        [](const Reservation& reservation) { return reservation.kind == ReservationKind::Defragment; });
    int job = ongoing < maxConcurrentDefragmentations ? oldestDefragmentationCandidate(shard, at) : -1;
    if (job < 0)
        return;
    const Shape shape = shard.shapes[shard.jobs[job].shape];
    Allocation held;
    if (const Reservation* reservation = reservationOf(shard, job))
        held = reservation->allocation;
    releaseHeldCapacity(shard.fleet, held);
    std::optional<ReleasePlan> plan;
    bool isWorthwhile = false;
    if (shard.fleet.free >= shape.accelerators) {
        plan = cheapestReleasePlan(shard, shape);
        if (plan && canPlaceVictimsElsewhere(shard, *plan)) {
            // Estimated run times are upper quantiles, so only half of the expected wait is counted as gained.
            auto expected = expectedStart(shard, job, at);
            double wait = expected ? std::chrono::duration<double>(expected->at - at).count() / 2 : maxGainSeconds;
            double gained = shape.accelerators * std::min(wait, maxGainSeconds);
            isWorthwhile = gained > acceleratorsOf(shard, plan->victims) * moveCostSeconds;
        }
    }
    holdCapacity(shard.fleet, held);
    if (isWorthwhile) {
        dropReservation(shard, job);
        applyPlan(shard, job, ReservationKind::Defragment, *plan, at, decisions);
        return;
    }
    shard.retryAt[{ static_cast<int>(ReservationKind::Defragment), shard.jobs[job].workspace, shard.jobs[job].shape }]
        = at + 5 * attemptInterval;
}

} // namespace agatevane::scheduling
