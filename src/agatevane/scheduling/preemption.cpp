#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/shares.h"
#include "agatevane/scheduling/start.h"
#include <algorithm>
#include <functional>

namespace agatevane::scheduling {

namespace {

    constexpr std::size_t maxRetryEntries = 4096; //!< bound on the memory of Shard::retryAt

    //! Reasons given for a preemption, by ReservationKind.
    constexpr std::array<std::string_view, 6> reasons { "guarantee", "urgent work", "fair share", "starved gang",
        "reservation", "defragmentation" };

    //! Time from the decision to preempt until the capacity is due.
    Millis reclaimDeadlineFor(const Shard& shard, ReservationKind kind)
    {
        return kind == ReservationKind::Urgent ? shard.policy.urgentReclaimDeadline : shard.policy.reclaimDeadline;
    }

    //! Plans as if reservations of less important kinds did not exist, and drops those on workers that the plan uses.
    std::optional<ReleasePlan> planIgnoringLowerReservations(
        Shard& shard, int job, ReservationKind kind, const std::vector<int>& victims)
    {
        std::vector<Reservation> lowerReservations;
        for (const auto& reservation : shard.reservations) {
            if (reservation.kind > kind && reservation.job != job)
                lowerReservations.push_back(reservation);
        }
        for (const auto& reservation : lowerReservations)
            releaseHeldCapacity(shard.fleet, reservation.allocation);
        auto plan = planReleases(shard, shard.shapes[shard.jobs[job].shape], victims);
        for (const auto& reservation : lowerReservations)
            holdCapacity(shard.fleet, reservation.allocation);
        if (!plan)
            return plan;
        IndexSet taken;
        for (const auto& part : plan->allocation)
            taken.insert(part.worker);
        for (const auto& reservation : lowerReservations) {
            if (std::any_of(reservation.allocation.begin(), reservation.allocation.end(),
                    [&](const AllocationPart& part) { return taken.contains(part.worker); }))
                dropReservation(shard, reservation.job);
        }
        return plan;
    }

    //! Minimum time after a failed search for victims until the next one, since each search visits every gang that may
    //! be preempted.
    Millis retryInterval(ReservationKind kind)
    {
        return Millis(kind <= ReservationKind::Urgent ? 500 : 5000);
    }

    //! Number of failed searches after which one call of `decide` makes no more for this kind.
    int maxFailedSearches(ReservationKind kind)
    {
        return kind == ReservationKind::Guarantee ? 2 : 1;
    }

    //! Key of Shard::retryAt. The victims for a guarantee claim do not depend on the workspace, so one failed search is
    //! valid for all workspaces.
    std::tuple<int, int, int> retryKey(const Job& job, ReservationKind kind)
    {
        return { static_cast<int>(kind), kind == ReservationKind::Guarantee ? -1 : job.workspace, job.shape };
    }

    //! Which queued jobs may preempt for one kind of reservation.
    struct PreemptionRule {
        ReservationKind kind;
        int classes; //!< number of classes, from the most urgent, to which the rule applies
        std::function<bool(const Workspace&)> isCandidate;
        std::function<bool(const Workspace&, const Shape&)> isShapeEligible;
        std::function<bool(const Workspace&, const Job&)> isEligible;
    };

    //! Shapes of the workspace's queued jobs for which the rule allows a search and no retry time is pending.
    IndexSet eligibleShapes(const Shard& shard, int slot, const PreemptionRule& rule, Instant at)
    {
        const Workspace& workspace = shard.workspaces[slot];
        IndexSet eligible;
        for (int workClass = 0; workClass < rule.classes; ++workClass) {
            const IndexSet& shapes = workspace.queuedShapes[workClass];
            for (int shape = shapes.next(0); shape >= 0; shape = shapes.next(shape + 1)) {
                Job sample;
                sample.workspace = slot;
                sample.shape = shape;
                auto retry = shard.retryAt.find(retryKey(sample, rule.kind));
                if ((retry == shard.retryAt.end() || retry->second <= at)
                    && rule.isShapeEligible(workspace, shard.shapes[shape])
                    && isWithinQuotaAndGuarantees(shard, workspace, shard.shapes[shape]))
                    eligible.insert(shape);
            }
        }
        return eligible;
    }

