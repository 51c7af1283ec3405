#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/start.h"
#include <algorithm>
#include <functional>

namespace agatevane::scheduling {

namespace {

    constexpr int searchesPerDecide = 4; //!< of each kind; the rest follows with the next decisions
    constexpr Millis retryInterval { 500 }; //!< of a search that found no victims
    constexpr std::size_t mostRetries = 4096;

    constexpr std::array<std::string_view, 6> reasons { "guarantee", "urgent work", "fair share", "starved gang",
        "reservation", "defragmentation" };

    //! Collects victims as if those already collected had ended.
    class VictimList {
    public:
        VictimList(const Shard& shard, int job, ReservationKind kind, Instant at)
            : shard_(shard)
            , job_(shard.jobs[job])
            , kind_(kind)
            , at_(at)
            , leaving_(shard.leavingOf)
        {
            callerUsed_ = shard.callers[job_.caller].used + job_.accelerators;
            int used = usedWith(shard, job_);
            share_ = used / shard.workspaces[job_.workspace].weight;
            floor_ = static_cast<int>(shard.policy.classFloor * shard.fleet.capacity);
        }

        std::vector<int> collect()
        {
            // A gang of a workspace below its fair share is preempted for urgent work only if nothing else is left.
            int first = kind_ == ReservationKind::Urgent ? 0 : 1;
            for (int round = first; round < 2; ++round) {
                isLastRound_ = round == 1;
                for (int workClass = classCount - 1; workClass >= leastClass(); --workClass)
                    collect(workClass);
            }
            return std::move(victims_);
        }

    private:
        struct Source {
            double excess = 0;
            int workspace = 0;
            std::set<VictimKey>::const_iterator next;

            bool operator<(const Source& other) const { return excess < other.excess; }
        };

        int leastClass() const
        {
            switch (kind_) {
            case ReservationKind::Guarantee:
                return indexOf(WorkClass::Urgent);
            case ReservationKind::Share:
                return std::max(indexOf(job_.workClass), indexOf(WorkClass::Standard));
            default:
                return indexOf(WorkClass::Standard);
            }
        }

        double excessOf(int slot) const
        {
            const Workspace& workspace = shard_.workspaces[slot];
            return (workspace.used - workspace.leaving - takenFrom(slot)) / workspace.fairShare;
        }

        int takenFrom(int workspace) const
        {
            auto found = taken_.find(workspace);
            return found == taken_.end() ? 0 : found->second;
        }

        void collect(int workClass)
        {
            std::vector<Source> sources;
            for (int slot = 0; slot < static_cast<int>(shard_.workspaces.size()); ++slot) {
                const auto& stoppable = shard_.workspaces[slot].stoppable[workClass];
                if (!stoppable.empty())
                    sources.push_back({ excessOf(slot), slot, stoppable.begin() });
            }
            std::make_heap(sources.begin(), sources.end());
            while (!sources.empty()) {
                std::pop_heap(sources.begin(), sources.end());
                Source& source = sources.back();
                const auto& stoppable = shard_.workspaces[source.workspace].stoppable[workClass];
                int victim = -1;
                while (victim < 0 && source.next != stoppable.end()) {
                    if (isAllowed(shard_.jobs[source.next->job]))
                        victim = source.next->job;
                    ++source.next;
                }
                if (victim < 0) {
                    sources.pop_back();
                    continue;
                }
                add(victim);
                source.excess = excessOf(source.workspace);
                std::push_heap(sources.begin(), sources.end());
            }
        }

        void add(int victim)
        {
            const Job& gang = shard_.jobs[victim];
            victims_.push_back(victim);
            listed_.insert(victim);
            taken_[gang.workspace] += gang.accelerators;
            takenFromCaller_[gang.caller] += gang.accelerators;
            leaving_[indexOf(gang.workClass)] += gang.accelerators;
        }

