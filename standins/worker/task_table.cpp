#include "standins/worker/task_table.h"

#include <algorithm>

namespace agatevane::standin {

namespace {

    constexpr std::int64_t failAfterMs = 50;

    bool isActive(const Task& task)
    {
        return task.report.state == TaskState::Reserved || task.report.state == TaskState::Running;
    }

    void endTask(TaskTable& table, Task& task, TaskState state, std::int64_t atMs)
    {
        if (task.report.state == TaskState::Running) {
            table.runs[task.run].endedMs = atMs;
            table.runs[task.run].state = state;
        }
        task.report.state = state;
        task.checkpointAtMs = -1;
    }

    //! Adds the progress made until `toMs`, at most up to the task's duration.
    void addProgress(Task& task, std::int64_t toMs)
    {
        auto gained = (toMs - task.updatedMs) * (100 - task.throttlePercent);
        task.progressUnits = std::min(task.durationMs * 100, task.progressUnits + gained);
        task.report.progressMs = task.progressUnits / 100;
        task.updatedMs = toMs;
    }

    std::int64_t finishTime(const Task& task)
    {
        auto left = task.durationMs * 100 - task.progressUnits;
        auto speed = 100 - task.throttlePercent;
        return speed == 0 ? INT64_MAX : task.updatedMs + (left + speed - 1) / speed;
    }

    void advanceRunning(TaskTable& table, Task& task, std::int64_t clockMs)
    {
        while (task.report.state == TaskState::Running) {
            auto finishAt = finishTime(task);
            auto failAt = task.failAtMs < 0 ? INT64_MAX : task.failAtMs;
            auto checkpointDone = task.checkpointAtMs < 0 ? INT64_MAX : task.checkpointAtMs;
            // The end of the lease takes precedence over other events in the same millisecond.
            auto leaseEnd = task.report.leaseUntilClockMs;
            auto next = std::min({ finishAt, failAt, checkpointDone, leaseEnd });
            if (next > clockMs) {
                addProgress(task, clockMs);
                return;
            }
            addProgress(task, std::max(next, task.updatedMs));
            if (next == leaseEnd) {
                endTask(table, task, TaskState::Stopped, next);
            } else if (next == checkpointDone) {
                task.report.checkpointedMs = task.report.progressMs;
                task.checkpointAtMs = -1;
            } else if (next == failAt) {
                endTask(table, task, TaskState::Failed, next);
            } else {
                task.report.progressMs = task.durationMs;
                task.report.checkpointedMs = task.durationMs;
                endTask(table, task, TaskState::Finished, next);
            }
        }
    }

    //! Advances the table and stores the epoch. False if the epoch is below the highest one seen.
    bool acceptEpoch(TaskTable& table, Epoch epoch, std::int64_t clockMs)
    {
        advance(table, clockMs);
        if (epoch < table.epoch)
            return false;
        table.epoch = epoch;
        return true;
    }

    //! The task of the attempt, with its epoch set to that of the command. Null if the attempt is unknown.
    Task* find(TaskTable& table, const AttemptId& attempt, Epoch epoch)
    {
        auto found = table.tasks.find(attempt);
        if (found == table.tasks.end())
            return nullptr;
        found->second.report.epoch = epoch;
        return &found->second;
    }

    //! The task that a command is for, or the status that refuses the command.
    struct CommandTarget {
        Task* task = nullptr;
        CommandStatus refusal = CommandStatus::Unknown; //!< meaningful only without a task
    };

    //! Accepts the command's epoch and finds its task.
    CommandTarget targetOf(TaskTable& table, const AttemptId& attempt, Epoch epoch, std::int64_t clockMs)
    {
        if (!acceptEpoch(table, epoch, clockMs))
            return { nullptr, CommandStatus::StaleEpoch };
        return { find(table, attempt, epoch), CommandStatus::Unknown };
    }