    //! The oldest eligible job without a reservation of the first caller, in order of service, that has one; -1 if
    //! there is none.
    int nextClaimant(const Shard& shard, int slot, const PreemptionRule& rule, Instant at)
    {
        const Workspace& workspace = shard.workspaces[slot];
        IndexSet eligible = eligibleShapes(shard, slot, rule, at);
        if (eligible.empty())
            return -1;
        for (const auto& key : workspace.waitingCallers) {
            const Caller& caller = shard.callers[key.caller];
            for (int workClass = 0; workClass < rule.classes; ++workClass) {
                if (!intersects(caller.queuedShapes[workClass], eligible))
                    continue;
                int best = -1;
                for (const auto& [shape, queue] : caller.queues[workClass]) {
                    if (!eligible.contains(shape))
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

    void preemptByRule(Shard& shard, const PreemptionRule& rule, Instant at, std::vector<Decision>& decisions)
    {
        std::vector<std::pair<double, int>> order;
        for (int slot = 0; slot < static_cast<int>(shard.workspaces.size()); ++slot) {
            if (shard.workspaces[slot].queuedJobs > 0 && rule.isCandidate(shard.workspaces[slot]))
                order.emplace_back(score(shard, shard.workspaces[slot], at), slot);
        }
        std::sort(order.begin(), order.end());
        int failures = 0;
        for (const auto& [unused, slot] : order) {
            while (failures < maxFailedSearches(rule.kind)) {
                int job = nextClaimant(shard, slot, rule, at);
                if (job < 0)
                    break;
                if (!preemptFor(shard, job, rule.kind, at, decisions))
                    ++failures;
            }
        }
    }

    //! A starved gang of a workspace that is not below its fair share may preempt only if the victims use at most half
    //! as many accelerators as the gang, so that at least half of the gang runs on idle ones.
    bool isPreemptionJustified(const Shard& shard, const Job& job, const ReleasePlan& plan)
    {
        const Workspace& workspace = shard.workspaces[job.workspace];
        int preempted = 0;
        for (int victim : plan.victims)
            preempted += shard.jobs[victim].accelerators;
        return workspace.used - workspace.preempting < workspace.fairShare || 2 * preempted <= job.accelerators;
    }

    int unusedGuarantee(const Workspace& workspace)
    {
        return workspace.effectiveGuarantee - (workspace.used - workspace.preempting + workspace.reserved);
    }

} // namespace

int maxVictimAccelerators(const Job& job)
{
    // Jobs smaller than one worker often need all gangs of one worker to end.
    constexpr int wholeWorkerAccelerators = 8;
    return std::max(job.accelerators, wholeWorkerAccelerators);
}

int usedAfterStart(const Shard& shard, const Job& job)
{
    const Workspace& workspace = shard.workspaces[job.workspace];
    int reserved = workspace.reserved - (job.hasReservation ? job.accelerators : 0);
    return workspace.used - workspace.preempting + reserved + job.accelerators;
}

bool isWithinUrgentShare(const Workspace& workspace, int accelerators)
{
    int used = workspace.urgentUsed + workspace.urgentReserved;
    return used == 0 || used + accelerators <= workspace.fairShare;
}

void applyPlan(
    Shard& shard, int job, ReservationKind kind, const ReleasePlan& plan, Instant at, std::vector<Decision>& decisions)
{
    if (plan.victims.empty()) {
        startGang(shard, job, plan.allocation, at, decisions);
        return;
    }
    Millis timeToDeadline = reclaimDeadlineFor(shard, kind);
    bool hasLargeVictim = std::any_of(plan.victims.begin(), plan.victims.end(),
        [&](int victim) { return shard.jobs[victim].accelerators > maxVictimAccelerators(shard.jobs[job]); });
    if (hasLargeVictim)
        timeToDeadline /= 2; // the job has already waited for the other half
    // After the victims' checkpoints there must be time to stop the victims and to start the job before the deadline.
    Instant deadline = at + timeToDeadline - std::min(Millis(2000), timeToDeadline / 5);
    for (int victim : plan.victims) {
        bool isMoved = kind == ReservationKind::Starved && shard.jobs[victim].isProtected;
        beginPreemption(shard, victim, deadline);
        decisions.emplace_back(PreemptGang { .job = shard.jobs[victim].id,
            .deadline = deadline,
            .beneficiary = shard.jobs[job].id,
            .reason = std::string(reasons[static_cast<std::size_t>(isMoved ? ReservationKind::Defragment : kind)]) });
    }
    addReservation(shard, { .job = job, .kind = kind, .allocation = plan.allocation, .expectedAt = deadline });
}

bool preemptFor(Shard& shard, int job, ReservationKind kind, Instant at, std::vector<Decision>& decisions)
{
    const Shape shape = shard.shapes[shard.jobs[job].shape];
    if (!isWithinQuotaAndGuarantees(shard, shard.workspaces[shard.jobs[job].workspace], shape))
        return false;
    auto victims = victimCandidates(shard, job, kind, at);
    auto smallVictims = victims;
    std::erase_if(smallVictims,
        [&](int victim) { return shard.jobs[victim].accelerators > maxVictimAccelerators(shard.jobs[job]); });
    bool isGuaranteeOrUrgent = kind <= ReservationKind::Urgent;
    auto plan = planReleases(shard, shape, smallVictims);
    if (!plan && isGuaranteeOrUrgent)
        plan = planIgnoringLowerReservations(shard, job, kind, smallVictims);
    // Freed capacity goes to guarantee claims and urgent work first, so these often need no large gang to end if they
    // wait for a while.
    bool mayPreemptLarge = !isGuaranteeOrUrgent || at - shard.jobs[job].queuedAt >= reclaimDeadlineFor(shard, kind) / 2;
    if (!plan && mayPreemptLarge && smallVictims.size() < victims.size()) {
        plan = planReleases(shard, shape, victims);
        if (!plan && isGuaranteeOrUrgent)
            plan = planIgnoringLowerReservations(shard, job, kind, victims);
    }
    if (plan && kind == ReservationKind::Starved && !isPreemptionJustified(shard, shard.jobs[job], *plan))
        plan.reset();
    if (!plan) {
        if (shard.retryAt.size() >= maxRetryEntries)
            shard.retryAt.clear();
        shard.retryAt[retryKey(shard.jobs[job], kind)] = at + retryInterval(kind);
        return false;
    }
    applyPlan(shard, job, kind, *plan, at, decisions);
    return true;
}

void preemptForGuarantees(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    PreemptionRule rule { .kind = ReservationKind::Guarantee,
        .classes = classCount,
        .isCandidate = [](const Workspace& workspace) { return unusedGuarantee(workspace) > 0; },
        .isShapeEligible = [](const Workspace& workspace,
                               const Shape& shape) { return shape.accelerators <= unusedGuarantee(workspace); },
        .isEligible = [](const Workspace&, const Job&) { return true; } };
    preemptByRule(shard, rule, at, decisions);
}

void preemptForUrgent(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.queuedJobsByClass[indexOf(WorkClass::Urgent)] == 0)
        return;
    PreemptionRule rule { .kind = ReservationKind::Urgent,
        .classes = 1,
        .isCandidate
        = [](const Workspace& workspace) { return !workspace.queuedShapes[indexOf(WorkClass::Urgent)].empty(); },
        .isShapeEligible = [](const Workspace& workspace,
                               const Shape& shape) { return isWithinUrgentShare(workspace, shape.accelerators); },
        .isEligible = [](const Workspace&, const Job&) { return true; } };
    preemptByRule(shard, rule, at, decisions);
}

void preemptForShares(Shard& shard, Instant at, std::vector<Decision>& decisions)
{
    if (shard.policy.shareClaimAfter.count() <= 0)
        return;
    double largestShare = 0;
    for (const auto& workspace : shard.workspaces)
        largestShare = std::max(largestShare, (workspace.used - workspace.preempting) / workspace.weight);
    PreemptionRule rule { .kind = ReservationKind::Share,
        .classes = classCount,
        .isCandidate =
            [&](const Workspace& workspace) {
                return at - workspace.queuedByAge.begin()->queuedAt >= shard.policy.shareClaimAfter;
            },
        .isShapeEligible =
            [&](const Workspace& workspace, const Shape& shape) {
                double share = (workspace.used - workspace.preempting + workspace.reserved + shape.accelerators)
                    / workspace.weight;
                bool mayOtherCallerYield = workspace.used - workspace.preempting > shape.accelerators;
                return share < largestShare || mayOtherCallerYield;
            },
        .isEligible
        = [&](const Workspace&, const Job& job) { return at - job.queuedAt >= shard.policy.shareClaimAfter; } };
    preemptByRule(shard, rule, at, decisions);
}

} // namespace agatevane::scheduling
