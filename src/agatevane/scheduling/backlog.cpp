#include "agatevane/scheduling/backlog.h"
#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/plan.h"
#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/start.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    constexpr int headsPerWorkspace = 4; //!< oldest jobs considered, so that one blocked by the quota hides no other
    constexpr int mostBacklogs
        = 1; //!< three were tried: they hold more than backfill uses, and large gangs waited longer
    //! With reserveByShare, one reservation in so many goes to the oldest gang whatever its share. If age alone
    //! decided, a flood would hold all of them, since its jobs are soon the oldest.
    constexpr int turnsPerCycle = 8;
    constexpr int fairPeriods = 10; //!< after so many times reservationAfter age alone decides

    std::vector<int> backlogJobs(const Shard& shard)
    {
        std::vector<int> jobs;
        for (const auto& reservation : shard.reservations) {
            if (reservation.kind == ReservationKind::Backlog)
                jobs.push_back(reservation.job);
        }
        return jobs;
    }

    bool isOnAvailableWorkers(const Shard& shard, const Slots& slots)
    {
        return std::all_of(slots.begin(), slots.end(),
            [&](const SlotPart& part) { return shard.fleet.workers[part.worker].isAvailable; });
    }

    //! Unused accelerators of the workers of a reservation, less those that reservations before it wait for.
    class UnusedCapacity {
    public:
        explicit UnusedCapacity(const Shard& shard)
            : shard_(shard)
        {
        }

        bool covers(const Slots& slots) const
        {
            return std::all_of(slots.begin(), slots.end(), [&](const SlotPart& part) {
                const Worker& worker = shard_.fleet.workers[part.worker];
                auto found = awaited_.find(part.worker);
                int awaited = found == awaited_.end() ? 0 : found->second;
                return worker.capacity - worker.used - awaited >= part.accelerators;
            });
        }

        void awaitFor(const Slots& slots)
        {
            for (const auto& part : slots)
                awaited_[part.worker] += part.accelerators;
        }

    private:
        const Shard& shard_;
        std::unordered_map<int, int> awaited_;
    };

    //! Gangs that run on the reserved workers only until the reserved gang can start; none if others block it too.
    std::vector<int> lastBlockers(const Shard& shard, const Reservation& reservation)
    {
        std::vector<int> blockers;
        for (const auto& part : reservation.slots) {
            const Worker& worker = shard.fleet.workers[part.worker];
            int missing = part.accelerators - (worker.capacity - worker.used);
            for (int gang : shard.gangsOf[part.worker]) {
                const Job& job = shard.jobs[gang];
                if (missing <= 0 || job.backfills != reservation.job || job.slots.empty())
                    continue;
                for (const auto& other : job.slots)
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
        reservation.isClosing = true;
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

    //! When the gang is expected to end; one that has overrun its corrected run time may take half as long again.
    Instant likelyEnd(const Job& gang, Instant at)
    {
        return gang.expectedEnd > at ? gang.expectedEnd : at + std::max(Millis(1000), elapsed(gang.startedAt, at) / 2);
    }

    //! Waits on for the same workers: to choose others would lose what has become free there since.
    void extend(const Shard& shard, Reservation& reservation, Instant at)
    {
        for (const auto& part : reservation.slots) {
            for (int gang : shard.gangsOf[part.worker])
                reservation.until = std::max(reservation.until, likelyEnd(shard.jobs[gang], at));
        }
    }

    bool isBelowShare(const Workspace& workspace)
    {
        return workspace.used - workspace.leaving < workspace.fairShare;
    }

    //! The oldest job without a reservation that has waited for reservationAfter; those of workspaces below their fair
    //! share come first; see Policy::reserveByShare.
    int oldestStarved(const Shard& shard, Instant at)
    {
        int best = -1;
        std::pair<bool, Instant> bestKey;
        bool isAnyonesTurn = shard.backlogTurns % turnsPerCycle == 0;
        for (const auto& workspace : shard.workspaces) {
            int heads = 0;
            for (const auto& key : workspace.byAge) {
                if (++heads > headsPerWorkspace || at - key.queuedAt < shard.policy.reservationAfter)
                    break;
                const Job& job = shard.jobs[key.job];
                if (job.hasReservation || !mayCharge(shard, workspace, shard.shapes[job.shape]))
                    continue;
                bool isOld = at - key.queuedAt >= fairPeriods * shard.policy.reservationAfter;
                bool isOwed = isBelowShare(workspace) || (shard.policy.reserveByShare ? isAnyonesTurn : isOld);
                std::pair order { !isOwed, key.queuedAt };
                if (best < 0 || order < bestKey) {
                    best = key.job;
                    bestKey = order;
                }
            }
        }
        return best;
    }

    //! Whether the gang, starved for long enough, now holds capacity by preemption. Its reservation stays if not.
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

    void awaitVictims(Shard& shard, Reservation& reservation, Instant at, std::vector<Decision>& decisions)
    {
        if (reservation.kind == ReservationKind::Backlog) {
            auto blockers = lastBlockers(shard, reservation);
            if (!blockers.empty())
                preemptBackfills(shard, reservation, blockers, at, decisions);
            else if (at >= reservation.until)
                extend(shard, reservation, at);
        } else if (at >= reservation.until + shard.policy.reclaimDeadline) {
            // A victim did not end in time, for example on a worker that lost contact: other victims are chosen.
            dropReservation(shard, reservation.job);
        }
    }

} // namespace

std::optional<ExpectedRoom> expectedRoom(Shard& shard, int job, Instant at)
{
    std::vector<int> candidates;
    candidates.reserve(shard.byExpectedEnd.size());
    for (const auto& [end, gang] : shard.byExpectedEnd)
        candidates.push_back(gang);
    auto plan = planWithout(shard, shard.shapes[shard.jobs[job].shape], candidates);
    if (!plan)
        return std::nullopt;
    ExpectedRoom room { .slots = std::move(plan->slots), .at = at };
    for (int blocker : plan->victims) {
        room.at = std::max(room.at, likelyEnd(shard.jobs[blocker], at));
    }
    return room;
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
        if (!isOnAvailableWorkers(shard, reservation.slots)
            || !mayCharge(shard, workspace, shard.shapes[shard.jobs[job].shape])) {
            dropReservation(shard, job);
        } else if (unused.covers(reservation.slots)) {
            startGang(shard, job, Slots(reservation.slots), at, decisions);
        } else {
            unused.awaitFor(reservation.slots);
            awaitVictims(shard, reservation, at, decisions);
        }
    }
}

void reserveForStarved(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.queuedJobs == 0)
        return;
    for (int job : backlogJobs(shard))
        preemptForStarved(shard, job, at, decisions);
    for (int count = static_cast<int>(backlogJobs(shard).size()); count < mostBacklogs; ++count) {
        int job = oldestStarved(shard, at);
        if (job >= 0)
            ++shard.backlogTurns;
        if (job < 0 || preemptForStarved(shard, job, at, decisions))
            return;
        auto room = expectedRoom(shard, job, at);
        if (!room)
            return;
        addReservation(shard,
            { .job = job, .kind = ReservationKind::Backlog, .slots = std::move(room->slots), .until = room->at });
    }
}

void backfill(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    for (int reserved : backlogJobs(shard)) {
        const Reservation& backlog = *reservationOf(shard, reserved);
        // Work started now would delay the reserved gang by its own checkpoint.
        if (backlog.isClosing)
            continue;
        Slots slots = backlog.slots;
        Instant until = backlog.until;
        unhold(shard.fleet, slots);
        FeasibleShapes feasible = feasibleShapes(shard);
        StartPass pass;
        pass.backfills = reserved;
        pass.isEligible = [&](const Workspace&, const Job& job) {
            auto left = correctedMs(shard.estimator, job.kind, job.declaredMs) - job.restoredMs;
            return job.isStoppable && (job.canCheckpoint || at + Millis(left) <= until);
        };
        runStartPass(shard, pass, feasible, at, decisions);
        hold(shard.fleet, slots);
    }
}

} // namespace agatevane::scheduling
