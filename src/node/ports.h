#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/desired_state/desired_state.h"
#include "agatevane/event_http/message.h"
#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "agatevane/kv/kv.h"
#include "agatevane/upkeep/upkeep.h"
#include <functional>
#include <optional>
#include <string>
#include <system_error>

//! Interfaces (ports) through which the node reaches the platform. The node makes all decisions; implementations only
//! encode, send and decode.
namespace agatevane::node {

//! A worker's answer to an order.
struct OrderAnswer {
    fleet::OrderOutcome outcome = fleet::OrderOutcome::Unknown;
    bool isFenced = false; //!< rejected because the worker has seen a higher fencing token
};

struct PollResult {
    std::error_code error;
    bool isFenced = false; //!< rejected because the worker has seen a higher fencing token
    fleet::PollAnswer answer;
};

//! Sends orders and polls to workers, and requests to the advice service. `done` is called once with the result.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;

    virtual void start(const fleet::StartOrder& order, Instant deadline, std::function<void(OrderAnswer)> done) = 0;
    virtual void stop(const fleet::StopOrder& order, Instant deadline, std::function<void(OrderAnswer)> done) = 0;
    virtual void setPace(const fleet::PaceOrder& order, Instant deadline, std::function<void(OrderAnswer)> done) = 0;
    virtual void requestAdvice(
        const fleet::AdviceRequest& request, Instant deadline, std::function<void(fleet::AdviceAnswer)> done)
        = 0;
    virtual void poll(const fleet::PollOrder& order, Instant deadline, std::function<void(PollResult)> done) = 0;
};

//! Lists the machines on which workers run, and takes machines down for upkeep.
class MachinePort {
public:
    virtual ~MachinePort() = default;

    //! Lists all machines, in as many pages as needed. The first page has to begin to arrive by `beginBy`.
    virtual void list(
        Instant beginBy, std::function<void(std::error_code error, std::vector<upkeep::Machine> machines)> done)
        = 0;
    virtual void beginUpkeep(
        const upkeep::UpkeepOrder& order, Instant deadline, std::function<void(upkeep::UpkeepOutcome)> done)
        = 0;
};

//! Kind of a caller's request.
enum class CallKind { Submit, QueryState, Cancel, CountWaiting };

} // namespace agatevane::node

template <> struct agatevane::EnumNames<agatevane::node::CallKind> {
    static constexpr std::array<std::pair<agatevane::node::CallKind, std::string_view>, 4> table { {
        { agatevane::node::CallKind::Submit, "submit" },
        { agatevane::node::CallKind::QueryState, "state" },
        { agatevane::node::CallKind::Cancel, "cancel" },
        { agatevane::node::CallKind::CountWaiting, "waiting" },
    } };
};

namespace agatevane::node {

struct CallerRequest {
    CallKind kind = CallKind::QueryState;
    fleet::JobId job; //!< empty for CountWaiting
    fleet::JobSpec spec; //!< set for Submit; the node fills in queue and tenant
    //! For Submit: the request reached its first node after this time, on the clock of bootNow(). Nothing: not known.
    std::optional<Instant> receivedAfter;
};

enum class CallStatus {
    Ok,
    NoSuchJob,
    NoSuchQueue,
    UnknownKey,
    Malformed,
    NotAccepted, //!< the request had no effect; the caller may try again later
    OutcomeUnknown, //!< the request may have had an effect; the caller may repeat it with the same job id
    WrongNode, //!< only between nodes: the receiver does not own the fleet, is not ready or can't prove that it is the
               //!< owner; the request had no effect there
    OwnershipEnded //!< only between nodes: the receiver was replaced; the request may have had an effect, and the next
                   //!< owner decides on it
};

} // namespace agatevane::node

template <> struct agatevane::EnumNames<agatevane::node::CallStatus> {
    static constexpr std::array<std::pair<agatevane::node::CallStatus, std::string_view>, 9> table { {
        { agatevane::node::CallStatus::Ok, "ok" },
        { agatevane::node::CallStatus::NoSuchJob, "no_such_job" },
        { agatevane::node::CallStatus::NoSuchQueue, "no_such_queue" },
        { agatevane::node::CallStatus::UnknownKey, "unknown_key" },
        { agatevane::node::CallStatus::Malformed, "malformed" },
        { agatevane::node::CallStatus::NotAccepted, "not_accepted" },
        { agatevane::node::CallStatus::OutcomeUnknown, "not_known" },
        { agatevane::node::CallStatus::WrongNode, "wrong_node" },
        { agatevane::node::CallStatus::OwnershipEnded, "ownership_ended" },
    } };
};

namespace agatevane::node {

struct CallerAnswer {
    CallStatus status = CallStatus::OutcomeUnknown;
    std::optional<fleet::VisibleState> state;
    std::optional<std::uint32_t> waitingJobs;
    std::string reason;
};

//! Functions and key prefixes that translate the callers' interface and the platform's items in the store.
struct Translation {
    //! Returns nothing, and adds findings, if the request is not a valid call. `path` is the part after the queue's
    //! prefix.
    std::function<std::optional<CallerRequest>(
        const event_http::Request& request, std::string_view path, Findings& findings)>
        decodeCall;
    std::function<std::string_view(const event_http::Request& request)> hostOf;
    //! The caller's API key; empty if there is none.
    std::function<std::string(const event_http::Request& request)> apiKeyOf;
    //! How long the caller waits for the answer; nothing if the request does not say.
    std::function<std::optional<Millis>(const event_http::Request& request)> timeoutOf;
    std::function<event_http::Response(const CallerAnswer& answer)> encodeAnswer;

    std::string desiredStateKey;
    std::function<std::optional<desired_state::DesiredState>(const kv::Item& item, Findings& findings)>
        decodeDesiredState;
    std::string workerPrefix;
    std::function<std::optional<fleet::WorkerListing>(const kv::Item& item, Findings& findings)> decodeListing;
    std::function<bool(const event_http::Request& request)> isReadinessCheck;

    std::string wavePrefix;
    std::function<std::optional<upkeep::WaveRequest>(const kv::Item& item, Findings& findings)> decodeWave;
    //! The item in the store in which operators read the progress of a wave.
    std::function<kv::Put(upkeep::WaveNumber wave, bool isCompleted)> encodeWaveStatus;

    std::string evacuationPrefix;
    //! The data centre that the item asks to evacuate, perhaps with findings; nothing if it names none.
    std::function<std::optional<std::string>(const kv::Item& item, Findings& findings)> decodeEvacuation;
};

} // namespace agatevane::node
