#pragma once

#include "agatevane/gang/gang.h"
#include "agatevane/worker_api/worker_api.h"
#include <cmath>
#include <map>
#include <set>

namespace agatevane::simulation {

//! One run of one part; the times are in simulated milliseconds.
struct PartRun {
    double start = 0;
    double end = -1; //!< -1: still running
    bool isFinished = false;
};

//! What actually ran for one attempt, as the workers know it.
struct AttemptHistory {
    JobId job;
    int parts = 1;
    std::map<int, PartRun> runs;
};

using History = std::map<AttemptId, AttemptHistory>;

struct SimulatedTask {
    TaskReport report;
    double startedAt = 0; //!< in milliseconds on the worker's clock
    std::int64_t durationMs = 0;
    std::int64_t restoredMs = 0;
};

//! Simulates a worker that follows the platform's rules and has a clock that drifts.
struct SimulatedWorker {
    WorkerId id;
    int number = 0;
    int instance = 1;
    int capacity = 8;
    double clockRate = 1; //!< milliseconds of the worker's clock per simulated millisecond
    double clockOffsetMs = 0; //!< the worker's clock at simulated time 0
    bool failsAllTasks = false; //!< every task that reaches its end fails
    Epoch epoch = 0;
    std::map<AttemptId, SimulatedTask> tasks;
    History* history = nullptr;

    std::int64_t clock(double at) const
    {
        return static_cast<std::int64_t>(std::floor(clockOffsetMs + at * clockRate));
    }
    double trueTime(double clockMs) const { return (clockMs - clockOffsetMs) / clockRate; }

    int used() const
    {
        int sum = 0;
        for (const auto& [attempt, task] : tasks) {
            if (task.report.state == TaskState::Reserved || task.report.state == TaskState::Running)
                sum += task.report.accelerators;
        }
        return sum;
    }

    void end(SimulatedTask& task, TaskState state, double clockMs)
    {
        if (task.report.state == TaskState::Running) {
            auto& run = (*history)[task.report.attempt].runs[task.report.part];
            run.end = trueTime(clockMs);
            run.isFinished = state == TaskState::Finished;
        }
        task.report.state = state;
    }

    void advance(double at)
    {
        auto nowMs = clock(at);
        std::erase_if(tasks, [&](const auto& entry) {
            return entry.second.report.state == TaskState::Reserved && entry.second.report.leaseUntilClockMs <= nowMs;
        });
        for (auto& [attempt, task] : tasks) {
            if (task.report.state != TaskState::Running)
                continue;
            auto doneAt = task.startedAt + static_cast<double>(task.durationMs - task.restoredMs);
            auto lease = static_cast<double>(task.report.leaseUntilClockMs);
            if (doneAt <= lease && doneAt <= static_cast<double>(nowMs))
                end(task, failsAllTasks ? TaskState::Failed : TaskState::Finished, doneAt);
            else if (lease <= static_cast<double>(nowMs))
                end(task, TaskState::Stopped, lease);
            else
                task.report.progressMs = task.restoredMs + nowMs - static_cast<std::int64_t>(task.startedAt);
        }
    }

    void restart(double at)
    {
        advance(at);
        for (auto& [attempt, task] : tasks)
            end(task, TaskState::Stopped, static_cast<double>(clock(at)));
        tasks.clear();
        ++instance;
        epoch = 0;
    }

    WorkerReport report(double at)
    {
        advance(at);
        WorkerReport result {
            .worker = id, .instance = std::to_string(instance), .clockMs = clock(at), .epoch = epoch
        };
        result.capacity.accelerators = capacity;
        for (const auto& [attempt, task] : tasks)
            result.tasks.push_back(task.report);
        return result;
    }

    gang::ReplyStatus handle(const PrepareCommand& command, double at)
    {
        if (auto task = tasks.find(command.attempt); task != tasks.end()) {
            bool isLive
                = task->second.report.state == TaskState::Reserved || task->second.report.state == TaskState::Running;
            return isLive ? gang::ReplyStatus::Ok : gang::ReplyStatus::Refused;
        }
        if (used() + command.accelerators > capacity || command.reserveUntilClockMs <= clock(at))
            return gang::ReplyStatus::Refused;
        SimulatedTask task;
        task.report = { .job = command.job,
            .attempt = command.attempt,
            .epoch = command.epoch,
            .accelerators = command.accelerators,
            .part = command.part,
            .parts = command.parts,
            .leaseUntilClockMs = command.reserveUntilClockMs };
        tasks[command.attempt] = task;
        return gang::ReplyStatus::Ok;
    }

    gang::ReplyStatus handle(const StartCommand& command, double at)
    {
        auto position = tasks.find(command.attempt);
        if (position == tasks.end())
            return gang::ReplyStatus::NotFound;
        auto& task = position->second;
        if (task.report.state != TaskState::Reserved) {
            bool isEnded = task.report.state == TaskState::Failed || task.report.state == TaskState::Stopped;
            return isEnded ? gang::ReplyStatus::NotFound : gang::ReplyStatus::Ok;
        }
        if (command.leaseUntilClockMs <= clock(at))
            return gang::ReplyStatus::NotFound;
        task.startedAt = static_cast<double>(clock(at));
        task.durationMs = command.durationMs;
        task.restoredMs = command.restoredMs;
        task.report.state = TaskState::Running;
        task.report.leaseUntilClockMs = command.leaseUntilClockMs;
        auto& attempt = (*history)[command.attempt];
        attempt.job = task.report.job;
        attempt.parts = task.report.parts;
        attempt.runs[task.report.part] = { .start = trueTime(task.startedAt) };
        return gang::ReplyStatus::Ok;
    }

    gang::ReplyStatus handle(const gang::AttemptOrder& order, double at)
    {
        auto position = tasks.find(order.command.attempt);
        if (position == tasks.end())
            return gang::ReplyStatus::NotFound;
        auto& task = position->second;
        bool isLive = task.report.state == TaskState::Reserved || task.report.state == TaskState::Running;
        if (order.kind == gang::OrderKind::Checkpoint && isLive)
            task.report.checkpointedMs = task.report.progressMs;
        if (order.kind == gang::OrderKind::Stop && isLive)
            end(task, TaskState::Stopped, static_cast<double>(clock(at)));
        if (order.kind == gang::OrderKind::Forget && !isLive)
            tasks.erase(position);
        return gang::ReplyStatus::Ok;
    }

    gang::ReplyStatus handle(const RenewCommand& command, double)
    {
        for (const auto& attempt : command.attempts) {
            auto task = tasks.find(attempt);
            if (task != tasks.end() && task->second.report.state == TaskState::Running)
                task->second.report.leaseUntilClockMs
                    = std::max(task->second.report.leaseUntilClockMs, command.untilClockMs);
        }
        return gang::ReplyStatus::Ok;
    }

    template <typename Command> gang::ReplyStatus receive(const Command& command, Epoch commandEpoch, double at)
    {
        advance(at);
        if (commandEpoch < epoch)
            return gang::ReplyStatus::StaleEpoch;
        epoch = commandEpoch;
        return handle(command, at);
    }
};

} // namespace agatevane::simulation
