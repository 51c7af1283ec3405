#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include "agatevane/routing/retry_budget.h"
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

//! Chooses the worker for each short request of one entry VM.
namespace agatevane::routing {

struct WorkerConfig {
    WorkerId id;
    RegionId region;
    ServiceId service;
    std::string address;
    int slots = 8; //!< requests that the worker runs at the same time
    int connections = 64; //!< maximum connections
};

//! Cost of sending one request to another region, in milliseconds.
struct LinkCost {
    double roundTripMs = 0;
    double billingMs = 0; //!< billing cost of the traffic, expressed as a delay
};

enum class Result {
    Success,
    Failure, //!< the service failed, or its answer was invalid or late
    Leaving, //!< the worker is leaving and refused the request before it started
    Full, //!< the worker is full and refused the request before it started
    Unreachable //!< no connection could be made
};

//! Whether the request certainly did not run.
constexpr bool isRefusal(Result result)
{
    return result == Result::Leaving || result == Result::Full || result == Result::Unreachable;
}

//! Contents of one report of a worker.
struct Observation {
    Instant requestedAt; //!< instant before the report was requested
    std::string instance; //!< changes when the worker restarts
    bool isLeaving = false;
    int slotsUsed = 0;
    int connectionsUsed = 0;
    int ownInProgress = 0; //!< requests of this VM in progress at the worker when the report was requested
};

enum class Health { Healthy, Ejected, Probing };

struct Worker {
    WorkerConfig config;
    int ownInProgress = 0; //!< requests of this VM in progress at the worker
    std::optional<Observation> lastObservation;
    bool isLeavingByVmList = false; //!< whether the VM list states that the worker is leaving
    std::optional<Instant> refusedAsLeavingAt; //!< when it last refused work because it is leaving
    Instant fullUntil; //!< the worker is assumed to be full until then
    Health health = Health::Healthy;
    Instant ejectedUntil;
    int ejections = 0; //!< consecutive ejections, which determine the back-off
    int consecutiveFailures = 0;
    double recentRequests = 0; //!< exponentially decayed
    double recentFailures = 0; //!< exponentially decayed
    Instant decayedAt; //!< when both were last decayed
};

//! The workers of one service in one region.
struct Group {
    std::vector<std::size_t> workers; //!< indices into `State::workers`
    int othersInProgress = 0; //!< requests of other VMs in progress at these workers, according to the last reports
};

struct State {
    RegionId ownRegion;
    std::vector<Worker> workers;
    std::unordered_map<WorkerId, std::size_t> indexById;
    std::map<ServiceId, std::map<RegionId, Group>> groups;
    std::map<RegionId, LinkCost> links; //!< from the own region
    RetryBudget retries;
    double meanServiceMs = 50; //!< exponentially weighted mean of the service time of successful requests
};

struct Query {
    ServiceId service;
    //! An idempotent request may probe an ejected worker earlier than others, since it can be retried elsewhere.
    bool isIdempotent = false;
    std::vector<WorkerId> excluded; //!< workers already tried for this request
};

struct Choice {
    WorkerId worker;
    std::string address;
    std::string instance; //!< of the worker at its last report
    bool isProbe = false;
};

//! Replaces the set of workers. A worker that stays at its address keeps its state.
void configure(State& state, const RegionId& ownRegion, const std::vector<WorkerConfig>& workers,
    const std::map<RegionId, LinkCost>& links);

//! Applies what the VM list states about one worker.
void setLeavingByVmList(State& state, const WorkerId& worker, bool isLeaving);

//! Applies a report unless a newer one is known.
void onReport(State& state, const WorkerId& worker, const Observation& observation);

//! Chooses a worker and counts the request as in progress there. Returns nothing if no worker is usable.
std::optional<Choice> choose(State& state, const Query& query, Instant now, Random& random);

//! Records the result of a request that was sent to the chosen worker.
void onResult(State& state, const WorkerId& worker, Result result, Millis took, Instant now, Random& random);

//! Reverts a choice whose request was not sent.
void onNotSent(State& state, const WorkerId& worker);

//! Whether to retry the request at another worker; takes a retry from the budget if so. `attempts` is the number of
//! attempts made.
bool mayRetry(State& state, Result result, bool isIdempotent, int attempts, Instant deadline, Instant now);

//! Whether the worker may get new requests, regardless of ejection.
bool isUsable(const Worker& worker, Instant now);

} // namespace agatevane::routing
