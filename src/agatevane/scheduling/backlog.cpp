#include "agatevane/scheduling/backlog.h"
#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/plan.h"
#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/shares.h"
#include "agatevane/scheduling/start.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    //! Number of a workspace's oldest jobs that are considered. With one only, a job blocked by the quota would hide
    //! all jobs after it.
    constexpr int maxCandidatesPerWorkspace = 4;

    //! Limit on concurrent reservations of the kind Backfillable. Three hold more capacity than backfill can use, and
    //! large gangs then wait longer.
    constexpr int maxBackfillableReservations = 1;

    //! With Policy::reserveByShare, every eighth reservation goes to the oldest gang whatever its workspace's share is.
    //! If age alone decided, a flood of jobs would get all reservations, since its jobs soon are the oldest.
    constexpr int reservationsPerAgeTurn = 8;

    //! Without Policy::reserveByShare, age alone decides for a gang that has waited this many times reservationAfter.
    constexpr int periodsUntilAgeDecides = 10;

    std::vector<int> jobsWithBackfillableReservation(const Shard& shard)
    {
        std::vector<int> jobs;
        for (const auto& reservation : shard.reservations) {
            if (reservation.kind == ReservationKind::Backfillable)
                jobs.push_back(reservation.job);
        }
        return jobs;
    }

    bool isOnAvailableWorkers(const Shard& shard, const Allocation& allocation)
    {
        return std::all_of(allocation.begin(), allocation.end(),
            [&](const AllocationPart& part) { return shard.fleet.workers[part.worker].isAvailable; });
    }

    //! Accelerators that no running gang uses on the workers of a reservation, minus those that earlier reservations
    //! wait for.
    class UnusedCapacity {
    public:
        explicit UnusedCapacity(const Shard& shard)
            : shard_(shard)
        {
        }

        bool covers(const Allocation& allocation) const
        {
            return std::all_of(allocation.begin(), allocation.end(), [&](const AllocationPart& part) {
                const Worker& worker = shard_.fleet.workers[part.worker];
                auto found = awaited_.find(part.worker);
                int awaited = found == awaited_.end() ? 0 : found->second;
                return worker.capacity - worker.used - awaited >= part.accelerators;
            });
        }

        void addAwaited(const Allocation& allocation)
        {
            for (const auto& part : allocation)
                awaited_[part.worker] += part.accelerators;
        }

    private:
        const Shard& shard_;
        std::unordered_map<int, int> awaited_;
    };

    //! Backfilled gangs whose end would let the reserved gang start. Empty if other gangs block it as well.
    std::vector<int> blockingBackfills(const Shard& shard, const Reservation& reservation)
    {
        std::vector<int> blockers;
        for (const auto& part : reservation.allocation) {
            const Worker& worker = shard.fleet.workers[part.worker];
            int missing = part.accelerators - (worker.capacity - worker.used);
            for (int gang : shard.gangsByWorker[part.worker]) {
                const Job& job = shard.jobs[gang];
                if (missing <= 0 || job.reservationHolder != reservation.job || job.allocation.empty())
                    continue;
                for (const auto& other : job.allocation)
                    missing -= other.worker == part.worker ? other.accelerators : 0;
                if (std::find(blockers.begin(), blockers.end(), gang) == blockers.end())
                    blockers.push_back(gang);
            }
            if (missing > 0)
                return {};
        }
        return blockers;
    }

    void preemptBackfills(Shard& shard, Reservation& reservation, const std::vector<int>& blockers, Instant at,
        std::vector<Decision>& decisions)
    {
        reservation.isReclaiming = true;
        for (int blocker : blockers) {
            if (shard.jobs[blocker].state != GangState::Charged)
                continue;
            Instant deadline = at + shard.policy.reclaimDeadline;
            beginPreemption(shard, blocker, deadline);
            decisions.emplace_back(PreemptGang { .job = shard.jobs[blocker].id,
                .deadline = deadline,
                .beneficiary = shard.jobs[reservation.job].id,
                .reason = "reservation" });
        }
    }

    //! When the gang is expected to end. For a gang that has exceeded its corrected run time, the estimate is half of
    //! the time it has run so far, but at least 1 s, from now.
    Instant likelyEnd(const Job& gang, Instant at)
    {
        return gang.expectedEnd > at ? gang.expectedEnd : at + std::max(Millis(1000), elapsed(gang.startedAt, at) / 2);
    }

    //! Keeps the reserved workers and moves the expected start to the likely end of their gangs. Other workers would
    //! lose the capacity that has become free on these since the reservation was made.
    void postponeExpectedStart(const Shard& shard, Reservation& reservation, Instant at)
    {
        for (const auto& part : reservation.allocation) {
            for (int gang : shard.gangsByWorker[part.worker])
                reservation.expectedAt = std::max(reservation.expectedAt, likelyEnd(shard.jobs[gang], at));
        }
    }

    bool isBelowShare(const Workspace& workspace)
    {
        return workspace.used - workspace.preempting < workspace.fairShare;
    }

    //! The oldest job without a reservation that has waited for Policy::reservationAfter; -1 if there is none. Jobs of
    //! workspaces below their fair share come first, with the exceptions described at Policy::reserveByShare.
    int oldestStarved(const Shard& shard, Instant at)
    {
        int best = -1;
        std::pair<bool, Instant> bestKey;
        bool isAgeTurn = shard.reservationTurns % reservationsPerAgeTurn == 0;
        for (const auto& workspace : shard.workspaces) {
            int considered = 0;
            for (const auto& key : workspace.queuedByAge) {
                if (++considered > maxCandidatesPerWorkspace || at - key.queuedAt < shard.policy.reservationAfter)
                    break;
                const Job& job = shard.jobs[key.job];
                if (job.hasReservation || !isWithinQuotaAndGuarantees(shard, workspace, shard.shapes[job.shape]))
                    continue;
                bool isOld = at - key.queuedAt >= periodsUntilAgeDecides * shard.policy.reservationAfter;
                bool hasPrecedence = isBelowShare(workspace) || (shard.policy.reserveByShare ? isAgeTurn : isOld);
                std::pair order { !hasPrecedence, key.queuedAt };
                if (best < 0 || order < bestKey) {
                    best = key.job;
                    bestKey = order;
                }
            }
        }
        return best;
    }

    //! Preempts for a gang that has waited for Policy::starvedAfter. Returns whether it now has capacity through that;
    //! if not, the gang keeps the reservation that it had.
    bool preemptForStarved(Shard& shard, int job, Instant at, std::vector<Decision>& decisions)
    {
        const Job& gang = shard.jobs[job];
        auto retry = shard.retryAt.find({ static_cast<int>(ReservationKind::Starved), gang.workspace, gang.shape });
        if (shard.policy.starvedAfter.count() <= 0 || at - gang.queuedAt < shard.policy.starvedAfter
            || (retry != shard.retryAt.end() && retry->second > at))
            return false;
        std::optional<Reservation> held;
        if (const Reservation* reservation = reservationOf(std::as_const(shard), job))
            held = *reservation;
        dropReservation(shard, job);
        if (preemptFor(shard, job, ReservationKind::Starved, at, decisions))
            return true;
        if (held)
            addReservation(shard, std::move(*held));
        return false;
    }

    //! Handles a reservation whose capacity is not free yet.
    void advanceWaitingReservation(Shard& shard, Reservation& reservation, Instant at, std::vector<Decision>& decisions)
    {
        if (reservation.kind == ReservationKind::Backfillable) {
            auto blockers = blockingBackfills(shard, reservation);
            if (!blockers.empty())
                preemptBackfills(shard, reservation, blockers, at, decisions);
            else if (at >= reservation.expectedAt)
                postponeExpectedStart(shard, reservation, at);
        } else if (at >= reservation.expectedAt + shard.policy.reclaimDeadline) {
            // A victim did not end in time, for example because its worker is unreachable. Without the reservation,
            // other victims can be chosen.
            dropReservation(shard, reservation.job);
        }
    }

} // namespace

