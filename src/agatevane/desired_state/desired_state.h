#pragma once

#include "agatevane/base/instant.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

//! One version of the desired state that operators set: queues, services and tenants. No I/O.
namespace agatevane::desired_state {

//! A queue of jobs; callers reach it by host and path prefix.
struct Queue {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service; //!< name of the service whose workers run the tasks
    int priority = 0; //!< 0 is the most urgent; its jobs may preempt others
    int maxAttempts = 1; //!< a job fails once one of its tasks has failed this many times
    //! The latency objective of a job is `objectiveFactor` times the estimated run time of the longest chain of its
    //! steps, plus `objectiveBase`.
    double objectiveFactor = 1;
    Millis objectiveBase { 0 };
    bool allowsAnonymous = false;
    bool needsTickets = false; //!< an advice service decides which workers may run a step

    bool operator==(const Queue&) const = default;
};

struct Service {
    std::string name;
    //! True if the service's workers refuse tasks that exceed their capacity; others start every task they are ordered
    //! to.
    bool enforcesCapacity = false;

    bool operator==(const Service&) const = default;
};

struct Tenant {
    std::string name;
    std::vector<std::string> keys; //!< API keys of the tenant's callers
    std::int64_t guaranteedAccelerators = 0; //!< accelerators that its most urgent jobs can have at any time
};

struct DesiredState {
    std::int64_t version = 0;
    std::int64_t revision = 0; //!< revision of the item in the store; a newer version has a higher one
    std::vector<Queue> queues;
    std::vector<Service> services;
    std::vector<Tenant> tenants;
    std::size_t maxBodyBytes = 0; //!< limit of a caller's request body; 0: no limit is set here
    std::unordered_map<std::string, std::size_t> tenantOfKey; //!< API key to index in `tenants`; see indexTenantKeys
};

//! Fills `tenantOfKey`; call it after `tenants` has changed.
void indexTenantKeys(DesiredState& state);

//! The queue of `host` with the longest prefix that `path` starts with; null if there is none. A port in `host` is
//! ignored.
const Queue* findQueue(const DesiredState& state, std::string_view host, std::string_view path);
const Queue* findQueueByName(const DesiredState& state, std::string_view name);
//! Null if no tenant has the API key `key`.
const Tenant* findTenantByKey(const DesiredState& state, const std::string& key);
const Tenant* findTenantByName(const DesiredState& state, std::string_view name);

} // namespace agatevane::desired_state
