#include "agatevane/fleet/runs.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/incarnations.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/fleet/worker_record.h"
#include "agatevane/fleet/workers.h"
#include <utility>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! Size of the range of run numbers that each tenure has for a task.
    constexpr RunNumber runsPerTenure = 10000;
    //! An unanswered order is sent again after this; a worker's answer takes tens of milliseconds.
    constexpr Millis resendDelay { 150 };
    //! A start that is not confirmed within this time is abandoned, so that a gang can form on other workers.
    constexpr Millis startTimeout { 1500 };
    //! A worker that could not be reached, or refused an order, gets no new work for this long.
    constexpr Millis avoidAfterRefusal { 1000 };

    void cancelUnstarted(Fleet& fleet, Worker& worker, const RunKey& key, Instant at)
    {
        auto* job = findJob(fleet, key.first.job);
        removeRun(fleet, worker, key);
        if (job && stepOf(*job, key.first).isGang)
            stopTaskRuns(fleet, *job, key.first, at, "member_not_started");
    }

    //! The task's run on its worker, which becomes due; null if the task is idle.
    Run* changeTaskRun(Fleet& fleet, const Task& task, const TaskId& id)
    {
        auto* worker = task.run ? changeWorker(fleet, task.run->worker) : nullptr;
        if (!worker)
            return nullptr;
        auto found = worker->runs.find({ id, task.run->number });
        return found == worker->runs.end() ? nullptr : &found->second;
    }

    //! True if the worker has, or may have, another run of the task, which is to end first.
    bool hasOtherRun(const Worker& worker, const RunKey& key)
    {
        auto each = worker.runs.lower_bound({ key.first, 0 });
        for (; each != worker.runs.end() && each->first.first == key.first; ++each) {
            if (each->first != key)
                return true;
        }
        return false;
    }

    //! True if a start order for the run may be sent now. The lease is given on the worker's clock, which is only known
    //! after the first poll of the incarnation; the worker's kind, only after its entry.
    bool mayStartOn(const Fleet& fleet, const Worker& worker, const RunKey& key, Instant at)
    {
        return isOwnershipConfirmed(fleet, at) && worker.hasAnsweredPoll && isEntryCurrent(worker)
            && !hasOtherRun(worker, key) && !mayEndUnseen(worker, at) && mayStartDespiteEvacuations(fleet, worker, at);
    }

    //! True if a start or stop order is to be sent, now or later.
    bool needsOrder(const Run& run)
    {
        bool isUnconfirmed = run.state == RunState::Ordered || (run.state == RunState::Stopping && !run.isConfirmed);
        return isUnconfirmed && !run.isOrderInFlight;
    }

    void addUnwantedTasks(const Worker& worker, std::set<TaskId>& tasks)
    {
        for (const auto& [key, run] : worker.runs) {
            if (!run.isWanted)
                tasks.insert(key.first);
        }
    }

    WorkerLoad computeLoad(const Fleet& fleet, const Worker& worker)
    {
        WorkerLoad load;
        for (const auto& [key, run] : worker.runs) {
            load.hasUnwantedRun = load.hasUnwantedRun || !run.isWanted;
            if (run.state == RunState::Ordered)
                load.unconfirmedSince.push_back(run.orderedAt);
            if (run.state == RunState::Stopping)
                load.stopping += run.need;
            if (!findTask(fleet, key.first))
                continue;
            const auto& step = stepOf(*findJob(fleet, key.first.job), key.first);
            load.servingTasks += isServing(step) ? 1 : 0;
            load.fillerMilliCores += step.isFiller ? step.need.milliCores : 0;
        }
        return load;
    }

} // namespace

Capacity reservedCapacity(const StepSpec& step)
{
    auto headroom = step.need;
    if (step.isFiller)
        headroom.milliCores = 0;
    return headroom;
}

bool isServing(const StepSpec& step)
{
    return step.tailLatencyTargetMs > 0;
}

const StepSpec& stepOf(const Job& job, const TaskId& id)
{
    return job.spec.steps[id.step];
}

const Run* findTaskRun(const Fleet& fleet, const TaskId& id)
{
    const auto* task = findTask(fleet, id);
    const auto* worker = task && task->run ? findWorker(fleet, task->run->worker) : nullptr;
    if (!worker)
        return nullptr;
    auto found = worker->runs.find({ id, task->run->number });
    return found == worker->runs.end() ? nullptr : &found->second;
}

