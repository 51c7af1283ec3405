#pragma once

#include "agatevane/worker_api/worker_api.h"
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

//! The tasks of one worker, as state without input or output. All times are milliseconds on the worker's clock.
namespace agatevane::standin {

//! One run of one part of a gang, for checks by tests. A restart of the worker keeps it.
struct PartRun {
    JobId job;
    AttemptId attempt;
    int part = 0;
    int parts = 1;
    int accelerators = 0;
    Epoch epoch = 0; //!< epoch of the start command
    std::string instance;
    std::int64_t startedMs = 0;
    std::int64_t endedMs = -1; //!< -1: still running
    TaskState state = TaskState::Running;
};

enum class CommandStatus { Done, StaleEpoch, Unknown, Full, Leaving, Ended, NotPossible };

struct Task {
    TaskReport report;
    std::int64_t durationMs = 0;
    std::int64_t failAtMs = -1; //!< -1: does not fail
    std::int64_t checkpointAtMs = -1; //!< -1: no checkpoint in progress
    std::int64_t progressUnits = 0; //!< hundredths of a millisecond of work, so that throttled progress is not rounded
    std::int64_t updatedMs = 0; //!< time up to which the progress is counted
    bool canCheckpoint = false;
    int throttlePercent = 0;
    std::size_t run = 0; //!< index into TaskTable::runs; valid once the task has started
};

struct TaskTable {
    std::string instance;
    Epoch epoch = 0;
    int accelerators = 0;
    std::int64_t checkpointMs = 100; //!< duration of a checkpoint
    bool leaving = false;
    bool rejectsAll = false; //!< refuses every prepare command as if the worker were full
    bool failsAll = false; //!< fails every task shortly after its start
    std::unordered_map<AttemptId, Task> tasks;
    std::vector<PartRun> runs;
};

//! Applies everything that is due by `clockMs` without a command: progress, ends of tasks, checkpoints, and the expiry
//! of leases and reservations.
void advance(TaskTable& table, std::int64_t clockMs);

// Each of these functions advances the table to `clockMs` before it applies its command.
CommandStatus prepare(TaskTable& table, const PrepareCommand& command, std::int64_t clockMs);
CommandStatus start(TaskTable& table, const StartCommand& command, std::int64_t clockMs);
CommandStatus renew(TaskTable& table, const RenewCommand& command, std::int64_t clockMs);
CommandStatus checkpoint(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);
CommandStatus stop(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);
CommandStatus throttle(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);
CommandStatus forget(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);

//! Clears all tasks, and also the highest epoch unless `keepsEpoch` is set.
void restart(TaskTable& table, const std::string& instance, bool keepsEpoch, std::int64_t clockMs);

int acceleratorsUsed(const TaskTable& table);

} // namespace agatevane::standin
