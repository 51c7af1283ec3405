#pragma once

#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/runs.h"
#include "busy_fleet.h"
#include <string>

namespace agatevane::test {

//! A fleet whose workers take 900 ms to stop a run.
class CostlyFleet : public BusyFleet {
public:
    explicit CostlyFleet(int workers)
        : BusyFleet(workers)
    {
        fleet().limits.stopDuration = Millis(900);
        fleet().limits.restoreDuration = Millis(100);
        fleet().limits.gangAssemblyTimeout = Millis(4000);
        fleet().limits.reclaimDeadline = Millis(3400);
        fleet().desired.tenants.push_back({ "guaranteed", {}, 1000 });
    }

    //! A job of 2.5 s a task that is to end within one and a half times that.
    fleet::Job& urgent(const fleet::JobId& id, Instant acceptedAt, bool isGuaranteed = false, std::uint32_t count = 1)
    {
        auto& job = submit(id, count, acceleratorsPerWorker, 0, true);
        job.acceptedAt = acceptedAt;
        job.policy.objectiveFactor = 1.5;
        job.spec.steps.front().estimatedMs = 2500;
        job.spec.tenant = isGuaranteed ? "guaranteed" : "other";
        return job;
    }

    //! A less urgent job that fills a worker.
    fleet::Job& fill(const fleet::JobId& id, const fleet::WorkerId& worker, Millis age, bool savesCheckpoints = false)
    {
        auto& job = submit(id, 1, acceleratorsPerWorker, 2, false, savesCheckpoints);
        BusyFleet::run(job, 0, worker, age);
        auto& run = fleet().workers.at(worker).runs.begin()->second;
        run.state = fleet::RunState::Running;
        run.confirmedAt = run.orderedAt;
        return job;
    }

    void place(Instant at) { fleet::place(fleet(), unixMs, at); }
    bool isRunning(const fleet::JobId& id) { return stepOf(id).active > 0; }
    fleet::Step& stepOf(const fleet::JobId& id) { return fleet().jobs.at(id).occurrences.front().steps.front(); }
    fleet::Run& onlyRun(const fleet::WorkerId& worker) { return fleet().workers.at(worker).runs.begin()->second; }

    void endRuns(const fleet::WorkerId& id)
    {
        auto& worker = fleet().workers.at(id);
        while (!worker.runs.empty())
            fleet::removeRun(fleet(), worker, worker.runs.begin()->first);
        fleet::markDue(fleet(), worker);
    }

    //! The job ends with all its runs.
    void end(const fleet::JobId& id)
    {
        for (auto& [worker, state] : fleet().workers) {
            if (!state.runs.empty() && state.runs.begin()->first.first.job == id)
                endRuns(worker);
        }
        fleet().openJobs.erase(id);
    }
};

} // namespace agatevane::test
