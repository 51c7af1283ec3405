#include "node/operator_pages.h"

#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/placement.h"
#include "agatevane/fleet/ranking.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/waiting.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace agatevane::node {

namespace {

    using nlohmann::json;

    //! Name of the row that sums up all data centres on the page of the fleet.
    constexpr const char* allDataCentres = "all";
    constexpr double wholePercent = 100;

    std::string stateOf(const fleet::Job& job)
    {
        using enum fleet::JobPhase;
        switch (job.phase) {
        case Accepting:
            return "accepting";
        case Open:
            return job.hasStarted ? "running" : "queued";
        case Completed:
            return "completed";
        case Failed:
            return "failed";
        case Cancelled:
            return "cancelled";
        }
        return {};
    }

    std::string stateOf(const fleet::Worker& worker, Instant at)
    {
        if (!worker.isListed)
            return "unlisted";
        if (worker.isDraining)
            return "draining";
        if (worker.isEvacuated)
            return "evacuated";
        if (worker.awaitsUpkeep)
            return "emptying";
        if (at < worker.avoidUntil)
            return "failing";
        return fleet::isUsable(worker, at) ? "usable" : "silent";
    }

    std::int64_t acceleratorsOf(const fleet::Job& job)
    {
        std::int64_t sum = 0;
        for (const auto& step : job.spec.steps)
            sum += step.count * step.need.accelerators;
        return sum;
    }

    //! Rows for the runs of a job: worker, state and progress of each.
    json runsOf(const fleet::Fleet& fleet, const fleet::JobId& job)
    {
        auto rows = json::array();
        for (const auto& [id, worker] : fleet.workers) {
            auto first = worker.runs.lower_bound({ { job, 0, 0, 0 }, 0 });
            for (auto run = first; run != worker.runs.end() && run->first.first.job == job; ++run) {
                rows.push_back({ { "task", fleet::toString(run->second.task) }, { "run", run->second.number },
                    { "worker", id }, { "state", nameOf(run->second.state) }, { "percent", run->second.percent } });
            }
        }
        return rows;
    }

    json rowOf(const FleetView& view, const fleet::Job& job)
    {
        auto wait = fleet::explainWait(view.fleet, job, view.unixMs, view.at);
        json row { { "id", job.spec.id }, { "state", stateOf(job) }, { "workspace", job.spec.tenant },
            { "queue", job.spec.queue }, { "priority", job.policy.priority }, { "accelerators", acceleratorsOf(job) },
            { "ageMs", elapsed(job.acceptedAt, view.at).count() },
            { "reason", wait.reason == fleet::WaitReason::NotWaiting ? "" : nameOf(wait.reason) } };
        if (wait.tasks > 0)
            row["waitingTasks"] = wait.tasks;
        return row;
    }

    json listJobs(const FleetView& view)
    {
        auto rows = json::array();
        for (const auto& id : view.fleet.openJobs) {
            if (rows.size() == maxPageRows)
                break;
            rows.push_back(rowOf(view, view.fleet.jobs.at(id)));
        }
        return { { "openJobs", view.fleet.openJobs.size() }, { "jobs", std::move(rows) } };
    }

