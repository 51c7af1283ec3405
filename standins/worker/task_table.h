#pragma once

#include "agatevane/worker_api/worker_api.h"
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

//! The tasks of one worker as pure state. All times are milliseconds on the worker's clock.
namespace agatevane::standin {

//! When one part of a gang ran; kept over restarts of the worker, for checks by tests.
struct PartRun {
    JobId job;
    AttemptId attempt;
    int part = 0;
    int parts = 1;
    int accelerators = 0;
    Epoch epoch = 0; //!< under which it was started
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
    std::int64_t progressUnits = 0; //!< hundredths of a millisecond of work, so that throttling loses no rest
    std::int64_t updatedMs = 0; //!< the progress is as of this time
    bool canCheckpoint = false;
    int throttlePercent = 0;
    std::size_t run = 0; //!< index into the part runs, once started
};

struct TaskTable {
    std::string instance;
    Epoch epoch = 0;
    int accelerators = 0;
    std::int64_t checkpointMs = 100; //!< how long a checkpoint takes
    bool leaving = false;
    bool rejectsAll = false; //!< answers every prepare as if it were full
    bool failsAll = false; //!< fails every task soon after its start
    std::unordered_map<AttemptId, Task> tasks;
    std::vector<PartRun> runs;
};

//! Carries out what happens by itself until `clockMs`: progress, ends, checkpoints, and ends of leases and
//! reservations.
void advance(TaskTable& table, std::int64_t clockMs);

// Each command advances the table first.
CommandStatus prepare(TaskTable& table, const PrepareCommand& command, std::int64_t clockMs);
CommandStatus start(TaskTable& table, const StartCommand& command, std::int64_t clockMs);
CommandStatus renew(TaskTable& table, const RenewCommand& command, std::int64_t clockMs);
CommandStatus checkpoint(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);
CommandStatus stop(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);
CommandStatus throttle(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);
CommandStatus forget(TaskTable& table, const AttemptCommand& command, std::int64_t clockMs);

//! Loses all tasks, and the highest epoch as well unless `keepsEpoch`.
void restart(TaskTable& table, const std::string& instance, bool keepsEpoch, std::int64_t clockMs);

int acceleratorsUsed(const TaskTable& table);

} // namespace agatevane::standin
