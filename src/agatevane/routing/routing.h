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
    int slots = 8;
    int connections = 64;
};

//! What one request costs on the way to another region, in milliseconds.
struct LinkCost {
    double roundTripMs = 0;
    double billingMs = 0;
};

enum class Result {
    Success,
    Failure, //!< error of the service, broken or late answer
    Leaving, //!< refused before the start
    Full, //!< refused before the start
    Unreachable //!< no connection
};

//! Whether the request certainly did not run.
constexpr bool isRefusal(Result result)
{
    return result == Result::Leaving || result == Result::Full || result == Result::Unreachable;
}

//! What the VM learned from one report of a worker.
struct Observation {
    Instant requestedAt; //!< the instant before the report was asked for
    std::string instance;
    bool isLeaving = false;
    int slotsUsed = 0;
    int connectionsUsed = 0;
    int ownInProgress = 0; //!< of this VM when it asked
};

enum class Health { Healthy, Ejected, Probing };

struct Worker {
    WorkerConfig config;
    int ownInProgress = 0;
    std::optional<Observation> lastObservation;
    bool isLeavingByVmList = false;
    std::optional<Instant> refusedLeaving; //!< when it last refused work because it is leaving
    Instant fullUntil;
    Health health = Health::Healthy;
    Instant ejectedUntil;
    int ejections = 0; //!< in a row; sets the back-off
    int failuresInARow = 0;
    double recentRequests = 0; //!< exponentially decayed
    double recentFailures = 0;
    Instant decayed;
};

//! The workers of one service in one region.
struct Group {
    std::vector<std::size_t> workers; //!< indices
    int others = 0; //!< requests of other VMs at all of them, by the last reports
};

struct State {
    RegionId ownRegion;
    std::vector<Worker> workers;
    std::unordered_map<WorkerId, std::size_t> indexById;
    std::map<ServiceId, std::map<RegionId, Group>> groups;
    std::map<RegionId, LinkCost> links; //!< from the own region
    RetryBudget retries;
    double meanServiceMs = 50; //!< exponentially weighted
};

struct Query {
    ServiceId service;
    bool isIdempotent = false; //!< may be used as a probe, since it can be retried elsewhere
    std::vector<WorkerId> excluded; //!< tried before
};

struct Choice {
    WorkerId worker;
    std::string address;
    std::string instance; //!< of the worker at its last report
    bool isProbe = false;
};

//! Replaces the set of workers; workers that stay keep what was learned about them.
void configure(State& state, const RegionId& ownRegion, const std::vector<WorkerConfig>& workers,
    const std::map<RegionId, LinkCost>& links);

//! The VM list's word about one worker.
void setLeavingByVmList(State& state, const WorkerId& worker, bool isLeaving);

void onReport(State& state, const WorkerId& worker, const Observation& observation);

//! Chooses a worker and counts the request as in progress there. Nothing if no worker may be used now.
std::optional<Choice> choose(State& state, const Query& query, Instant now, Random& random);

//! The chosen worker's request ended.
void onResult(State& state, const WorkerId& worker, Result result, Millis took, Instant now, Random& random);

//! The chosen worker was not sent the request after all.
void onNotSent(State& state, const WorkerId& worker);

//! Whether to try another worker; takes from the retry budget if so. `attempts` counts those that were made.
bool mayRetry(State& state, Result result, bool isIdempotent, int attempts, Instant deadline, Instant now);

//! Whether the worker may get new work, ejection aside.
bool isUsable(const Worker& worker, Instant now);

} // namespace agatevane::routing
