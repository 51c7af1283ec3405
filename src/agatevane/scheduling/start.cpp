#include "agatevane/scheduling/start.h"
#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/shares.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    struct Candidate {
        int job = -1;
        int shape = -1;
    };

    //! Whether the job would use capacity that Policy::headroom keeps free, and its workspace or caller would then be
    //! above its fair share.
    bool wouldTakeHeadroom(const Shard& shard, const Workspace& workspace, const Job& job)
    {
        if (shard.policy.headroom <= 0)
            return false;
        double left = shard.fleet.free - job.accelerators;
        if (left >= shard.policy.headroom * shard.fleet.capacity)
            return false;
        double callers = std::max<double>(1, static_cast<double>(workspace.callers.size()));
        bool isAboveShare = workspace.used - workspace.preempting + job.accelerators > workspace.fairShare;
        bool isCallerAboveShare = callers > 1
            && shard.callers[job.caller].used + job.accelerators > workspace.fairShare / callers
            && shard.callers[job.caller].used > 0;
        return isAboveShare || isCallerAboveShare;
    }

    //! The oldest job among the heads of the caller's queues that the pass may start and whose shape may still fit.
    Candidate oldestStartableJob(const Shard& shard, const StartPass& pass, const Workspace& workspace,
        const Caller& caller, int workClass, const IndexSet& feasible)
    {
        Candidate best;
        QueueKey bestKey;
        for (const auto& [shape, queue] : caller.queues[workClass]) {
            auto head = queue.begin();
            // Backfilling skips jobs with a reservation: a reserved job starts on its own capacity only when all of it
            // is free.
            while (pass.reservationHolder >= 0 && head != queue.end() && shard.jobs[head->job].hasReservation)
                ++head;
            if (head == queue.end())
                continue;
            const QueueKey& key = *head;
            if (!feasible.contains(shape) || (best.job >= 0 && bestKey < key))
                continue;
            if (!isWithinQuotaAndGuarantees(shard, workspace, shard.shapes[shape]))
                continue;
            if (wouldTakeHeadroom(shard, workspace, shard.jobs[key.job]))
                continue;
            if (pass.isEligible && !pass.isEligible(workspace, shard.jobs[key.job]))
                continue;
            best = { key.job, shape };
            bestKey = key;
        }
        return best;
    }

    Candidate nextCandidate(
        const Shard& shard, const StartPass& pass, const Workspace& workspace, const FeasibleShapes& feasible)
    {
        std::array<bool, classCount> mayFit {};
        bool mayAnyFit = false;
        for (int workClass = 0; workClass < classCount; ++workClass) {
            mayFit[workClass]
                = pass.classes[workClass] && intersects(workspace.queuedShapes[workClass], feasible.shapes);
            mayAnyFit |= mayFit[workClass];
        }
        if (!mayAnyFit)
            return {};
        for (const auto& key : workspace.waitingCallers) {
            const Caller& caller = shard.callers[key.caller];
            for (int workClass = 0; workClass < classCount; ++workClass) {
                if (!mayFit[workClass] || !intersects(caller.queuedShapes[workClass], feasible.shapes))
                    continue;
                Candidate candidate = oldestStartableJob(shard, pass, workspace, caller, workClass, feasible.shapes);
                if (candidate.job >= 0)
                    return candidate;
            }
        }
        return {};
    }

} // namespace

FeasibleShapes feasibleShapes(const Shard& shard)
{
    FeasibleShapes feasible;
    for (int shape = 0; shape < static_cast<int>(shard.shapes.size()); ++shape) {
        if (shard.queuedJobsByShape[shape] > 0 && shard.shapes[shape].accelerators <= shard.fleet.free)
            feasible.shapes.insert(shape);
    }
    return feasible;
}

void markInfeasible(const Shard& shard, FeasibleShapes& feasible, int failed)
{
    const Shape& failedShape = shard.shapes[failed];
    for (int shape = feasible.shapes.next(0); shape >= 0; shape = feasible.shapes.next(shape + 1)) {
        const Shape& other = shard.shapes[shape];
        if (other.acceleratorsPerWorker == failedShape.acceleratorsPerWorker
            && other.accelerators >= failedShape.accelerators && other.maxSpread <= failedShape.maxSpread)
            feasible.shapes.erase(shape);
    }
}

Placement placementOf(const Shard& shard, const Allocation& allocation)
{
    Placement placement;
    placement.reserve(allocation.size());
    for (const auto& part : allocation)
        placement.push_back({ shard.fleet.workers[part.worker].id, part.accelerators });
    return placement;
}

void startGang(Shard& shard, int job, Allocation allocation, Instant at, std::vector<Decision>& decisions)
{
    dropReservation(shard, job);
    removeFromQueue(shard, job);
    decisions.emplace_back(StartGang { shard.jobs[job].id, placementOf(shard, allocation) });
    chargeGang(shard, job, std::move(allocation), at);
}

void runStartPass(
    Shard& shard, const StartPass& pass, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions)
{
    if (feasible.shapes.empty())
        return;
    std::vector<std::pair<double, int>> order; // score and slot of workspaces; a heap with the lowest score first
    for (int slot = 0; slot < static_cast<int>(shard.workspaces.size()); ++slot) {
        const Workspace& workspace = shard.workspaces[slot];
        if (workspace.queuedJobs > 0 && (!pass.isCandidate || pass.isCandidate(workspace)))
            order.emplace_back(score(shard, shard.workspaces[slot], at), slot);
    }
    std::make_heap(order.begin(), order.end(), std::greater<>());
    while (!order.empty() && !(pass.isDone && pass.isDone())) {
        std::pop_heap(order.begin(), order.end(), std::greater<>());
        int slot = order.back().second;
        order.pop_back();
        Candidate next = nextCandidate(shard, pass, shard.workspaces[slot], feasible);
        if (next.job < 0)
            continue;
        Allocation allocation = findAllocation(shard.fleet, shard.shapes[next.shape]);
        if (allocation.empty()) {
            markInfeasible(shard, feasible, next.shape);
        } else {
            startGang(shard, next.job, std::move(allocation), at, decisions);
            shard.jobs[next.job].reservationHolder = pass.reservationHolder;
        }
        order.emplace_back(score(shard, shard.workspaces[slot], at), slot);
        std::push_heap(order.begin(), order.end(), std::greater<>());
    }
}

} // namespace agatevane::scheduling