std::optional<ExpectedStart> expectedStart(Shard& shard, int job, Instant at)
{
    std::vector<int> candidates;
    candidates.reserve(shard.byExpectedEnd.size());
    for (const auto& [end, gang] : shard.byExpectedEnd)
        candidates.push_back(gang);
    auto plan = planReleases(shard, shard.shapes[shard.jobs[job].shape], candidates);
    if (!plan)
        return std::nullopt;
    ExpectedStart expected { .allocation = std::move(plan->allocation), .at = at };
    for (int blocker : plan->victims) {
        expected.at = std::max(expected.at, likelyEnd(shard.jobs[blocker], at));
    }
    return expected;
}

void advanceReservations(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    std::vector<std::pair<ReservationKind, int>> order;
    order.reserve(shard.reservations.size());
    for (const auto& reservation : shard.reservations)
        order.emplace_back(reservation.kind, reservation.job);
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    UnusedCapacity unused(shard);
    for (const auto& [kind, job] : order) {
        Reservation& reservation = *reservationOf(shard, job);
        const Workspace& workspace = shard.workspaces[shard.jobs[job].workspace];
        if (!isOnAvailableWorkers(shard, reservation.allocation)
            || !isWithinQuotaAndGuarantees(shard, workspace, shard.shapes[shard.jobs[job].shape])) {
            dropReservation(shard, job);
        } else if (unused.covers(reservation.allocation)) {
            startGang(shard, job, Allocation(reservation.allocation), at, decisions);
        } else {
            unused.addAwaited(reservation.allocation);
            advanceWaitingReservation(shard, reservation, at, decisions);
        }
    }
}

void reserveForStarved(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.queuedJobs == 0)
        return;
    for (int job : jobsWithBackfillableReservation(shard))
        preemptForStarved(shard, job, at, decisions);
    for (int count = static_cast<int>(jobsWithBackfillableReservation(shard).size());
         count < maxBackfillableReservations; ++count) {
        int job = oldestStarved(shard, at);
        if (job >= 0)
            ++shard.reservationTurns;
        if (job < 0 || preemptForStarved(shard, job, at, decisions))
            return;
        auto expected = expectedStart(shard, job, at);
        if (!expected)
            return;
        addReservation(shard,
            { .job = job,
                .kind = ReservationKind::Backfillable,
                .allocation = std::move(expected->allocation),
                .expectedAt = expected->at });
    }
}

void backfill(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    for (int reservedJob : jobsWithBackfillableReservation(shard)) {
        const Reservation& reservation = *reservationOf(shard, reservedJob);
        // The reserved gang waits only for backfilled gangs that are being preempted. A gang started now would delay it
        // by one more checkpoint.
        if (reservation.isReclaiming)
            continue;
        Allocation allocation = reservation.allocation;
        Instant expectedAt = reservation.expectedAt;
        releaseHeldCapacity(shard.fleet, allocation);
        FeasibleShapes feasible = feasibleShapes(shard);
        StartPass pass;
        pass.reservationHolder = reservedJob;
        pass.isEligible = [&](const Workspace&, const Job& job) {
            auto left = correctedRunTimeMs(shard.estimator, job.kind, job.declaredMs) - job.restoredMs;
            return job.isStoppable && (job.canCheckpoint || at + Millis(left) <= expectedAt);
        };
        runStartPass(shard, pass, feasible, at, decisions);
        holdCapacity(shard.fleet, allocation);
    }
}

} // namespace agatevane::scheduling
