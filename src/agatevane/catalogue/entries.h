#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include "agatevane/base/resources.h"
#include "agatevane/base/work_class.h"
#include <array>
#include <cstdint>
#include <string>
#include <vector>

//! The entries of the catalogue, which operators maintain. Each entry is one JSON object in the store under the key
//! `/agatevane/catalogue/<kind>/<name>`.
namespace agatevane {

enum class EntryKind { Workspace, Caller, Service, DataCentre, Link, Policy };

template <> struct EnumNames<EntryKind> {
    static constexpr std::array<std::pair<EntryKind, std::string_view>, 6> table { {
        { EntryKind::Workspace, "workspaces" },
        { EntryKind::Caller, "callers" },
        { EntryKind::Service, "services" },
        { EntryKind::DataCentre, "data_centres" },
        { EntryKind::Link, "links" },
        { EntryKind::Policy, "policies" },
    } };
};

struct Guarantee {
    DataCentreId dataCentre;
    int accelerators = 0;

    bool operator==(const Guarantee&) const = default;
};

struct WorkspaceEntry {
    WorkspaceId id;
    std::string owner; //!< id of the caller that may change this entry besides the operators
    double weight = 1; //!< relative weight of the workspace's fair share, 0.01 to 1,000
    std::vector<Guarantee> guarantees;
    int quotaAccelerators = 0; //!< greatest number of accelerators in use at once in each data centre; 0: no limit
    double requestsPerSecond = 0; //!< limit for all entry VMs together; 0: no limit
    double floorShare = 0; //!< share of each service's slots that is kept for this workspace, 0 to 1

    bool operator==(const WorkspaceEntry&) const = default;
};

struct CallerEntry {
    CallerId id;
    WorkspaceId workspace;
    std::string owner;
    std::string tokenDigest; //!< tokenDigestOf(bearer token)
    WorkClass highestClass = WorkClass::Urgent; //!< requests of a more urgent class are lowered to this one
    double requestsPerSecond = 0; //!< limit for all entry VMs together; 0: no limit
    bool isOperator = false; //!< may use the administration API

    bool operator==(const CallerEntry&) const = default;
};

struct ServiceEntry {
    ServiceId id;
    std::string owner;
    std::array<double, 3> classFloors { 0.1, 0.1, 0.1 }; //!< by WorkClass: share of the slots kept for the class
    int maxQueued = 1000; //!< greatest number of queued requests per class and entry VM
    std::int64_t maxQueuedMs = 5000; //!< longest time that a request may be queued
    double requestsPerSecond = 0; //!< limit for all entry VMs together; 0: no limit

    bool operator==(const ServiceEntry&) const = default;
};

struct WorkerEntry {
    WorkerId id;
    RackId rack;
    std::string address; //!< "ip:port" of the worker's HTTP interface
    ServiceId service; //!< service whose short requests the worker serves; may be empty
    Resources capacity;
    int slots = 8;
    int connections = 64;

    bool operator==(const WorkerEntry&) const = default;
};

struct DataCentreEntry {
    DataCentreId id;
    RegionId region;
    std::string owner;
    std::vector<WorkerEntry> workers;

    bool operator==(const DataCentreEntry&) const = default;
};

struct LinkEntry {
    std::string id;
    std::string owner;
    RegionId from;
    RegionId to;
    double oneWayMs = 0; //!< network latency in one direction
    double billingMsPerRequest = 0; //!< waiting time that is worth as much as the billed traffic of one request

    bool operator==(const LinkEntry&) const = default;
};

//! Settings of the whole deployment. The only entry of this kind has the name "default".
struct PolicyEntry {
    std::string id = "default";
    std::string owner;
    std::int64_t reclaimDeadlineMs = 30000;
    std::int64_t urgentReclaimDeadlineMs = 5000;
    std::int64_t reservationAfterMs = 60000; //!< wait after which a gang gets a reservation
    double fairnessWeight = 1; //!< 0: order by age only; 1: order by dominant share only
    bool defragment = true;
    double classFloor = 0.05; //!< share of the accelerators up to which a class with waiting jobs is served first
    std::int64_t shareClaimAfterMs = 30000; //!< wait after which a job may preempt work above its fair share; 0: never
    std::int64_t starvedAfterMs = 120000; //!< wait after which a gang below its fair share may preempt more; 0: never
    double headroom = 0; //!< share of accelerators that workspaces above their fair share leave free, 0 to 0.5
    bool reserveByShare
        = false; //!< true: workspaces below their fair share get reservations first; false: the oldest job

    bool operator==(const PolicyEntry&) const = default;
};

} // namespace agatevane
