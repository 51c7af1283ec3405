#include "agatevane/fleet/evacuation.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/state.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! Time kept from the bound of an evacuation: an answer of the store may be 800 ms late, and orders that were sent
    //! before have to reach their workers.
    constexpr Millis knowledgeMargin { 1000 };
    //! Requests are asked for twice a second, so that a shorter limit would hold starts while nothing is wrong.
    constexpr Millis shortestKnowledgeLimit { 1000 };
    //! Workers that were just taken back may be cold without their entries saying so: these are written about once a
    //! second and read up to a second later.
    constexpr Millis warmUpAllowance { 5000 };

    struct Counts {
        std::size_t workers = 0;
        std::size_t runs = 0;
        std::size_t unconfirmedStarts = 0;
    };

    void count(Counts& counts, const Worker& worker)
    {
        ++counts.workers;
        for (const auto& [key, run] : worker.runs)
            ++(run.state == RunState::Ordered ? counts.unconfirmedStarts : counts.runs);
    }

    //! Applies `change` to the workers of the data centre, which become due.
    template <typename Change> Counts changeWorkersOf(Fleet& fleet, const std::string& zone, Change change)
    {
        Counts counts;
        for (auto& [id, worker] : fleet.workers) {
            if (worker.zone != zone)
                continue;
            change(worker);
            markDue(fleet, worker);
            count(counts, worker);
        }
        fleet.isPlacementDue = true;
        return counts;
    }

    //! Removes the task's run if its start was never sent.
    void withdrawUnsentStart(Fleet& fleet, const TaskId& id)
    {
        const auto* task = findTask(fleet, id);
        auto* worker = task && task->run ? changeWorker(fleet, task->run->worker) : nullptr;
        if (!worker)
            return;
        RunKey key { id, task->run->number };
        auto found = worker->runs.find(key);
        if (found == worker->runs.end() || found->second.state != RunState::Ordered || found->second.ordersSent > 0)
            return;
        Line("start_withdrawn")
            .with("job", id.job)
            .with("task", toString(id))
            .with("run", key.second)
            .with("worker", worker->id)
            .with("data_centre", worker->zone);
        removeRun(fleet, *worker, key);
    }

    //! The start can't be carried out in time any more.
    void giveUpStart(Fleet& fleet, Job& job, const TaskId& id, Instant at)
    {
        bool isGang = stepOf(job, id).isGang;
        auto count = static_cast<std::uint32_t>(job.occurrences[id.occurrence].steps[id.step].tasks.size());
        for (std::uint32_t index = 0; index < count; ++index) {
            if (isGang || index == id.index)
                withdrawUnsentStart(fleet, { id.job, id.occurrence, id.step, index });
        }
        stopTaskRuns(fleet, job, id, at, "data_centre_evacuated");
    }

    //! True if a start order would be sent, or sent again, but for the evacuation.
    bool awaitsOrder(const Run& run)
    {
        return run.state == RunState::Ordered && run.isWanted && !run.isOrderInFlight;
    }

    bool isOnEvacuatedWorker(const Fleet& fleet, const Task& task)
    {
        const auto* worker = task.run ? findWorker(fleet, task.run->worker) : nullptr;
        return worker && worker->isEvacuated;
    }

} // namespace

Millis evacuationKnowledgeLimit(Millis bound)
{
    return std::max(bound - knowledgeMargin, shortestKnowledgeLimit);
}

void requestEvacuation(Fleet& fleet, const std::string& zone, Instant at)
{
    if (!fleet.evacuations.byZone.try_emplace(zone, Evacuation { at }).second)
        return;
    auto counts = changeWorkersOf(fleet, zone, [](Worker& worker) { worker.isEvacuated = true; });
    Line("evacuation_requested")
        .with("data_centre", zone)
        .with("workers", counts.workers)
        .with("runs", counts.runs)
        .with("unconfirmed_starts", counts.unconfirmedStarts);
    if (counts.workers == 0)
        Line("evacuation_finding").with("place", zone).with("text", "no worker is in this data centre");
}

void endEvacuation(Fleet& fleet, const std::string& zone, Instant at)
{
    auto ended = fleet.evacuations.byZone.extract(zone);
    if (!ended)
        return;
    auto counts = changeWorkersOf(fleet, zone, [at](Worker& worker) {
        worker.isEvacuated = false;
        worker.takenBackAt = at;
    });
    Line("evacuation_ended")
        .with("data_centre", zone)
        .with("workers", counts.workers)
        .with("runs", counts.runs)
        .with("lasted_ms", elapsed(ended.mapped().requestedAt, at).count());
}

void replaceEvacuations(Fleet& fleet, const std::set<std::string>& zones, Instant at)
{
    std::vector<std::string> ended;
    for (const auto& [zone, evacuation] : fleet.evacuations.byZone) {
        if (!zones.contains(zone))
            ended.push_back(zone);
    }
    for (const auto& zone : ended)
        endEvacuation(fleet, zone, at);
    for (const auto& zone : zones)
        requestEvacuation(fleet, zone, at);
}

void updateEvacuationOf(const Fleet& fleet, Worker& worker)
{
    worker.isEvacuated = fleet.evacuations.byZone.contains(worker.zone);
}

bool areStartsHeld(const Fleet& fleet, Instant at)
{
    return at >= fleet.evacuations.knownUntil;
}

bool mayStartDespiteEvacuations(const Fleet& fleet, const Worker& worker, Instant at)
{
    return !worker.isEvacuated && !areStartsHeld(fleet, at);
}

bool isChosenLast(const Worker& worker, Instant at)
{
    return worker.takenBackAt != Instant {} && (at < worker.takenBackAt + warmUpAllowance || at < worker.coldUntil);
}

bool isRunInEvacuatedZone(const Fleet& fleet, const Job& job, const TaskId& id)
{
    if (fleet.evacuations.byZone.empty())
        return false;
    const auto& tasks = job.occurrences[id.occurrence].steps[id.step].tasks;
    if (!stepOf(job, id).isGang)
        return isOnEvacuatedWorker(fleet, tasks[id.index]);
    return std::any_of(
        tasks.begin(), tasks.end(), [&fleet](const Task& task) { return isOnEvacuatedWorker(fleet, task); });
}

void withdrawEvacuatedStarts(Fleet& fleet, const std::vector<Worker*>& workers, Instant at)
{
    for (auto* worker : workers) {
        if (!worker->isEvacuated)
            continue;
        std::vector<RunKey> starts;
        for (const auto& [key, run] : worker->runs) {
            if (awaitsOrder(run))
                starts.push_back(key);
        }
        for (const auto& key : starts) {
            // The gang of an earlier start may have included this one.
            auto found = worker->runs.find(key);
            auto* job = findJob(fleet, key.first.job);
            if (job && found != worker->runs.end() && awaitsOrder(found->second))
                giveUpStart(fleet, *job, key.first, at);
        }
    }
}

std::vector<EvacuationSummary> summarizeEvacuations(const Fleet& fleet)
{
    std::map<std::string, Counts> countsByZone;
    for (const auto& [id, worker] : fleet.workers) {
        if (worker.isEvacuated)
            count(countsByZone[worker.zone], worker);
    }
    std::vector<EvacuationSummary> summaries;
    for (const auto& [zone, evacuation] : fleet.evacuations.byZone) {
        const auto& counts = countsByZone[zone];
        summaries.push_back({ zone, evacuation.requestedAt, counts.workers, counts.runs, counts.unconfirmedStarts });
    }
    return summaries;
}

} // namespace agatevane::fleet
