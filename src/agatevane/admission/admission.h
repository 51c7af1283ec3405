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

//! Decides which short requests of one service an entry VM starts, keeps waiting or sheds.
//!
//! The slots are divided into pools: one for each class floor, one for each workspace floor, and a shared one. A
//! running request holds a slot of exactly one pool, so that no other class or workspace can take a floor, urgent work
//! included.
namespace agatevane::admission {

//! Names one request from its arrival to its end; chosen by the caller of this module.
using RequestId = std::uint64_t;

constexpr std::size_t classCount = 3;

struct WorkspaceShare {
    double weight = 1;
    double floorShare = 0;
};

struct Config {
    int slots = 1; //!< requests that this VM may have in progress
    std::array<double, classCount> classFloors {}; //!< share of `slots`
    int maxQueued = 1000; //!< for each class
    int maxQueuedTotal = 1000;
    Millis maxQueuedFor { 5000 };
    std::map<WorkspaceId, WorkspaceShare> workspaces; //!< others have weight 1 and no floor
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

struct Start {
    RequestId requestId = 0;
};

//! The request is refused and never starts.
struct Shed {
    RequestId requestId = 0;
    ShedReason reason = ShedReason::QueueFull;
    Millis retryAfter { 0 };
};

using Action = std::variant<Start, Shed>;
using Actions = std::vector<Action>;

struct Pool {
    int size = 0;
    int used = 0;

    bool isFree() const { return used < size; }
};

struct Waiting {
    RequestId requestId = 0;
    Instant arrived;
    Instant deadline;
};

struct CallerState {
    double virtualTime = 0; //!< start-time fair queueing among the callers of the workspace
    int running = 0;
    std::array<std::deque<Waiting>, classCount> waiting;
};

struct WorkspaceState {
    WorkspaceShare share;
    Pool floor;
    double virtualTime = 0; //!< start-time fair queueing among workspaces
    double callersVirtualTime = 0; //!< of the caller that started last
    int running = 0;
    std::array<int, classCount> waiting {};
    std::map<CallerId, CallerState> callers; //!< only those that wait or run
};

enum class PoolKind { Shared, ClassFloor, WorkspaceFloor };

struct Running {
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
    std::map<WorkspaceId, WorkspaceState> workspaces; //!< configured ones, and others that wait or run
    std::unordered_map<RequestId, Running> running;
    std::array<int, classCount> waiting {};
    double virtualTime = 0; //!< of the workspace that started last
    double meanServiceMs = 50; //!< exponentially weighted
};

//! Takes effect for later decisions; what runs keeps its slot. May start waiting requests.
Actions configure(State& state, const Config& config, Instant now);

//! Starts, queues or sheds the request; may evict a less urgent one that waits.
Actions arrive(State& state, const Arrival& arrival, Instant now, Random& random);

//! A started request ended. Unknown tickets are ignored.
Actions finish(State& state, RequestId requestId, Instant now);

//! Sheds what has waited too long or cannot meet its deadline. To be called about every 50 ms.
Actions expire(State& state, Instant now, Random& random);

//! How long a request that arrives now would wait; zero if a slot is free for it.
Millis expectedWait(const State& state, const WorkspaceId& workspace, const CallerId& caller, WorkClass workClass);

} // namespace agatevane::admission
