#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include "agatevane/base/work_class.h"
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

//! Admission control: decides which short requests of one service an entry VM starts, queues or sheds.
//!
//! The slots are divided into pools: one for each class floor, one for each workspace floor, and a shared one. A floor
//! is the number of slots reserved for a class or workspace. A running request holds a slot of exactly one pool, so
//! that no other class or workspace, urgent work included, can take reserved slots.
namespace agatevane::admission {

//! Identifies one request from its arrival to its end. The caller of this module chooses it.
using RequestId = std::uint64_t;

constexpr std::size_t classCount = 3;

struct WorkspaceShare {
    double weight = 1; //!< share of the slots in proportion to the weights of the other active workspaces
    double floorShare = 0; //!< share of `Config::slots` reserved for the workspace, 0 to 1
};

struct Config {
    int slots = 1; //!< requests that this VM may have in progress
    std::array<double, classCount> classFloors {}; //!< share of `slots` reserved for each class, 0 to 1
    int maxQueued = 1000; //!< waiting requests of each class
    int maxQueuedTotal = 1000; //!< waiting requests of all classes together
    Millis maxQueuedFor { 5000 }; //!< longest time that a request may wait
    std::map<WorkspaceId, WorkspaceShare> workspaces; //!< workspaces not listed have weight 1 and no floor
};

struct Arrival {
    RequestId requestId = 0;
    WorkClass workClass = WorkClass::Standard;
    WorkspaceId workspace;
    CallerId caller;
    Instant deadline;
};

enum class ShedReason { QueueFull, DeadlineTooClose, WaitTooLong, Evicted };

} // namespace agatevane::admission

template <> struct agatevane::EnumNames<agatevane::admission::ShedReason> {
    using Reason = agatevane::admission::ShedReason;
    static constexpr std::array<std::pair<Reason, std::string_view>, 4> table { {
        { Reason::QueueFull, "queue_full" },
        { Reason::DeadlineTooClose, "deadline_too_close" },
        { Reason::WaitTooLong, "wait_too_long" },
        { Reason::Evicted, "evicted" },
    } };
};

namespace agatevane::admission {

//! The request starts.
struct Start {
    RequestId requestId = 0;
};

//! The request is refused and never starts.
struct Shed {
    RequestId requestId = 0;
    ShedReason reason = ShedReason::QueueFull;
    Millis retryAfter { 0 }; //!< when the caller should try again
};

using Action = std::variant<Start, Shed>;
using Actions = std::vector<Action>;

//! Slots and how many of them running requests hold.
struct Pool {
    int size = 0;
    int used = 0;

    bool isFree() const { return used < size; }
};

struct WaitingRequest {
    RequestId requestId = 0;
    Instant arrived;
    Instant deadline;
};

struct CallerState {
    double virtualTime = 0; //!< for start-time fair queueing among the callers of the workspace
    int running = 0;
    std::array<std::deque<WaitingRequest>, classCount> waiting;
};

struct WorkspaceState {
    WorkspaceShare share;
    Pool floor;
    double virtualTime = 0; //!< for start-time fair queueing among workspaces
    double callersVirtualTime = 0; //!< highest virtual time at which a caller's request has started
    int running = 0;
    std::array<int, classCount> waiting {};
    std::map<CallerId, CallerState> callers; //!< only callers with waiting or running requests
};

enum class PoolKind { Shared, ClassFloor, WorkspaceFloor };

struct RunningRequest {
    WorkspaceId workspace;
    CallerId caller;
    WorkClass workClass = WorkClass::Standard;
    PoolKind pool = PoolKind::Shared;
    Instant started;
};

struct State {
    Config config;
    Pool shared;
    std::array<Pool, classCount> classPools;
    //! Configured workspaces, and others with waiting or running requests.
    std::map<WorkspaceId, WorkspaceState> workspaces;
    std::unordered_map<RequestId, RunningRequest> running;
    std::array<int, classCount> waiting {};
    double virtualTime = 0; //!< highest virtual time at which a workspace's request has started
    double meanServiceMs = 50; //!< exponentially weighted mean of the service time
};

//! Applies a new configuration to later decisions. Running requests keep their slots. May start waiting requests.
Actions configure(State& state, const Config& config, Instant now);

//! Starts, queues or sheds the request; may evict a waiting one of the same or the least urgent class.
Actions arrive(State& state, const Arrival& arrival, Instant now, Random& random);

//! Releases the slot of a request that has ended, and starts waiting ones. Ignores unknown request ids.
Actions finish(State& state, RequestId requestId, Instant now);

//! Sheds requests that have waited too long or have passed their deadline. To be called about every 50 ms.
Actions expire(State& state, Instant now, Random& random);

//! Estimates how long a request that arrives now would wait; zero if a slot is free for it.
Millis expectedWait(const State& state, const WorkspaceId& workspace, const CallerId& caller, WorkClass workClass);

} // namespace agatevane::admission
