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

//! Inputs and actions of the owner of one data centre.
namespace agatevane::shard_owner {

using RequestId = std::uint64_t;

struct Tick { };

//! The catalogue's view of the data centre.
struct FleetChanged {
    std::vector<WorkerEntry> workers;
    scheduling::Policy policy;
};

struct ReportArrived {
    WorkerId worker;
    WorkerReport report;
    Instant sentAt; //!< of the request
};

struct PollFailed {
    WorkerId worker;
};

//! The answer to a SendCommand or SendRenewal.
struct CommandAnswered {
    WorkerId worker;
    AttemptId attempt; //!< empty for a renewal
    enum class Kind { Prepare, Start, Renew, Checkpoint, Stop, Forget } kind = Kind::Stop;
    Epoch epoch = 0; //!< of the command
    gang::ReplyStatus status = gang::ReplyStatus::Unknown;
    Instant sentAt;
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

//! The process shuts down: hands the data centre to the first standby.
struct ReleaseRequested { };

using Input = std::variant<Tick, FleetChanged, ReportArrived, PollFailed, CommandAnswered, StoreAnswered,
    HeartbeatArrived, SubmitArrived, CancelArrived, ReleaseRequested>;

//! GET /v1/report.
struct Poll {
    WorkerId worker;
};

//! Not to be sent at or after `notAfter`, the ownership deadline.
struct SendCommand {
    gang::Command command;
    Instant notAfter;
};

struct SendRenewal {
    WorkerId worker;
    RenewCommand command;
    Instant notAfter;
};

struct CallStore {
    StoreCall call;
};

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
