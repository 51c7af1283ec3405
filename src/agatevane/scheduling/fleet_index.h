#pragma once

#include "agatevane/base/job.h"
#include "agatevane/scheduling/shard.h"
#include <cstdint>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace agatevane::scheduling {

//! Set of small non-negative integers, iterated in ascending order.
struct IndexSet {
    std::vector<std::uint64_t> words;

    void insert(int index);
    void erase(int index);
    bool contains(int index) const;
    bool empty() const;
    //! The smallest member that is at least `from`; -1 if there is none.
    int next(int from) const;
};

bool intersects(const IndexSet& a, const IndexSet& b);

//! The properties of a job that determine where its gang fits. A search for one job of a shape is valid for all of
//! them.
struct Shape {
    int accelerators = 1;
    int acceleratorsPerWorker = 0; //!< accelerators that each used worker contributes; 0: any split
    Spread maxSpread = Spread::DataCentre;
    bool isStoppable = true;

    bool operator<(const Shape& other) const
    {
        return std::tie(accelerators, acceleratorsPerWorker, maxSpread, isStoppable)
            < std::tie(other.accelerators, other.acceleratorsPerWorker, other.maxSpread, other.isStoppable);
    }
};

struct AllocationPart {
    int worker = 0; //!< slot in FleetIndex::workers
    int accelerators = 0;
};

//! The accelerators of a gang, by worker.
using Allocation = std::vector<AllocationPart>;

//! Numbers are accelerators.
struct Worker {
    WorkerId id;
    int rack = -1; //!< slot in FleetIndex::racks
    int capacity = 0;
    int used = 0;
    int held = 0; //!< held for reservations; may exceed capacity - used until the gangs to be preempted have ended
    int free = 0; //!< capacity - used - held, but not below 0; 0 while the worker is unavailable
    bool isAvailable = false;
    bool isPresent = false; //!< whether the slot is in use
};

struct Rack {
    RackId id;
    std::vector<int> workers; //!< slots
    int free = 0; //!< sum of Worker::free over its workers
};

//! The workers of a data centre, indexed by rack and by free accelerators. The slot of a worker is its index in
//! `workers`; the slot of a removed worker is used again.
struct FleetIndex {
    std::vector<Worker> workers;
    std::vector<int> vacantWorkerSlots;
    std::vector<Rack> racks;
    std::unordered_map<WorkerId, int> workerSlots;
    std::unordered_map<RackId, int> rackSlots;
    std::vector<IndexSet> byFree; //!< slots of available workers, by their number of free accelerators
    int capacity = 0; //!< accelerators of available workers
    int totalCapacity = 0; //!< accelerators of all workers
    int free = 0; //!< sum of Worker::free over all workers
    int used = 0; //!< sum of Worker::used over all workers
    int maxWorkerCapacity = 0; //!< highest capacity that any worker has had so far
};

//! Returns the worker's slot. A new worker has no capacity and is unavailable until setWorker is called.
int findOrAddWorker(FleetIndex& fleet, const WorkerId& worker);
void setWorker(FleetIndex& fleet, const WorkerState& worker);
//! Removes the worker's capacity. Its slot stays in use until nothing is charged to it or held on it.
void removeWorker(FleetIndex& fleet, const WorkerId& worker);

//! Adds the accelerators to those in use on each worker; `release` is the reverse.
void charge(FleetIndex& fleet, const Allocation& allocation);
void release(FleetIndex& fleet, const Allocation& allocation);

//! Holds the accelerators for a reservation; `releaseHeldCapacity` is the reverse.
void holdCapacity(FleetIndex& fleet, const Allocation& allocation);
void releaseHeldCapacity(FleetIndex& fleet, const Allocation& allocation);

//! A best-fit allocation of free accelerators for the shape: on one worker, else in one rack, else in the data centre,
//! as far as Shape::maxSpread allows. Empty if there is none.
Allocation findAllocation(const FleetIndex& fleet, const Shape& shape);

//! Why the shape could not be allocated even if all workers were empty and available; nothing if it could.
std::optional<std::string> neverFitsReason(const FleetIndex& fleet, const Shape& shape);

//! Accelerators of the largest gang that could start now if any split over workers is allowed.
int largestFreeGang(const FleetIndex& fleet);

} // namespace agatevane::scheduling
