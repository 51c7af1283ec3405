#include "agatevane/fleet/worker_choice.h"

#include "agatevane/fleet/runs.h"
#include <limits>

namespace agatevane::fleet {

namespace {

    //! A task on probation has to be this short, so that its end still finds the faults that it is to outweigh.
    constexpr std::int64_t longestTrialMs = 4000;

    bool isTrial(const StepSpec& step)
    {
        return !step.isGang && !step.isContinuous && step.estimatedMs > 0 && step.estimatedMs <= longestTrialMs;
    }

    bool isRetry(const PendingStep& pending)
    {
        return !pending.failedOn.empty();
    }

} // namespace

void noteFailedWorkers(const Fleet& fleet, PendingStep& pending)
{
    if (!areStopsCostly(fleet.limits))
        return;
    const auto& tasks = pending.state().tasks;
    for (auto index : pending.taskIndexes)
        pending.failedOn.insert(tasks[index].failedOn.begin(), tasks[index].failedOn.end());
    bool isTooLongForTrials = fleet.workerHistory.workersOnProbation > 0 && !pending.isGang && !isTrial(pending.spec());
    pending.hasOwnChoice = isRetry(pending) || isTooLongForTrials;
}

bool isAvoided(const PendingStep& pending, const Worker& worker)
{
    if (isRetry(pending) && (worker.standing != Standing::Trusted || pending.failedOn.contains(worker.id)))
        return true;
    if (worker.standing == Standing::Probation)
        return !isTrial(pending.spec()) || !worker.runs.empty();
    return worker.standing == Standing::HeldBack;
}

std::size_t mostTasksFor(const PendingStep& pending, const Worker& worker)
{
    if (isAvoided(pending, worker))
        return 0;
    return worker.standing == Standing::Probation ? 1 : std::numeric_limits<std::size_t>::max();
}

bool mayUseAvoided(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms, std::size_t count,
    std::size_t found, const std::string& rack)
{
    auto needed = pending.isGang ? count : 1;
    if (found >= needed)
        return false;
    auto need = reservedCapacity(pending.spec());
    std::size_t held = 0;
    for (const auto& headroom : headrooms) {
        const auto& worker = *headroom.worker;
        if (held >= needed)
            break;
        if ((rack.empty() || worker.rack == rack) && isAllowed(pending, worker) && !isAvoided(pending, worker))
            held += countFittingTasks(worker.capacity, need, needed);
    }
    return held < needed;
}

} // namespace agatevane::fleet