        bool isAllowed(const Job& gang) const
        {
            bool isOwn = gang.workspace == job_.workspace;
            const Workspace& workspace = shard_.workspaces[gang.workspace];
            int used = workspace.used - workspace.leaving - takenFrom(gang.workspace);
            bool hasRunAWhile = at_ - gang.startedAt >= shard_.policy.reservationAfter;
            switch (kind_) {
            case ReservationKind::Guarantee:
                return !gang.isProtected;
            case ReservationKind::Urgent: {
                int workClass = indexOf(gang.workClass);
                if (shard_.usedOf[workClass] - leaving_[workClass] - gang.accelerators < floor_)
                    return false;
                if (listed_.contains(static_cast<int>(&gang - shard_.jobs.data())))
                    return false;
                return isOwn || (!gang.isProtected && (isLastRound_ || used > workspace.fairShare));
            }
            case ReservationKind::Share:
                if (!gang.canCheckpoint || !hasRunAWhile)
                    return false;
                if (isOwn) {
                    auto found = takenFromCaller_.find(gang.caller);
                    int taken = found == takenFromCaller_.end() ? 0 : found->second;
                    return gang.caller != job_.caller
                        && shard_.callers[gang.caller].used - taken - gang.accelerators >= callerUsed_;
                }
                return !gang.isProtected && (used - gang.accelerators) / workspace.weight >= share_;
            default:
                return gang.canCheckpoint && hasRunAWhile && !gang.isProtected;
            }
        }

        const Shard& shard_;
        const Job& job_;
        ReservationKind kind_;
        Instant at_;
        int callerUsed_ = 0;
        double share_ = 0;
        int floor_ = 0;
        bool isLastRound_ = false;
        std::array<int, classCount> leaving_;
        std::unordered_map<int, int> taken_; //!< accelerators by workspace
        std::unordered_map<int, int> takenFromCaller_;
        std::set<int> listed_;
        std::vector<int> victims_;
    };

    //! A claim may also take capacity that is held for jobs without one; reservations that it cuts are given up.
    std::optional<Plan> planOverReservations(
        Shard& shard, int job, ReservationKind kind, const std::vector<int>& victims)
    {
        std::vector<Reservation> lesser;
        for (const auto& reservation : shard.reservations) {
            if (reservation.kind > kind && reservation.job != job)
                lesser.push_back(reservation);
        }
        for (const auto& reservation : lesser)
            unhold(shard.fleet, reservation.slots);
        auto plan = planWithout(shard, shard.shapes[shard.jobs[job].shape], victims);
        for (const auto& reservation : lesser)
            hold(shard.fleet, reservation.slots);
        if (!plan)
            return plan;
        IndexSet taken;
        for (const auto& part : plan->slots)
            taken.insert(part.worker);
        for (const auto& reservation : lesser) {
            if (std::any_of(reservation.slots.begin(), reservation.slots.end(),
                    [&](const SlotPart& part) { return taken.contains(part.worker); }))
                dropReservation(shard, reservation.job);
        }
        return plan;
    }

    bool isRetryDue(const Shard& shard, const Job& job, ReservationKind kind, Instant at)
    {
        auto found = shard.retryAt.find({ static_cast<int>(kind), job.workspace, job.shape });
        return found == shard.retryAt.end() || found->second <= at;
    }

    //! The oldest eligible job of the next caller in order that has no reservation and whose search is due.
    int nextClaim(const Shard& shard, const Workspace& workspace, ReservationKind kind, Instant at,
        const std::function<bool(const Job&)>& isEligible)
    {
        for (const auto& key : workspace.waitingCallers) {
            const Caller& caller = shard.callers[key.caller];
            for (const auto& queues : caller.queues) {
                int best = -1;
                for (const auto& [shape, queue] : queues) {
                    for (const auto& entry : queue) {
                        const Job& job = shard.jobs[entry.job];
                        if (job.hasReservation)
                            continue;
                        if (isEligible(job) && isRetryDue(shard, job, kind, at)
                            && mayCharge(shard, workspace, shard.shapes[shape])
                            && (best < 0 || job.queuedAt < shard.jobs[best].queuedAt))
                            best = entry.job;
                        break;
                    }
                }
                if (best >= 0)
                    return best;
            }
        }
        return -1;
    }

