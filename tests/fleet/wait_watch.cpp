#include "wait_watch.h"

#include "agatevane/fleet/placement.h"
#include "agatevane/fleet/waiting.h"
#include <algorithm>

namespace agatevane::test {

namespace {

    using fleet::Capacity;

    //! What the modelled workers really run, whatever the owner knows of it.
    struct Truth {
        std::map<fleet::WorkerId, Capacity> free; //!< of the workers that are up and listed
        std::set<fleet::TaskId> running;
        std::map<std::pair<fleet::WorkerId, fleet::StepId>, std::uint32_t> tasksOfStep;
        double usedShare = 0;
    };

    fleet::StepId stepIdOf(const fleet::TaskId& task)
    {
        return { task.job, task.occurrence, task.step };
    }

    Truth lookAt(FleetSimulation& simulation)
    {
        Truth truth;
        Capacity total;
        Capacity used;
        for (const auto& listing : simulation.workers().listings(simulation.nowMs())) {
            if (!simulation.workers().isUp(listing.id) || listing.isDraining)
                continue;
            truth.free[listing.id] = listing.capacity;
            total += listing.capacity;
        }
        for (const auto& run : simulation.workers().history()) {
            const auto& task = run.key.first;
            const auto* job = fleet::findJob(simulation.fleet(), task.job);
            if (run.endedMs >= 0 || !job)
                continue;
            auto need = fleet::reservedCapacity(fleet::stepOf(*job, task));
            truth.running.insert(task);
            ++truth.tasksOfStep[{ run.worker, stepIdOf(task) }];
            used += need;
            if (auto worker = truth.free.find(run.worker); worker != truth.free.end())
                worker->second -= need;
        }
        truth.usedShare = fleet::coreEquivalents(used) / std::max(1.0, fleet::coreEquivalents(total));
        return truth;
    }

    //! How many tasks of the step fit on the worker beside what runs there.
    std::int64_t countSlots(const Truth& truth, const fleet::StepId& id, const fleet::StepSpec& step,
        const fleet::WorkerListing& worker, std::int64_t most)
    {
        const auto& labels = worker.labels;
        if (!step.requiredLabel.empty() && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end())
            return 0;
        if (step.maxPerWorker > 0) {
            auto others = truth.tasksOfStep.find({ worker.id, id });
            auto count = others == truth.tasksOfStep.end() ? 0U : others->second;
            most = std::min<std::int64_t>(most, step.maxPerWorker - std::min(step.maxPerWorker, count));
        }
        auto free = truth.free.at(worker.id);
        std::int64_t slots = 0;
        for (; slots < most && fleet::fitsWithin(step.need, free); ++slots)
            free -= step.need;
        return slots;
    }

    bool fitsTwice(
        FleetSimulation& simulation, const Truth& truth, const fleet::StepId& id, const fleet::StepSpec& step)
    {
        std::int64_t needed = 2 * static_cast<std::int64_t>(step.isGang ? step.count : 1);
        std::int64_t slots = 0;
        for (const auto& [worker, free] : truth.free)
            slots += countSlots(truth, id, step, simulation.workers().listing(worker), needed);
        return slots >= needed;
    }

    //! Adds the idle tasks of a step whose turn has come.
    void addIdleTasks(const Truth& truth, const fleet::Step& step, const fleet::StepId& id, bool isGang,
        std::set<fleet::TaskId>& idle)
    {
        bool isAnyRunning = false;
        std::set<fleet::TaskId> waiting;
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            fleet::TaskId task { id.job, id.occurrence, id.step, index };
            isAnyRunning = isAnyRunning || truth.running.contains(task);
            if (!step.tasks[index].isDone && !truth.running.contains(task))
                waiting.insert(task);
        }
        if (!isGang)
            idle.merge(waiting);
        else if (!isAnyRunning && !waiting.empty())
            idle.insert(*waiting.begin());
    }

    std::set<fleet::TaskId> findIdleTasks(FleetSimulation& simulation, const Truth& truth)
    {
        constexpr double halfOfCapacity = 0.5;
        std::set<fleet::TaskId> idle;
        if (truth.usedShare >= halfOfCapacity)
            return idle;
        for (const auto& jobId : simulation.fleet().openJobs) {
            const auto& job = simulation.fleet().jobs.at(jobId);
            const auto& occurrence = job.occurrences.front();
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                const auto& spec = job.spec.steps[index];
                fleet::StepId id { jobId, 0, index };
                if (fleet::arePredecessorsDone(occurrence, spec) && fitsTwice(simulation, truth, id, spec))
                    addIdleTasks(truth, occurrence.steps[index], id, spec.isGang, idle);
            }
        }
        return idle;
    }

    std::string_view explain(FleetSimulation& simulation, const fleet::TaskId& task)
    {
        const auto& job = simulation.fleet().jobs.at(task.job);
        auto at = simulation.at(simulation.nowMs());
        return nameOf(fleet::explainWait(simulation.fleet(), job, simulation.nowMs(), at).reason);
    }

} // namespace

void watchWaits(WaitWatch& watch, FleetSimulation& simulation)
{
    auto nowMs = simulation.nowMs();
    auto idle = findIdleTasks(simulation, lookAt(simulation));
    std::erase_if(watch.idleSinceMs, [&idle](const auto& each) { return !idle.contains(each.first); });
    for (const auto& task : idle) {
        auto sinceMs = watch.idleSinceMs.emplace(task, nowMs).first->second;
        watch.longestIdleMs = std::max(watch.longestIdleMs, nowMs - sinceMs);
        if (nowMs - std::max(sinceMs, watch.lastFaultMs + startBoundMs) >= idleBoundMs)
            watch.overdue.emplace(task, explain(simulation, task));
    }
}

} // namespace agatevane::test
