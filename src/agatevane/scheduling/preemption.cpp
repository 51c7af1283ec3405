#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/start.h"
#include <algorithm>
#include <functional>

namespace agatevane::scheduling {

namespace {

    constexpr std::size_t mostRetries = 4096;

    constexpr std::array<std::string_view, 6> reasons { "guarantee", "urgent work", "fair share", "starved gang",
        "reservation", "defragmentation" };

    Millis deadlineOf(const Shard& shard, ReservationKind kind)
    {
        return kind == ReservationKind::Urgent ? shard.policy.urgentReclaimDeadline : shard.policy.reclaimDeadline;
    }

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

    //! Searches that failed are repeated later, since each visits every gang that may be preempted.
    Millis retryInterval(ReservationKind kind)
    {
        return Millis(kind <= ReservationKind::Urgent ? 500 : 5000);
    }

    int searchesPerDecide(ReservationKind kind)
    {
        return kind == ReservationKind::Guarantee ? 2 : 1;
    }

    //! The victims for a guarantee do not depend on whose it is, so one failure stands for all workspaces.
    std::tuple<int, int, int> retryKey(const Job& job, ReservationKind kind)
    {
        return { static_cast<int>(kind), kind == ReservationKind::Guarantee ? -1 : job.workspace, job.shape };
    }

    struct ClaimRule {
        ReservationKind kind;
        int classes; //!< the rule is for this many of the most urgent classes
        std::function<bool(const Workspace&)> isCandidate;
        std::function<bool(const Workspace&, const Shape&)> isShapeEligible;
        std::function<bool(const Workspace&, const Job&)> isEligible;
    };

    //! Shapes of the workspace's queued jobs for which a search is allowed and due.
    IndexSet claimableShapes(const Shard& shard, int slot, const ClaimRule& rule, Instant at)
    {
        const Workspace& workspace = shard.workspaces[slot];
        IndexSet claimable;
        for (int workClass = 0; workClass < rule.classes; ++workClass) {
            const IndexSet& shapes = workspace.shapes[workClass];
            for (int shape = shapes.next(0); shape >= 0; shape = shapes.next(shape + 1)) {
                Job sample;
                sample.workspace = slot;
                sample.shape = shape;
                auto retry = shard.retryAt.find(retryKey(sample, rule.kind));
                if ((retry == shard.retryAt.end() || retry->second <= at)
                    && rule.isShapeEligible(workspace, shard.shapes[shape])
                    && mayCharge(shard, workspace, shard.shapes[shape]))
                    claimable.insert(shape);
            }
        }
        return claimable;
    }

    //! The oldest eligible job of the next caller in order that has no reservation.
    int nextClaim(const Shard& shard, int slot, const ClaimRule& rule, Instant at)
    {
        const Workspace& workspace = shard.workspaces[slot];
        IndexSet claimable = claimableShapes(shard, slot, rule, at);
        if (claimable.empty())
            return -1;
        for (const auto& key : workspace.waitingCallers) {
            const Caller& caller = shard.callers[key.caller];
            for (int workClass = 0; workClass < rule.classes; ++workClass) {
                if (!intersects(caller.shapes[workClass], claimable))
                    continue;
                int best = -1;
                for (const auto& [shape, queue] : caller.queues[workClass]) {
                    if (!claimable.contains(shape))
                        continue;
                    auto head = std::find_if(queue.begin(), queue.end(),
                        [&](const QueueKey& entry) { return !shard.jobs[entry.job].hasReservation; });
                    if (head != queue.end() && rule.isEligible(workspace, shard.jobs[head->job])
                        && (best < 0 || head->queuedAt < shard.jobs[best].queuedAt))
                        best = head->job;
                }
                if (best >= 0)
                    return best;
            }
        }
        return -1;
    }

    void preemptForEach(Shard& shard, const ClaimRule& rule, Instant at, std::vector<Decision>& decisions)
    {
        std::vector<std::pair<double, int>> order;
        for (int slot = 0; slot < static_cast<int>(shard.workspaces.size()); ++slot) {
            if (shard.workspaces[slot].queuedJobs > 0 && rule.isCandidate(shard.workspaces[slot]))
                order.emplace_back(score(shard, shard.workspaces[slot], at), slot);
        }
        std::sort(order.begin(), order.end());
        int failures = 0;
        for (const auto& [unused, slot] : order) {
            while (failures < searchesPerDecide(rule.kind)) {
                int job = nextClaim(shard, slot, rule, at);
                if (job < 0)
                    break;
                if (!preemptFor(shard, job, rule.kind, at, decisions))
                    ++failures;
            }
        }
    }

    //! A gang of a workspace above its fair share may preempt only if at least half of it runs on idle accelerators.
    bool isJustified(const Shard& shard, const Job& job, const Plan& plan)
    {
        const Workspace& workspace = shard.workspaces[job.workspace];
        int preempted = 0;
        for (int victim : plan.victims)
            preempted += shard.jobs[victim].accelerators;
        return workspace.used - workspace.leaving < workspace.fairShare || 2 * preempted <= job.accelerators;
    }