RunNumber nextRunNumber(const Fleet& fleet, const Job& job, const TaskId& id)
{
    const auto& step = job.occurrences[id.occurrence].steps[id.step];
    RunNumber last = step.tasks[id.index].highestRun;
    if (stepOf(job, id).isGang) {
        for (const auto& task : step.tasks)
            last = std::max(last, task.highestRun);
    }
    return std::max(last + 1, (fleet.tenure - 1) * runsPerTenure + 1);
}

std::set<TaskId> tasksWithOpenRun(const Fleet& fleet, Instant at)
{
    // Tasks that last serve users all the time: they are missed more than a second run of them would harm.
    auto mayWait = [&fleet](const TaskId& id) {
        auto job = fleet.jobs.find(id.job);
        if (job == fleet.jobs.end() || id.step >= job->second.spec.steps.size())
            return true;
        const auto& step = stepOf(job->second, id);
        return !step.isContinuous && !step.allowsDuplicates;
    };
    std::set<TaskId> tasks;
    for (const auto& [id, worker] : fleet.workers) {
        if (!worker.load || worker.load->hasUnwantedRun)
            addUnwantedTasks(worker, tasks);
        bool isAnswering = worker.missedPolls == 0 && worker.hasAnsweredPoll;
        for (const auto& [key, until] : worker.unansweredStarts) {
            if (!isAnswering && at < until && mayWait(key.first))
                tasks.insert(key.first);
        }
    }
    return tasks;
}

const WorkerLoad& loadOf(const Fleet& fleet, Worker& worker)
{
    if (!worker.load)
        worker.load = computeLoad(fleet, worker);
    return *worker.load;
}

void orderRun(Job& job, const TaskId& id, RunNumber number, Worker& worker, Instant at)
{
    auto& step = job.occurrences[id.occurrence].steps[id.step];
    auto& task = step.tasks[id.index];
    Run run;
    run.task = id;
    run.number = number;
    run.need = reservedCapacity(stepOf(job, id));
    run.priority = job.policy.priority;
    run.orderedAt = run.nextSendAt = run.progressAt = at;
    run.pace = fullPace;
    run.isFromStart = sharedTask(job, id).checkpoint.empty();
    worker.used += run.need;
    worker.runs.emplace(RunKey { id, number }, run);
    task.run = { worker.id, number };
    task.highestRun = number;
    ++step.active;
}

void markStarted(Fleet& fleet, Job& job)
{
    if (std::exchange(job.hasStarted, true))
        return;
    if (job.phase == JobPhase::Open && job.spec.occurrences == 0)
        --fleet.waitingJobCounts[job.spec.queue];
}

void adoptRun(Fleet& fleet, Worker& worker, const RunKey& key, bool isWanted, Instant at)
{
    Run run;
    run.task = key.first;
    run.number = key.second;
    run.orderedAt = run.nextSendAt = run.progressAt = run.confirmedAt = at;
    run.isWanted = isWanted;
    run.isConfirmed = isWanted;
    run.state = isWanted ? RunState::Running : RunState::Stopping;
    auto* job = findJob(fleet, key.first.job);
    auto* task = findTask(fleet, key.first);
    if (!task) {
        worker.hasRunOfUnknownSize = true;
    } else {
        run.need = reservedCapacity(stepOf(*job, key.first));
        run.priority = job->policy.priority;
    }
    if (task && isWanted) {
        task->run = { worker.id, key.second };
        task->highestRun = std::max(task->highestRun, key.second);
        ++job->occurrences[key.first.occurrence].steps[key.first.step].active;
        markStarted(fleet, *job);
    }
    worker.used += run.need;
    worker.runs.emplace(key, run);
}

void holdRun(Fleet& fleet, Worker& worker, const RunKey& key, Instant at)
{
    adoptRun(fleet, worker, key, false, at);
    auto& run = worker.runs.at(key);
    run.state = RunState::Running;
    run.isHeld = run.isConfirmed = run.isReported = true;
}

