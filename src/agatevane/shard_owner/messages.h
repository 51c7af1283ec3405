#pragma once

#include "agatevane/catalogue/entries.h"
#include "agatevane/gang/gang.h"
#include "agatevane/ownership/ownership.h"
#include "agatevane/peer_api/messages.h"
#include "agatevane/scheduling/shard.h"
#include "agatevane/store_call/store_call.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

//! Inputs and actions of the state machine that serves one data centre.
namespace agatevane::shard_owner {

using RequestId = std::uint64_t;

struct Tick { };

//! The catalogue's workers and policy of the data centre have changed or were read for the first time.
struct FleetChanged {
    std::vector<WorkerEntry> workers;
    scheduling::Policy policy;
};

struct ReportArrived {
    WorkerId worker;
    WorkerReport report;
    Instant sentAt; //!< when the report was requested
};

//! A Poll got no usable report.
struct PollFailed {
    WorkerId worker;
};

//! The answer to a SendCommand or SendRenewal.
struct CommandAnswered {
    WorkerId worker;
    AttemptId attempt; //!< empty for a renewal
    enum class Kind { Prepare, Start, Renew, Checkpoint, Stop, Forget } kind = Kind::Stop;
    Epoch epoch = 0; //!< epoch of the command
    gang::ReplyStatus status = gang::ReplyStatus::Unknown;
    Instant sentAt; //!< when the command was sent
};

struct StoreAnswered {
    StoreReply reply;
};

struct HeartbeatArrived {
    MemberId owner;
    Epoch epoch = 0;
};

struct SubmitArrived {
    RequestId request = 0;
    JobSpec spec;
};

struct CancelArrived {
    RequestId request = 0;
    JobId job;
};

//! The process shuts down; the owner hands the data centre over to the first standby.
struct ReleaseRequested { };

using Input = std::variant<Tick, FleetChanged, ReportArrived, PollFailed, CommandAnswered, StoreAnswered,
    HeartbeatArrived, SubmitArrived, CancelArrived, ReleaseRequested>;

//! Requests a worker's report with GET /v1/report.
struct Poll {
    WorkerId worker;
};

//! Sends a command to a worker. It must not be sent at or after `notAfter`, the ownership deadline.
struct SendCommand {
    gang::Command command;
    Instant notAfter;
};

//! Sends a renewal of leases to a worker, with the same limit of time as SendCommand.
struct SendRenewal {
    WorkerId worker;
    RenewCommand command;
    Instant notAfter;
};

struct CallStore {
    StoreCall call;
};

//! Sends a heartbeat to all other candidate schedulers.
struct SendHeartbeat {
    OwnerHeartbeat heartbeat;
};

struct AnswerSubmit {
    RequestId request = 0;
    SubmitJobReply reply;
};

struct AnswerCancel {
    RequestId request = 0;
    JobReply reply;
};

enum class EventKind {
    OwnershipTaken,
    OwnershipLost,
    WorkersCollected,
    JournalReplayed,
    JobAccepted,
    JobFinal,
    GangStarted,
    GangEnded,
    WorkerEjected
};

//! A state change worth a log line or an entry in the timeline.
struct Event {
    EventKind kind = EventKind::OwnershipTaken;
    std::string subject;
    std::string text;
};

using Action
    = std::variant<Poll, SendCommand, SendRenewal, CallStore, SendHeartbeat, AnswerSubmit, AnswerCancel, Event>;

} // namespace agatevane::shard_owner

template <> struct agatevane::EnumNames<agatevane::shard_owner::EventKind> {
    using Kind = agatevane::shard_owner::EventKind;
    static constexpr std::array<std::pair<Kind, std::string_view>, 9> table { {
        { Kind::OwnershipTaken, "ownership_taken" },
        { Kind::OwnershipLost, "ownership_lost" },
        { Kind::WorkersCollected, "workers_collected" },
        { Kind::JournalReplayed, "journal_replayed" },
        { Kind::JobAccepted, "job_accepted" },
        { Kind::JobFinal, "job_final" },
        { Kind::GangStarted, "gang_started" },
        { Kind::GangEnded, "gang_ended" },
        { Kind::WorkerEjected, "worker_ejected" },
    } };
};
