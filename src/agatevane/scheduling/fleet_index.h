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

//! What decides where a gang fits. Jobs of one shape share the outcome of a search.
struct Shape {
    int accelerators = 1;
    int perWorker = 0;
    Spread maxSpread = Spread::DataCentre;
    bool isStoppable = true;

    bool operator<(const Shape& other) const
    {
        return std::tie(accelerators, perWorker, maxSpread, isStoppable)
            < std::tie(other.accelerators, other.perWorker, other.maxSpread, other.isStoppable);
    }
};

struct SlotPart {
    int worker = 0;
    int accelerators = 0;
};

using Slots = std::vector<SlotPart>;

struct Worker {
    WorkerId id;
    int rack = -1;
    int capacity = 0;
    int used = 0;
    int held = 0; //!< promised to reservations; may exceed what is free until their victims have ended
    int free = 0; //!< as indexed: 0 while unavailable
    bool isAvailable = false;
    bool isPresent = false;
};

struct Rack {
    RackId id;
    std::vector<int> workers;
    int free = 0;
};

//! Workers by slot, indexed by rack and by free accelerators.
struct FleetIndex {
    std::vector<Worker> workers;
    std::vector<int> vacantSlots;
    std::vector<Rack> racks;
    std::unordered_map<WorkerId, int> workerSlots;
    std::unordered_map<RackId, int> rackSlots;
    std::vector<IndexSet> byFree; //!< [free accelerators]: available workers
    int capacity = 0; //!< of available workers
    int totalCapacity = 0; //!< of all workers
    int free = 0;
    int used = 0;
    int largestWorker = 0; //!< highest capacity ever seen
};

int slotOf(FleetIndex& fleet, const WorkerId& worker);
void setWorker(FleetIndex& fleet, const WorkerState& worker);
void removeWorker(FleetIndex& fleet, const WorkerId& worker);

void charge(FleetIndex& fleet, const Slots& slots);
void release(FleetIndex& fleet, const Slots& slots);
void hold(FleetIndex& fleet, const Slots& slots);
void unhold(FleetIndex& fleet, const Slots& slots);

//! The tightest block of adjacent workers that holds the shape now; empty if none does.
Slots fit(const FleetIndex& fleet, const Shape& shape);

//! Why no workers could hold the shape even if all were empty and available.
std::optional<std::string> misfitReason(const FleetIndex& fleet, const Shape& shape);

//! Largest gang with any split over workers that could start now.
int largestFreeGang(const FleetIndex& fleet);

} // namespace agatevane::scheduling