void removeRun(Fleet& fleet, Worker& worker, const RunKey& key)
{
    auto found = worker.runs.find(key);
    if (found == worker.runs.end())
        return;
    worker.used -= found->second.need;
    bool isWanted = found->second.isWanted;
    worker.runs.erase(found);
    if (worker.hasRunOfUnknownSize) {
        worker.hasRunOfUnknownSize = std::any_of(worker.runs.begin(), worker.runs.end(),
            [&fleet](const auto& each) { return findTask(fleet, each.first.first) == nullptr; });
    }
    fleet.isPlacementDue = true;
    auto* task = findTask(fleet, key.first);
    if (!task || !isWanted || task->run != TaskRun { worker.id, key.second })
        return;
    task->run.reset();
    --findJob(fleet, key.first.job)->occurrences[key.first.occurrence].steps[key.first.step].active;
}

void loseRun(Fleet& fleet, Worker& worker, const RunKey& key, Instant at, std::string_view reason)
{
    Line("run_lost")
        .with("job", key.first.job)
        .with("task", toString(key.first))
        .with("run", key.second)
        .with("worker", worker.id)
        .with("reason", reason);
    noteFault(fleet, worker, at);
    removeRun(fleet, worker, key);
    if (auto* job = findJob(fleet, key.first.job); job && findTask(fleet, key.first) && stepOf(*job, key.first).isGang)
        stopTaskRuns(fleet, *job, key.first, at, "member_lost");
}

void requestStop(Run& run, Instant at)
{
    if (run.state == RunState::Stopping)
        return;
    run.state = RunState::Stopping;
    run.isConfirmed = false;
    run.isOrderInFlight = false;
    run.nextSendAt = at;
}

void stopTaskRuns(Fleet& fleet, Job& job, const TaskId& id, Instant at, std::string_view reason)
{
    auto& step = job.occurrences[id.occurrence].steps[id.step];
    bool isGang = stepOf(job, id).isGang;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (!isGang && index != id.index)
            continue;
        TaskId member { id.job, id.occurrence, id.step, index };
        auto* run = changeTaskRun(fleet, step.tasks[index], member);
        if (!run || run->state == RunState::Stopping)
            continue;
        requestStop(*run, at);
        ++fleet.stopsByCause.try_emplace(std::string(reason)).first->second;
        Line("stop_ordered")
            .with("job", id.job)
            .with("task", toString(member))
            .with("run", run->number)
            .with("worker", step.tasks[index].run->worker)
            .with("reason", reason);
    }
}

void stopJobRuns(Fleet& fleet, Job& job, Instant at)
{
    for (std::uint32_t occurrenceIndex = 0; occurrenceIndex < job.occurrences.size(); ++occurrenceIndex) {
        for (std::uint32_t stepIndex = 0; stepIndex < job.spec.steps.size(); ++stepIndex) {
            auto& step = job.occurrences[occurrenceIndex].steps[stepIndex];
            for (std::uint32_t taskIndex = 0; taskIndex < step.tasks.size() && step.active > 0; ++taskIndex)
                stopTaskRuns(fleet, job, { job.spec.id, occurrenceIndex, stepIndex, taskIndex }, at, "job_ended");
        }
    }
}

