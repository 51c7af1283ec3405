#pragma once

#include "agatevane/base/instant.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

//! The operators' catalogue as one version: queues, services and tenants. No I/O.
namespace agatevane::desired_state {

//! A queue of jobs; callers reach it by host and path prefix.
struct Queue {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service; //!< whose workers run the tasks
    int priority = 0; //!< 0 is the most urgent and may preempt others
    int maxAttempts = 1; //!< failed runs of a task after which the job has failed
    double objectiveFactor = 1; //!< the objective is this many times the job's longest chain of work ...
    Millis objectiveBase { 0 }; //!< ... and this much more
    bool allowsAnonymous = false;
    bool needsTickets = false; //!< an advice service says which workers may run a step

    bool operator==(const Queue&) const = default;
};

struct Service {
    std::string name;
    bool enforcesCapacity = false; //!< its workers refuse what does not fit; the others start whatever they are told

    bool operator==(const Service&) const = default;
};

struct Tenant {
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; //!< for its most urgent jobs, at any time
};

struct DesiredState {
    std::int64_t version = 0;
    std::int64_t revision = 0; //!< of the store's item; orders versions
    std::vector<Queue> queues;
    std::vector<Service> services;
    std::vector<Tenant> tenants;
    std::size_t maxBodyBytes = 0; //!< of a caller's request; 0: not bounded here
    std::unordered_map<std::string, std::size_t> tenantOfKey; //!< index into `tenants`; see indexTenantKeys
};

//! Fills `tenantOfKey`.
void indexTenantKeys(DesiredState& state);

//! The queue of `host` with the longest prefix of `path`; null if there is none. A port in `host` is ignored.
const Queue* findQueue(const DesiredState& state, std::string_view host, std::string_view path);
const Queue* findQueueByName(const DesiredState& state, std::string_view name);
//! Null if no tenant holds `key`.
const Tenant* findTenantByKey(const DesiredState& state, const std::string& key);
const Tenant* findTenantByName(const DesiredState& state, std::string_view name);

} // namespace agatevane::desired_state