    int roomInGuarantee(const Workspace& workspace)
    {
        return workspace.effectiveGuarantee - (workspace.used - workspace.leaving + workspace.pending);
    }

} // namespace

int largestVictim(const Job& job)
{
    constexpr int wholeWorker = 8; // smaller claims often need one worker's gangs to end
    return std::max(job.accelerators, wholeWorker);
}

int usedWith(const Shard& shard, const Job& job)
{
    const Workspace& workspace = shard.workspaces[job.workspace];
    int pending = workspace.pending - (job.hasReservation ? job.accelerators : 0);
    return workspace.used - workspace.leaving + pending + job.accelerators;
}

bool isWithinUrgentShare(const Workspace& workspace, int accelerators)
{
    int used = workspace.urgentUsed + workspace.urgentPending;
    return used == 0 || used + accelerators <= workspace.fairShare;
}

void carryOut(
    Shard& shard, int job, ReservationKind kind, const Plan& plan, Instant at, std::vector<Decision>& decisions)
{
    if (plan.victims.empty()) {
        startGang(shard, job, plan.slots, at, decisions);
        return;
    }
    Millis allowed = deadlineOf(shard, kind);
    bool hasLarge = std::any_of(plan.victims.begin(), plan.victims.end(),
        [&](int victim) { return shard.jobs[victim].accelerators > largestVictim(shard.jobs[job]); });
    if (hasLarge)
        allowed /= 2; // the claim has waited for the other half
    // The victims' checkpoints must leave time to stop them and to start the claim before the deadline.
    Instant deadline = at + allowed - std::min(Millis(2000), allowed / 5);
    for (int victim : plan.victims) {
        bool isMoved = kind == ReservationKind::Starved && shard.jobs[victim].isProtected;
        beginPreemption(shard, victim, deadline);
        decisions.emplace_back(PreemptGang { .job = shard.jobs[victim].id,
            .deadline = deadline,
            .beneficiary = shard.jobs[job].id,
            .reason = std::string(reasons[static_cast<std::size_t>(isMoved ? ReservationKind::Defragment : kind)]) });
    }
    addReservation(shard, { .job = job, .kind = kind, .slots = plan.slots, .until = deadline });
}

bool preemptFor(Shard& shard, int job, ReservationKind kind, Instant at, std::vector<Decision>& decisions)
{
    const Shape shape = shard.shapes[shard.jobs[job].shape];
    if (!mayCharge(shard, shard.workspaces[shard.jobs[job].workspace], shape))
        return false;
    auto victims = victimsFor(shard, job, kind, at);
    auto small = victims;
    std::erase_if(small, [&](int victim) { return shard.jobs[victim].accelerators > largestVictim(shard.jobs[job]); });
    bool isClaim = kind <= ReservationKind::Urgent;
    auto plan = planWithout(shard, shape, small);
    if (!plan && isClaim)
        plan = planOverReservations(shard, job, kind, small);
    // Freed capacity goes to claims first, so a claim often needs no large gang to end if it waits for a while.
    bool mayUseLarge = !isClaim || at - shard.jobs[job].queuedAt >= deadlineOf(shard, kind) / 2;
    if (!plan && mayUseLarge && small.size() < victims.size()) {
        plan = planWithout(shard, shape, victims);
        if (!plan && isClaim)
            plan = planOverReservations(shard, job, kind, victims);
    }
    if (plan && kind == ReservationKind::Starved && !isJustified(shard, shard.jobs[job], *plan))
        plan.reset();
    if (!plan) {
        if (shard.retryAt.size() >= mostRetries)
            shard.retryAt.clear();
        shard.retryAt[retryKey(shard.jobs[job], kind)] = at + retryInterval(kind);
        return false;
    }
    carryOut(shard, job, kind, *plan, at, decisions);
    return true;
}

void preemptForGuarantees(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    ClaimRule rule { .kind = ReservationKind::Guarantee,
        .classes = classCount,
        .isCandidate = [](const Workspace& workspace) { return roomInGuarantee(workspace) > 0; },
        .isShapeEligible = [](const Workspace& workspace,
                               const Shape& shape) { return shape.accelerators <= roomInGuarantee(workspace); },
        .isEligible = [](const Workspace&, const Job&) { return true; } };
    preemptForEach(shard, rule, at, decisions);
}

void preemptForUrgent(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.queuedOf[indexOf(WorkClass::Urgent)] == 0)
        return;
    ClaimRule rule { .kind = ReservationKind::Urgent,
        .classes = 1,
        .isCandidate = [](const Workspace& workspace) { return !workspace.shapes[indexOf(WorkClass::Urgent)].empty(); },
        .isShapeEligible = [](const Workspace& workspace,
                               const Shape& shape) { return isWithinUrgentShare(workspace, shape.accelerators); },
        .isEligible = [](const Workspace&, const Job&) { return true; } };
    preemptForEach(shard, rule, at, decisions);
}

void preemptForShares(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.policy.shareClaimAfter.count() <= 0)
        return;
    double largestShare = 0;
    for (const auto& workspace : shard.workspaces)
        largestShare = std::max(largestShare, (workspace.used - workspace.leaving) / workspace.weight);
    ClaimRule rule { .kind = ReservationKind::Share,
        .classes = classCount,
        .isCandidate =
            [&](const Workspace& workspace) {
                return at - workspace.byAge.begin()->queuedAt >= shard.policy.shareClaimAfter;
            },
        .isShapeEligible =
            [&](const Workspace& workspace, const Shape& shape) {
                double share
                    = (workspace.used - workspace.leaving + workspace.pending + shape.accelerators) / workspace.weight;
                bool mayOtherCallerYield = workspace.used - workspace.leaving > shape.accelerators;
                return share < largestShare || mayOtherCallerYield;
            },
        .isEligible
        = [&](const Workspace&, const Job& job) { return at - job.queuedAt >= shard.policy.shareClaimAfter; } };
    preemptForEach(shard, rule, at, decisions);
}

} // namespace agatevane::scheduling
