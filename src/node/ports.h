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

//! What the node needs from the platform's translation. The node decides; an implementation only encodes and decodes.
namespace agatevane::node {

struct OrderAnswer {
    fleet::OrderOutcome outcome = fleet::OrderOutcome::Unknown;
    bool isFenced = false; //!< the worker has seen a higher fencing token
};

struct PollResult {
    std::error_code error;
    bool isFenced = false;
    fleet::PollAnswer answer;
};

//! Sends orders to workers and questions to the advice service.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;

    virtual void start(const fleet::StartOrder& order, Instant deadline, std::function<void(OrderAnswer)> done) = 0;
    virtual void stop(const fleet::StopOrder& order, Instant deadline, std::function<void(OrderAnswer)> done) = 0;
    virtual void setPace(const fleet::PaceOrder& order, Instant deadline, std::function<void(OrderAnswer)> done) = 0;
    virtual void requestAdvice(
        const fleet::AdviceRequest& order, Instant deadline, std::function<void(fleet::AdviceAnswer)> done)
        = 0;
    virtual void poll(const fleet::PollOrder& order, Instant deadline, std::function<void(PollResult)> done) = 0;
};

//! Lists the machines beneath the workers and takes them down for upkeep.
class MachinePort {
public:
    virtual ~MachinePort() = default;

    //! The whole list.
    virtual void list(
        Instant deadline, std::function<void(std::error_code error, std::vector<upkeep::Machine> machines)> done)
        = 0;
    virtual void beginUpkeep(
        const upkeep::UpkeepOrder& order, Instant deadline, std::function<void(upkeep::UpkeepOutcome)> done)
        = 0;
};

//! What a caller asks for.
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
    fleet::JobSpec spec; //!< for Submit; queue and tenant are set by the node
};

enum class CallStatus {
    Ok,
    NoSuchJob,
    NoSuchQueue,
    UnknownKey,
    Malformed,
    NotAccepted, //!< nothing was done: come back later
    OutcomeUnknown, //!< it may have been done: ask again with the same id
    WrongNode //!< between nodes only: the asked node does not own the fleet
};

} // namespace agatevane::node

template <> struct agatevane::EnumNames<agatevane::node::CallStatus> {
    static constexpr std::array<std::pair<agatevane::node::CallStatus, std::string_view>, 8> table { {
        { agatevane::node::CallStatus::Ok, "ok" },
        { agatevane::node::CallStatus::NoSuchJob, "no_such_job" },
        { agatevane::node::CallStatus::NoSuchQueue, "no_such_queue" },
        { agatevane::node::CallStatus::UnknownKey, "unknown_key" },
        { agatevane::node::CallStatus::Malformed, "malformed" },
        { agatevane::node::CallStatus::NotAccepted, "not_accepted" },
        { agatevane::node::CallStatus::OutcomeUnknown, "not_known" },
        { agatevane::node::CallStatus::WrongNode, "wrong_node" },
    } };
};

namespace agatevane::node {

struct CallerAnswer {
    CallStatus status = CallStatus::OutcomeUnknown;
    std::optional<fleet::VisibleState> state;
    std::optional<std::uint32_t> waitingJobs;
    std::string reason;
};

//! The caller's interface and the platform's items, as functions.
struct Translation {
    //! Nothing if the request asks for none of the known calls; `path` is what follows the queue's prefix.
    std::function<std::optional<CallerRequest>(
        const event_http::Request& request, std::string_view path, Findings& findings)>
        decodeCall;
    std::function<std::string_view(const event_http::Request& request)> hostOf;
    std::function<std::string(const event_http::Request& request)> keyOf;
    //! How long the caller waits for the answer; nothing if it doesn't say.
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
    //! Where operators read how far a wave is, and what they read.
    std::function<kv::Put(upkeep::WaveNumber wave, bool isCompleted)> encodeWaveStatus;
};

} // namespace agatevane::node
