#include "agatevane/scheduling/backlog.h"
#include "agatevane/scheduling/invariants.h"
#include "agatevane/scheduling/preemption.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/shares.h"
#include "agatevane/scheduling/start.h"

namespace agatevane::scheduling {

namespace {

    //! Dequeues jobs that no set of workers can hold any more after capacity was removed from the fleet, and reports
    //! them as impossible.
    void dropImpossibleJobs(Shard& shard, std::vector<Decision>& decisions)
    {
        shard.didCapacityShrink = false;
        std::vector<std::optional<std::string>> reasons;
        reasons.reserve(shard.shapes.size());
        bool isAnyImpossible = false;
        for (std::size_t shape = 0; shape < shard.shapes.size(); ++shape) {
            reasons.push_back(
                shard.queuedJobsByShape[shape] > 0 ? neverFitsReason(shard.fleet, shard.shapes[shape]) : std::nullopt);
            isAnyImpossible |= reasons.back().has_value();
        }
        if (!isAnyImpossible)
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
            return workspace.used - workspace.preempting < workspace.effectiveGuarantee;
        };
        pass.isEligible = [&](const Workspace& workspace, const Job& job) {
            return usedAfterStart(shard, job) <= workspace.effectiveGuarantee;
        };
        runStartPass(shard, pass, feasible, at, decisions);
    }

    //! Starts work of each class until the class uses its floor, so that a flood of one class cannot starve another.
    void startWithinFloors(Shard& shard, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions)
    {
        double floor = shard.policy.classFloor * shard.fleet.capacity;
        for (int workClass = 0; workClass < classCount; ++workClass) {
            StartPass pass { .classes = {}, .isCandidate = {}, .isEligible = {}, .isDone = {} };
            pass.classes[workClass] = true;
            pass.isDone = [&] { return shard.usedByClass[workClass] - shard.preemptingByClass[workClass] >= floor; };
            if (shard.queuedJobsByClass[workClass] > 0)
                runStartPass(shard, pass, feasible, at, decisions);
        }
    }

    void startUrgent(Shard& shard, FeasibleShapes& feasible, Instant at, std::vector<Decision>& decisions)
    {
        StartPass pass { .classes = { true, false, false }, .isCandidate = {}, .isEligible = {}, .isDone = {} };
        pass.isEligible = [](const Workspace& workspace, const Job& job) {
            return job.hasReservation || isWithinUrgentShare(workspace, job.accelerators);
        };
        if (shard.queuedJobsByClass[indexOf(WorkClass::Urgent)] > 0)
            runStartPass(shard, pass, feasible, at, decisions);
    }

    void startAll(Shard& shard, Instant at, std::vector<Decision>& decisions)
    {
        shard.didDropReservation = false;
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
    updateFairShares(shard, at);
    if (shard.didCapacityShrink)
        dropImpossibleJobs(shard, decisions);
    advanceReservations(shard, at, decisions);
    if (shard.queuedJobs > 0) {
        startAll(shard, at, decisions);
        preemptForGuarantees(shard, at, decisions);
        preemptForUrgent(shard, at, decisions);
        defragment(shard, at, decisions);
        preemptForShares(shard, at, decisions);
        reserveForStarved(shard, at, decisions);
        advanceReservations(shard, at, decisions);
        while (shard.didDropReservation) {
            startAll(shard, at, decisions);
            advanceReservations(shard, at, decisions);
        }
        backfill(shard, at, decisions);
    }
    if (!areTotalsConsistent(shard))
        ++shard.invariantViolations;
    return decisions;
}

std::uint64_t invariantViolations(const Shard& shard)
{
    return shard.invariantViolations;
}

} // namespace agatevane::scheduling
