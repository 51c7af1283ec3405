#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/backlog.h"
#include "agatevane/scheduling/invariants.h"
#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/start.h"

namespace agatevane::scheduling {

namespace {

    //! Gives up queued jobs that no set of workers can hold since the fleet shrank.
    void findImpossible(Shard& shard, std::vector<Decision>& decisions)
    {
        shard.hasShrunk = false;
        std::vector<std::optional<std::string>> reasons;
        reasons.reserve(shard.shapes.size());
        bool isAnyMisfit = false;
        for (std::size_t shape = 0; shape < shard.shapes.size(); ++shape) {
            reasons.push_back(
                shard.queuedOfShape[shape] > 0 ? misfitReason(shard.fleet, shard.shapes[shape]) : std::nullopt);
            isAnyMisfit |= reasons.back().has_value();
        }
        if (!isAnyMisfit)
            return;
        for (std::size_t slot = 0; slot < shard.jobs.size(); ++slot) {
            const Job& job = shard.jobs[slot];
            if (job.state != GangState::Queued || !reasons[job.shape])
                continue;
            decisions.emplace_back(JobImpossible { job.id, *reasons[job.shape] });
            dequeue(shard, JobId(job.id));
        }
    }

    void startWithinGuarantees(Shard& shard, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions)
    {
        StartPass pass;
        pass.isCandidate = [](const Workspace& workspace) {
            return workspace.used - workspace.leaving < workspace.effectiveGuarantee;
        };
        pass.isEligible = [&](const Workspace& workspace, const Job& job) {
            return usedWith(shard, job) <= workspace.effectiveGuarantee;
        };
        runStartPass(shard, pass, feasible, at, decisions);
    }

    //! Serves each class up to its floor first, so that a flood of one class starves no other.
    void startWithinFloors(Shard& shard, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions)
    {
        double floor = shard.policy.classFloor * shard.fleet.capacity;
        for (int workClass = 0; workClass < classCount; ++workClass) {
            StartPass pass { .classes = {}, .isCandidate = {}, .isEligible = {}, .isDone = {} };
            pass.classes[workClass] = true;
            pass.isDone = [&] { return shard.usedOf[workClass] - shard.leavingOf[workClass] >= floor; };
            if (shard.queuedOf[workClass] > 0)
                runStartPass(shard, pass, feasible, at, decisions);
        }
    }

    void startUrgent(Shard& shard, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions)
    {
        StartPass pass { .classes = { true, false, false }, .isCandidate = {}, .isEligible = {}, .isDone = {} };
        pass.isEligible = [](const Workspace& workspace, const Job& job) {
            return job.hasReservation || isWithinUrgentShare(workspace, job.accelerators);
        };
        if (shard.queuedOf[indexOf(WorkClass::Urgent)] > 0)
            runStartPass(shard, pass, feasible, at, decisions);
    }

    void startAll(Shard& shard, Instant at, std::vector<Decision>& decisions)
    {
        shard.hasFreedHeld = false;
        FeasibleShapes feasible = feasibleShapes(shard);
        startWithinGuarantees(shard, feasible, at, decisions);
        startWithinFloors(shard, feasible, at, decisions);
        startUrgent(shard, feasible, at, decisions);
        runStartPass(shard, {}, feasible, at, decisions);
    }

} // namespace

std::vector<Decision> decide(Shard& shard, Instant at)
{
    std::vector<Decision> decisions;
    settle(shard, at);
    if (shard.hasShrunk)
        findImpossible(shard, decisions);
    advanceReservations(shard, at, decisions);
    if (shard.queuedJobs > 0) {
        startAll(shard, at, decisions);
        preemptForGuarantees(shard, at, decisions);
        preemptForUrgent(shard, at, decisions);
        defragment(shard, at, decisions);
        preemptForShares(shard, at, decisions);
        reserveForStarved(shard, at, decisions);
        advanceReservations(shard, at, decisions);
        while (shard.hasFreedHeld) {
            startAll(shard, at, decisions);
            advanceReservations(shard, at, decisions);
        }
        backfill(shard, at, decisions);
    }
    if (!areTotalsConsistent(shard))
        ++shard.invariantFaults;
    return decisions;
}

std::uint64_t invariantFaults(const Shard& shard)
{
    return shard.invariantFaults;
}

} // namespace agatevane::scheduling