    int freeAccelerators(const TaskTable& table)
    {
        return table.accelerators - acceleratorsUsed(table);
    }

} // namespace

int acceleratorsUsed(const TaskTable& table)
{
    int used = 0;
    for (const auto& [attempt, task] : table.tasks) {
        if (isActive(task))
            used += task.report.accelerators;
    }
    return used;
}

void advance(TaskTable& table, std::int64_t clockMs)
{
    for (auto it = table.tasks.begin(); it != table.tasks.end();) {
        auto& task = it->second;
        if (task.report.state == TaskState::Reserved && task.report.leaseUntilClockMs <= clockMs) {
            it = table.tasks.erase(it);
            continue;
        }
        advanceRunning(table, task, clockMs);
        ++it;
    }
}

CommandStatus prepare(TaskTable& table, const PrepareCommand& command, std::int64_t clockMs)
{
    if (!acceptEpoch(table, command.epoch, clockMs))
        return CommandStatus::StaleEpoch;
    if (auto* task = find(table, command.attempt, command.epoch))
        return isActive(*task) ? CommandStatus::Done : CommandStatus::Ended;
    if (table.leaving)
        return CommandStatus::Leaving;
    if (table.rejectsAll || command.accelerators > freeAccelerators(table))
        return CommandStatus::Full;
    if (command.reserveUntilClockMs <= clockMs)
        return CommandStatus::Ended;
    Task task;
    task.report = { .job = command.job,
        .attempt = command.attempt,
        .epoch = command.epoch,
        .state = TaskState::Reserved,
        .accelerators = command.accelerators,
        .part = command.part,
        .parts = command.parts,
        .leaseUntilClockMs = command.reserveUntilClockMs };
    table.tasks.emplace(command.attempt, std::move(task));
    return CommandStatus::Done;
}

CommandStatus start(TaskTable& table, const StartCommand& command, std::int64_t clockMs)
{
    auto [task, refusal] = targetOf(table, command.attempt, command.epoch, clockMs);
    if (!task)
        return refusal;
    auto state = task->report.state;
    if (state == TaskState::Running || state == TaskState::Finished)
        return CommandStatus::Done;
    if (state != TaskState::Reserved)
        return CommandStatus::Unknown;
    if (command.leaseUntilClockMs <= clockMs)
        return CommandStatus::Ended;
    task->report.state = TaskState::Running;
    task->report.leaseUntilClockMs = command.leaseUntilClockMs;
    task->report.progressMs = std::min(command.restoredMs, command.durationMs);
    task->progressUnits = task->report.progressMs * 100;
    task->report.checkpointedMs = task->report.progressMs;
    task->durationMs = command.durationMs;
    task->canCheckpoint = command.canCheckpoint;
    task->updatedMs = clockMs;
    task->failAtMs = table.failsAll ? clockMs + failAfterMs : -1;
    task->run = table.runs.size();
    table.runs.push_back({ task->report.job, command.attempt, task->report.part, task->report.parts,
        task->report.accelerators, command.epoch, table.instance, clockMs, -1, TaskState::Running });
    return CommandStatus::Done;
}

CommandStatus renew(TaskTable& table, const RenewCommand& command, std::int64_t clockMs)
{
    if (!acceptEpoch(table, command.epoch, clockMs))
        return CommandStatus::StaleEpoch;
    for (const auto& attempt : command.attempts) {
        auto* task = find(table, attempt, command.epoch);
        if (task && isActive(*task))
            task->report.leaseUntilClockMs = std::max(task->report.leaseUntilClockMs, command.untilClockMs);
    }
    return CommandStatus::Done;
}

CommandStatus checkpoint(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs)
{
    auto [task, refusal] = targetOf(table, command.attempt, command.epoch, clockMs);
    if (!task)
        return refusal;
    if (task->report.state == TaskState::Finished)
        return CommandStatus::Done;
    if (!task->canCheckpoint || task->report.state != TaskState::Running)
        return CommandStatus::NotPossible;
    if (task->checkpointAtMs < 0)
        task->checkpointAtMs = clockMs + table.checkpointMs;
    return CommandStatus::Done;
}

CommandStatus stop(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs)
{
    auto [task, refusal] = targetOf(table, command.attempt, command.epoch, clockMs);
    if (!task)
        return refusal;
    if (isActive(*task))
        endTask(table, *task, TaskState::Stopped, clockMs);
    return CommandStatus::Done;
}

CommandStatus throttle(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs)
{
    auto [task, refusal] = targetOf(table, command.attempt, command.epoch, clockMs);
    if (!task)
        return refusal;
    task->throttlePercent = command.throttlePercent;
    return CommandStatus::Done;
}

CommandStatus forget(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs)
{
    auto [task, refusal] = targetOf(table, command.attempt, command.epoch, clockMs);
    if (!task)
        return refusal;
    if (isActive(*task))
        return CommandStatus::NotPossible;
    table.tasks.erase(command.attempt);
    return CommandStatus::Done;
}

void restart(TaskTable& table, const std::string& instance, bool keepsEpoch, std::int64_t clockMs)
{
    advance(table, clockMs);
    for (auto& [attempt, task] : table.tasks) {
        if (isActive(task))
            endTask(table, task, TaskState::Stopped, clockMs);
    }
    table.tasks.clear();
    table.instance = instance;
    if (!keepsEpoch)
        table.epoch = 0;
}

} // namespace agatevane::standin