    void preemptForEach(Shard& shard, ReservationKind kind, Instant at, std::vector<Decision>& decisions,
        const std::function<bool(const Workspace&)>& isCandidate,
        const std::function<bool(const Workspace&, const Job&)>& isEligible)
    {
        std::vector<std::pair<double, int>> order;
        for (int slot = 0; slot < static_cast<int>(shard.workspaces.size()); ++slot) {
            if (shard.workspaces[slot].queuedJobs > 0 && isCandidate(shard.workspaces[slot]))
                order.emplace_back(score(shard, shard.workspaces[slot], at), slot);
        }
        std::sort(order.begin(), order.end());
        int failures = 0;
        for (const auto& [unused, slot] : order) {
            while (failures < searchesPerDecide) {
                const Workspace& workspace = shard.workspaces[slot];
                int job = nextClaim(
                    shard, workspace, kind, at, [&](const Job& candidate) { return isEligible(workspace, candidate); });
                if (job < 0)
                    break;
                if (!preemptFor(shard, job, kind, at, decisions))
                    ++failures;
            }
        }
    }

} // namespace

int usedWith(const Shard& shard, const Job& job)
{
    const Workspace& workspace = shard.workspaces[job.workspace];
    int pending = workspace.pending - (job.hasReservation ? job.accelerators : 0);
    return workspace.used - workspace.leaving + pending + job.accelerators;
}

bool isWithinUrgentShare(const Shard& shard, const Workspace& workspace, const Job& job)
{
    int pending = 0;
    for (const auto& reservation : shard.reservations) {
        const Job& other = shard.jobs[reservation.job];
        if (reservation.kind == ReservationKind::Urgent && other.workspace == job.workspace && &other != &job)
            pending += other.accelerators;
    }
    int used = workspace.urgentUsed + pending;
    return used == 0 || used + job.accelerators <= workspace.fairShare;
}

std::vector<int> victimsFor(const Shard& shard, int job, ReservationKind kind, Instant at)
{
    return VictimList(shard, job, kind, at).collect();
}

void carryOut(
    Shard& shard, int job, ReservationKind kind, const Plan& plan, Instant at, std::vector<Decision>& decisions)
{
    if (plan.victims.empty()) {
        startGang(shard, job, plan.slots, at, decisions);
        return;
    }
    Millis allowed
        = kind == ReservationKind::Urgent ? shard.policy.urgentReclaimDeadline : shard.policy.reclaimDeadline;
    // The victims' checkpoints must leave time to stop them and to start the claim before the deadline.
    Instant deadline = at + allowed - std::min(Millis(2000), allowed / 5);
    for (int victim : plan.victims) {
        beginPreemption(shard, victim, deadline);
        decisions.emplace_back(PreemptGang { .job = shard.jobs[victim].id,
            .deadline = deadline,
            .beneficiary = shard.jobs[job].id,
            .reason = std::string(reasons[static_cast<std::size_t>(kind)]) });
    }
    addReservation(shard, { .job = job, .kind = kind, .slots = plan.slots, .until = deadline });
}

bool preemptFor(Shard& shard, int job, ReservationKind kind, Instant at, std::vector<Decision>& decisions)
{
    const Shape shape = shard.shapes[shard.jobs[job].shape];
    if (!mayCharge(shard, shard.workspaces[shard.jobs[job].workspace], shape))
        return false;
    auto victims = victimsFor(shard, job, kind, at);
    auto plan = planWithout(shard, shape, victims);
    if (!plan && kind <= ReservationKind::Urgent)
        plan = planOverReservations(shard, job, kind, victims);
    if (!plan) {
        if (shard.retryAt.size() >= mostRetries)
            shard.retryAt.clear();
        shard.retryAt[{ static_cast<int>(kind), shard.jobs[job].workspace, shard.jobs[job].shape }]
            = at + retryInterval;
        return false;
    }
    carryOut(shard, job, kind, *plan, at, decisions);
    return true;
}

void preemptForGuarantees(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    preemptForEach(
        shard, ReservationKind::Guarantee, at, decisions,
        [](const Workspace& workspace) {
            return workspace.used - workspace.leaving + workspace.pending < workspace.effectiveGuarantee;
        },
        [&](const Workspace& workspace, const Job& job) {
            return usedWith(shard, job) <= workspace.effectiveGuarantee;
        });
}

void preemptForUrgent(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.queuedOf[indexOf(WorkClass::Urgent)] == 0)
        return;
    preemptForEach(
        shard, ReservationKind::Urgent, at, decisions,
        [](const Workspace& workspace) { return !workspace.shapes[indexOf(WorkClass::Urgent)].empty(); },
        [&](const Workspace& workspace, const Job& job) {
            return job.workClass == WorkClass::Urgent && isWithinUrgentShare(shard, workspace, job);
        });
}

void preemptForShares(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.policy.shareClaimAfter.count() <= 0)
        return;
    preemptForEach(
        shard, ReservationKind::Share, at, decisions,
        [&](const Workspace& workspace) {
            return at - workspace.byAge.begin()->queuedAt >= shard.policy.shareClaimAfter;
        },
        [&](const Workspace&, const Job& job) { return at - job.queuedAt >= shard.policy.shareClaimAfter; });
}

} // namespace agatevane::scheduling
