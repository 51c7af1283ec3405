#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/finding.h"
#include "agatevane/base/id.h"
#include "agatevane/base/resources.h"
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

//! The messages of a worker's HTTP interface. All times are on the worker's own monotonic clock, in milliseconds.
namespace agatevane {

//! Fencing token of the scheduler that owns a data centre. A worker refuses commands below the highest epoch it has
//! seen.
using Epoch = std::uint64_t;

enum class TaskState { Reserved, Running, Finished, Failed, Stopped };

template <> struct EnumNames<TaskState> {
    static constexpr std::array<std::pair<TaskState, std::string_view>, 5> table { {
        { TaskState::Reserved, "reserved" },
        { TaskState::Running, "running" },
        { TaskState::Finished, "finished" },
        { TaskState::Failed, "failed" },
        { TaskState::Stopped, "stopped" },
    } };
};

//! One part of a gang on one worker. Finished, failed and stopped tasks are reported until a /forget command.
struct TaskReport {
    JobId job;
    AttemptId attempt;
    Epoch epoch = 0; //!< the epoch of the last accepted command
    TaskState state = TaskState::Reserved;
    int accelerators = 0;
    int part = 0; //!< 0 to parts - 1
    int parts = 1; //!< number of workers in the gang
    std::int64_t progressMs = 0; //!< work done, including work restored from a checkpoint
    std::int64_t checkpointedMs = 0; //!< work saved in the last checkpoint, which a stop does not lose
    std::int64_t leaseUntilClockMs = 0; //!< the task is stopped when the worker's clock passes this

    bool operator==(const TaskReport&) const = default;
};

struct WorkerReport {
    WorkerId worker;
    std::string instance; //!< changes with every restart of the worker, which loses all tasks
    std::int64_t clockMs = 0;
    Epoch epoch = 0; //!< the highest epoch seen
    bool leaving = false;
    int slots = 0;
    int slotsUsed = 0;
    int connections = 0;
    int connectionsUsed = 0;
    Resources capacity;
    RackId rack;
    DataCentreId dataCentre;
    std::vector<TaskReport> tasks;

    bool operator==(const WorkerReport&) const = default;
};

//! POST /v1/tasks/prepare. Answers: 200; 409 stale_epoch; 503 if full or leaving. Repeating it is idempotent.
struct PrepareCommand {
    JobId job;
    AttemptId attempt;
    Epoch epoch = 0;
    int accelerators = 0;
    int part = 0;
    int parts = 1;
    std::int64_t reserveUntilClockMs = 0;
};

//! POST /v1/tasks/start. Answers: 200; 404 if not reserved; 409 stale_epoch. Repeating it is idempotent.
struct StartCommand {
    AttemptId attempt;
    Epoch epoch = 0;
    std::int64_t leaseUntilClockMs = 0;
    std::int64_t durationMs = 0; //!< run time on a stand-in worker; a real worker takes it from the payload
    std::int64_t restoredMs = 0; //!< work restored from the job's last checkpoint
    bool canCheckpoint = false;
    std::string payload;
};

//! POST /v1/tasks/renew. Answers: 200; 409 stale_epoch. An empty list only raises the worker's epoch.
struct RenewCommand {
    Epoch epoch = 0;
    std::int64_t untilClockMs = 0;
    std::vector<AttemptId> attempts;
};

//! POST /v1/tasks/checkpoint, /stop, /forget, /throttle. Answers: 200; 404 if the attempt is unknown; 409 stale_epoch.
struct AttemptCommand {
    AttemptId attempt;
    Epoch epoch = 0;
    int throttlePercent = 0; //!< used by /throttle only
};

void to_json(nlohmann::json& json, const TaskReport& report);
void to_json(nlohmann::json& json, const WorkerReport& report);
void to_json(nlohmann::json& json, const PrepareCommand& command);
void to_json(nlohmann::json& json, const StartCommand& command);
void to_json(nlohmann::json& json, const RenewCommand& command);
void to_json(nlohmann::json& json, const AttemptCommand& command);

//! Each decodes the JSON text of a message and returns all errors found; if there are any, `result` is unspecified.
Findings decode(const std::string& text, WorkerReport& result);
Findings decode(const std::string& text, PrepareCommand& result);
Findings decode(const std::string& text, StartCommand& result);
Findings decode(const std::string& text, RenewCommand& result);
Findings decode(const std::string& text, AttemptCommand& result);

} // namespace agatevane