void applyStartOutcome(Fleet& fleet, const WorkerId& workerId, const RunKey& key, OrderOutcome outcome, Instant at)
{
    auto* worker = changeWorker(fleet, workerId);
    if (!worker)
        return;
    auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second.state != RunState::Ordered) {
        if (outcome == OrderOutcome::Unknown)
            worker->unansweredStarts[key] = at + lateOrderBound;
        return;
    }
    auto& run = found->second;
    run.isOrderInFlight = false;
    if (outcome != OrderOutcome::Done)
        Line("start_not_confirmed")
            .with("job", key.first.job)
            .with("task", toString(key.first))
            .with("run", key.second)
            .with("worker", workerId)
            .with("orders_sent", run.ordersSent)
            .with("outcome", nameOf(outcome));
    if (outcome == OrderOutcome::NotSent || outcome == OrderOutcome::Unhealthy)
        noteFault(fleet, *worker, at);
    switch (outcome) {
    case OrderOutcome::Done:
        run.state = RunState::Running;
        run.isConfirmed = true;
        run.confirmedAt = run.progressAt = at;
        if (auto* job = findJob(fleet, key.first.job))
            markStarted(fleet, *job);
        return;
    case OrderOutcome::Unknown:
        worker->unansweredStarts[key] = at + lateOrderBound;
        run.nextSendAt = at + resendDelay;
        return;
    case OrderOutcome::NotSent:
        worker->avoidUntil = std::max(worker->avoidUntil, at + avoidAfterRefusal);
        worker->nextPollAt = at;
        // An earlier order of this run may still be carried out.
        if (run.ordersSent > 1) {
            run.nextSendAt = at + resendDelay;
            return;
        }
        return cancelUnstarted(fleet, *worker, key, at);
    case OrderOutcome::NoRoom:
    case OrderOutcome::Unhealthy:
    case OrderOutcome::Malformed:
        worker->avoidUntil = std::max(worker->avoidUntil, at + avoidAfterRefusal);
        if (run.ordersSent > 1)
            return requestStop(run, at);
        return cancelUnstarted(fleet, *worker, key, at);
    case OrderOutcome::Late:
    case OrderOutcome::OtherIncarnation:
        worker->nextPollAt = at;
        worker->avoidUntil = std::max(worker->avoidUntil, at + resendDelay);
        // An earlier order of this run may have been carried out.
        if (run.ordersSent > 1)
            return requestStop(run, at);
        return cancelUnstarted(fleet, *worker, key, at);
    case OrderOutcome::Outdated:
        // The run has ended on the worker. The next poll reports how, or no longer reports the run.
        run.state = RunState::Stopping;
        run.isConfirmed = true;
        run.confirmedAt = worker->nextPollAt = at;
        return;
    }
}

void applyStopOutcome(Fleet& fleet, const WorkerId& workerId, const RunKey& key, OrderOutcome outcome, Instant at)
{
    auto* worker = changeWorker(fleet, workerId);
    if (!worker)
        return;
    auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second.state != RunState::Stopping)
        return;
    auto& run = found->second;
    run.isOrderInFlight = false;
    if (outcome == OrderOutcome::Done) {
        run.isConfirmed = true;
        run.confirmedAt = at;
        worker->nextPollAt = at;
        return;
    }
    run.stopUnansweredAt = at;
    run.nextSendAt = at + resendDelay;
}

void abandonUnconfirmedStarts(Fleet& fleet, const std::vector<Worker*>& workers, Instant at)
{
    for (auto* worker : workers) {
        for (auto& [key, run] : worker->runs) {
            if (run.state != RunState::Ordered || at - run.orderedAt <= startTimeout)
                continue;
            if (run.ordersSent > 0)
                noteFault(fleet, *worker, at);
            if (auto* job = findJob(fleet, key.first.job))
                stopTaskRuns(fleet, *job, key.first, at, "start_not_confirmed");
            requestStop(run, at);
        }
    }
}

void emitRunOrders(Fleet& fleet, const std::vector<Worker*>& workers, Instant at, Orders& orders)
{
    for (auto* worker : workers) {
        for (auto& [key, run] : worker->runs) {
            if (!needsOrder(run) || at < run.nextSendAt)
                continue;
            if (run.state == RunState::Stopping) {
                run.isOrderInFlight = true;
                ++run.ordersSent;
                orders.stops.push_back({ worker->id, worker->address, key.first, key.second, fleet.fencingToken });
                continue;
            }
            auto* job = findJob(fleet, key.first.job);
            if (!job || !mayStartOn(fleet, *worker, key, at))
                continue;
            checkStartIsNamed(fleet, *worker, key);
            run.isOrderInFlight = true;
            ++run.ordersSent;
            auto until = extendLease(fleet, *worker, at);
            StepId step { key.first.job, key.first.occurrence, key.first.step };
            orders.starts.push_back({ worker->id, worker->address, key.first, key.second, job->spec.payload,
                sharedTask(*job, key.first).checkpoint, ticketOf(fleet, step, *worker, at), until,
                fleet.fencingToken });
        }
    }
}

Instant nextRunOrderOf(const Worker& worker)
{
    auto next = Instant::max();
    for (const auto& [key, run] : worker.runs) {
        if (run.state == RunState::Ordered)
            next = std::min(next, run.orderedAt + startTimeout);
        if (needsOrder(run))
            next = std::min(next, run.nextSendAt);
    }
    return next;
}

} // namespace agatevane::fleet