    std::optional<json> showJob(const FleetView& view, const std::string& id)
    {
        auto found = view.fleet.jobs.find(id);
        if (found == view.fleet.jobs.end())
            return std::nullopt;
        const auto& job = found->second;
        auto page = rowOf(view, job);
        auto steps = json::array();
        for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            for (std::size_t index = 0; index < job.spec.steps.size(); ++index) {
                const auto& step = job.occurrences[occurrence].steps[index];
                std::size_t failed = 0;
                for (const auto& task : step.tasks)
                    failed += task.failures;
                auto expected = fleet::runTimeOf(view.fleet, job, job.spec.steps[index]);
                steps.push_back({ { "occurrence", occurrence }, { "step", index }, { "tasks", step.tasks.size() },
                    { "done", step.done }, { "withWorker", step.active }, { "failedRuns", failed },
                    { "declaredMs", expected.declaredMs },
                    { "expectedMs", run_times::quantileMs(expected, fleet::medianFraction) },
                    { "expectedBy", nameOf(expected.source) }, { "samples", std::lround(expected.samples) } });
            }
        }
        page["isDurable"] = job.durablePhase == job.phase;
        page["attempts"] = job.policy.maxAttempts;
        page["steps"] = std::move(steps);
        page["runs"] = runsOf(view.fleet, id);
        return page;
    }

    //! Totals over the workers of one data centre, or of all.
    struct Totals {
        std::int64_t workers = 0;
        std::int64_t usable = 0;
        std::int64_t accelerators = 0;
        std::int64_t free = 0;
        std::map<std::string, std::int64_t> freeByRack;
    };

    void add(Totals& totals, const fleet::Worker& worker, Instant at)
    {
        ++totals.workers;
        if (!fleet::isUsable(worker, at))
            return;
        ++totals.usable;
        totals.accelerators += worker.capacity.accelerators;
        auto free = std::max<std::int64_t>(0, worker.capacity.accelerators - worker.used.accelerators);
        totals.free += free;
        totals.freeByRack[worker.rack] += free;
    }

    json rowOf(const std::string& name, const Totals& totals)
    {
        std::int64_t largest = 0;
        for (const auto& [rack, free] : totals.freeByRack)
            largest = std::max(largest, free);
        return { { "dataCentre", name }, { "workers", totals.workers }, { "workersReachable", totals.usable },
            { "accelerators", totals.accelerators }, { "acceleratorsFree", totals.free },
            { "largestFreeGang", largest } };
    }

    json showFleet(const FleetView& view)
    {
        std::map<std::string, Totals> totalsByDataCentre;
        for (const auto& [id, worker] : view.fleet.workers) {
            add(totalsByDataCentre[worker.zone], worker, view.at);
            add(totalsByDataCentre[allDataCentres], worker, view.at);
        }
        std::int64_t queued = 0;
        std::int64_t oldestQueuedMs = 0;
        for (const auto& id : view.fleet.openJobs) {
            const auto& job = view.fleet.jobs.at(id);
            if (job.hasStarted)
                continue;
            ++queued;
            oldestQueuedMs = std::max<std::int64_t>(oldestQueuedMs, elapsed(job.acceptedAt, view.at).count());
        }
        auto totalRow = rowOf(allDataCentres, totalsByDataCentre[allDataCentres]);
        totalRow.update({ { "owner", view.owner }, { "epoch", view.fleet.tenure }, { "jobsQueued", queued },
            { "jobsRunning", static_cast<std::int64_t>(view.fleet.openJobs.size()) - queued },
            { "oldestQueuedMs", oldestQueuedMs } });
        auto rows = json::array({ std::move(totalRow) });
        for (const auto& [name, totals] : totalsByDataCentre) {
            if (name != allDataCentres)
                rows.push_back(rowOf(name, totals));
        }
        return { { "dataCentres", std::move(rows) } };
    }

    json listWorkspaces(const FleetView& view)
    {
        struct Usage {
            std::int64_t accelerators = 0;
            std::int64_t urgentAccelerators = 0;
            std::int64_t waitingJobs = 0;
        };
        std::map<std::string, Usage> usageByTenant;
        std::int64_t totalAccelerators = 0;
        for (const auto& [id, worker] : view.fleet.workers) {
            totalAccelerators += worker.capacity.accelerators;
            for (const auto& [key, run] : worker.runs) {
                auto job = view.fleet.jobs.find(key.first.job);
                if (job == view.fleet.jobs.end())
                    continue;
                auto& usage = usageByTenant[job->second.spec.tenant];
                usage.accelerators += run.need.accelerators;
                if (job->second.policy.priority == 0)
                    usage.urgentAccelerators += run.need.accelerators;
            }
        }
        for (const auto& id : view.fleet.openJobs) {
            const auto& job = view.fleet.jobs.at(id);
            if (!job.hasStarted)
                ++usageByTenant[job.spec.tenant].waitingJobs;
        }
        auto rows = json::array();
        for (const auto& tenant : view.fleet.desired.tenants) {
            const auto& usage = usageByTenant[tenant.name];
            // The part of a tenant's guarantee that its urgent jobs do not use may be lent to other tenants.
            auto lendable = std::max<std::int64_t>(0, tenant.guaranteedAccelerators - usage.urgentAccelerators);
            rows.push_back({ { "workspace", tenant.name }, { "guaranteed", tenant.guaranteedAccelerators },
                { "used", usage.accelerators }, { "usedByUrgent", usage.urgentAccelerators }, { "lendable", lendable },
                { "waiting", usage.waitingJobs },
                { "dominantShare",
                    totalAccelerators > 0
                        ? static_cast<double>(usage.accelerators) / static_cast<double>(totalAccelerators)
                        : 0 },
                { "status", view.fleet.tenantsWithinGuarantee.contains(tenant.name) ? "claiming" : "idle" } });
        }
        return { { "workspaces", std::move(rows) } };
    }

    json listWorkers(const FleetView& view)
    {
        auto rows = json::array();
        for (const auto& [id, worker] : view.fleet.workers) {
            if (rows.size() == maxPageRows)
                break;
            rows.push_back({ { "id", id }, { "service", worker.service }, { "dataCentre", worker.zone },
                { "rack", worker.rack }, { "state", stateOf(worker, view.at) },
                { "accelerators", worker.capacity.accelerators }, { "acceleratorsUsed", worker.used.accelerators },
                { "milliCores", worker.capacity.milliCores }, { "milliCoresUsed", worker.used.milliCores },
                { "runs", worker.runs.size() }, { "answeredMsAgo", elapsed(worker.lastAnswerAt, view.at).count() },
                { "missedLooks", worker.missedPolls }, { "failuresInRow", worker.failuresInRow },
                { "standing", nameOf(worker.standing) },
                { "faultPercent", std::lround(wholePercent * fleet::faultShare(view.fleet, id, view.at)) },
                { "speedPercent", std::lround(wholePercent * worker.speed) },
                { "fillersPercent", worker.fillerPace.percent } });
        }
        return { { "knownWorkers", view.fleet.workers.size() }, { "workers", std::move(rows) } };
    }

    json listWaves(const FleetView& view)
    {
        auto rows = json::array();
        if (!view.upkeep)
            return { { "waves", std::move(rows) } };
        for (const auto& [number, wave] : view.upkeep->waves) {
            std::map<upkeep::Stage, int> counts;
            for (const auto& [machine, machineProgress] : wave.progress)
                ++counts[machineProgress.stage];
            rows.push_back({ { "wave", number }, { "state", wave.isCompleted ? "completed" : "running" },
                { "machines", wave.progress.size() }, { "waiting", counts[upkeep::Stage::Waiting] },
                { "emptying", counts[upkeep::Stage::Evacuating] }, { "ordered", counts[upkeep::Stage::Ordered] },
                { "away", counts[upkeep::Stage::InUpkeep] }, { "done", counts[upkeep::Stage::Done] },
                { "mostAtOnce", wave.request.mostAtOnce },
                { "dueInMs", wave.deadlineUnixMs == 0 ? 0 : wave.deadlineUnixMs - view.unixMs } });
        }
        return { { "waves", std::move(rows) } };
    }

    json listEvacuations(const FleetView& view)
    {
        auto rows = json::array();
        for (const auto& summary : fleet::summarizeEvacuations(view.fleet)) {
            auto age = elapsed(summary.requestedAt, view.at).count();
            rows.push_back({ { "dataCentre", summary.zone }, { "startedUnixMs", view.unixMs - age },
                { "startedMsAgo", age }, { "workers", summary.workers }, { "runs", summary.runs },
                { "unconfirmedStarts", summary.unconfirmedStarts } });
        }
        return { { "startsHeld", fleet::areStartsHeld(view.fleet, view.at) }, { "evacuations", std::move(rows) } };
    }

} // namespace

std::optional<nlohmann::json> operatorPage(const FleetView& view, std::string_view path)
{
    constexpr std::string_view jobPrefix = "/v1/jobs/";
    if (path.starts_with(jobPrefix))
        return showJob(view, std::string(path.substr(jobPrefix.size())));
    using Page = json (*)(const FleetView&);
    constexpr std::array<std::pair<std::string_view, Page>, 6> pages { { { "/v1/jobs", listJobs },
        { "/v1/fleet", showFleet }, { "/v1/workspaces", listWorkspaces }, { "/v1/workers", listWorkers },
        { "/v1/waves", listWaves }, { "/v1/evacuations", listEvacuations } } };
    for (const auto& [name, page] : pages) {
        if (path == name)
            return page(view);
    }
    return std::nullopt;
}

} // namespace agatevane::node
