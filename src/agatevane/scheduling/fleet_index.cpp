#include "agatevane/scheduling/fleet_index.h"
#include <algorithm>
#include <bit>

namespace agatevane::scheduling {

void IndexSet::insert(int index)
{
    auto word = static_cast<std::size_t>(index) / 64;
    if (word >= words.size())
        words.resize(word + 1);
    words[word] |= std::uint64_t { 1 } << (index % 64);
}

void IndexSet::erase(int index)
{
    auto word = static_cast<std::size_t>(index) / 64;
    if (word < words.size())
        words[word] &= ~(std::uint64_t { 1 } << (index % 64));
}

bool IndexSet::contains(int index) const
{
    auto word = static_cast<std::size_t>(index) / 64;
    return word < words.size() && ((words[word] >> (index % 64)) & 1) != 0;
}

bool IndexSet::empty() const
{
    return std::all_of(words.begin(), words.end(), [](std::uint64_t word) { return word == 0; });
}

int IndexSet::next(int from) const
{
    auto word = static_cast<std::size_t>(from) / 64;
    if (word >= words.size())
        return -1;
    std::uint64_t bits = words[word] & (~std::uint64_t { 0 } << (from % 64));
    while (bits == 0) {
        if (++word == words.size())
            return -1;
        bits = words[word];
    }
    return static_cast<int>(word * 64) + std::countr_zero(bits);
}

bool intersects(const IndexSet& a, const IndexSet& b)
{
    for (std::size_t i = 0; i < std::min(a.words.size(), b.words.size()); ++i) {
        if ((a.words[i] & b.words[i]) != 0)
            return true;
    }
    return false;
}

namespace {

    //! Updates the free accelerators of the worker, its rack and the fleet after any change to the worker.
    void reindex(FleetIndex& fleet, int slot)
    {
        Worker& worker = fleet.workers[slot];
        int free = worker.isAvailable ? std::max(0, worker.capacity - worker.used - worker.held) : 0;
        if (free == worker.free)
            return;
        if (worker.free > 0)
            fleet.byFree[worker.free].erase(slot);
        if (free > 0)
            fleet.byFree[free].insert(slot);
        fleet.racks[worker.rack].free += free - worker.free;
        fleet.free += free - worker.free;
        worker.free = free;
    }

    int findOrAddRack(FleetIndex& fleet, const RackId& id)
    {
        auto [found, isNew] = fleet.rackSlots.try_emplace(id, static_cast<int>(fleet.racks.size()));
        if (isNew)
            fleet.racks.push_back({ .id = id, .workers = {} });
        return found->second;
    }

    void moveToRack(FleetIndex& fleet, int slot, int rack)
    {
        Worker& worker = fleet.workers[slot];
        if (worker.rack == rack)
            return;
        if (worker.rack >= 0) {
            std::erase(fleet.racks[worker.rack].workers, slot);
            fleet.racks[worker.rack].free -= worker.free;
            fleet.racks[rack].free += worker.free;
        }
        worker.rack = rack;
        fleet.racks[rack].workers.push_back(slot);
    }

    //! Free accelerators of the rack that the shape's split over workers can use.
    int usableAccelerators(const FleetIndex& fleet, const Rack& rack, const Shape& shape)
    {
        if (shape.acceleratorsPerWorker == 0)
            return rack.free;
        if (rack.free < shape.acceleratorsPerWorker)
            return 0;
        int parts = 0;
        for (int slot : rack.workers)
            parts += fleet.workers[slot].free >= shape.acceleratorsPerWorker ? 1 : 0;
        return parts * shape.acceleratorsPerWorker;
    }

    //! Allocates `need` accelerators in the rack on the fewest workers, and spares the workers with the most free
    //! accelerators.
    Allocation allocateFromRack(const FleetIndex& fleet, const Rack& rack, const Shape& shape, int need)
    {
        std::vector<std::pair<int, int>> candidates; // free accelerators and slot, in ascending order
        for (int slot : rack.workers) {
            if (fleet.workers[slot].free >= std::max(1, shape.acceleratorsPerWorker))
                candidates.emplace_back(fleet.workers[slot].free, slot);
        }
        std::sort(candidates.begin(), candidates.end());
        Allocation allocation;
        if (shape.acceleratorsPerWorker > 0) {
            for (std::size_t i = 0; need > 0; ++i, need -= shape.acceleratorsPerWorker)
                allocation.push_back({ candidates[i].second, shape.acceleratorsPerWorker });
            return allocation;
        }
        while (need > 0) {
            auto bestFit = std::lower_bound(candidates.begin(), candidates.end(), std::pair { need, 0 });
            if (bestFit == candidates.end())
                --bestFit;
            int taken = std::min(need, bestFit->first);
            allocation.push_back({ bestFit->second, taken });
            need -= taken;
            candidates.erase(bestFit);
        }
        return allocation;
    }

    Allocation findOnOneWorker(const FleetIndex& fleet, const Shape& shape)
    {
        for (int free = shape.accelerators; free < static_cast<int>(fleet.byFree.size()); ++free) {
            const IndexSet& workers = fleet.byFree[free];
            int best = -1;
            for (int slot = workers.next(0); slot >= 0; slot = workers.next(slot + 1)) {
                if (best < 0 || fleet.racks[fleet.workers[slot].rack].free < fleet.racks[fleet.workers[best].rack].free)
                    best = slot;
            }
            if (best >= 0)
                return { { best, shape.accelerators } };
        }
        return {};
    }

    Allocation findInOneRack(const FleetIndex& fleet, const Shape& shape)
    {
        Allocation best;
        int bestFree = 0;
        for (const Rack& rack : fleet.racks) {
            if (rack.free < shape.accelerators || usableAccelerators(fleet, rack, shape) < shape.accelerators)
                continue;
            if (!best.empty() && shape.acceleratorsPerWorker > 0 && rack.free >= bestFree)
                continue;
            Allocation allocation = allocateFromRack(fleet, rack, shape, shape.accelerators);
            if (best.empty() || std::pair(allocation.size(), rack.free) < std::pair(best.size(), bestFree)) {
                best = std::move(allocation);
                bestFree = rack.free;
            }
        }
        return best;
    }

    Allocation findInDataCentre(const FleetIndex& fleet, const Shape& shape)
    {
        std::vector<std::pair<int, int>> racks; // usable accelerators and rack, in ascending order
        int total = 0;
        for (int rack = 0; rack < static_cast<int>(fleet.racks.size()); ++rack) {
            int amount = usableAccelerators(fleet, fleet.racks[rack], shape);
            if (amount == 0)
                continue;
            racks.emplace_back(amount, rack);
            total += amount;
        }
        if (total < shape.accelerators)
            return {};
        std::sort(racks.begin(), racks.end());
        Allocation allocation;
        int need = shape.accelerators;
        while (need > 0) {
            auto bestFit = std::lower_bound(racks.begin(), racks.end(), std::pair { need, 0 });
            if (bestFit == racks.end())
                --bestFit;
            int taken = std::min(need, bestFit->first);
            Allocation parts = allocateFromRack(fleet, fleet.racks[bestFit->second], shape, taken);
            allocation.insert(allocation.end(), parts.begin(), parts.end());
            need -= taken;
            racks.erase(bestFit);
        }
        return allocation;
    }

} // namespace

int findOrAddWorker(FleetIndex& fleet, const WorkerId& worker)
{
    auto found = fleet.workerSlots.find(worker);
    if (found != fleet.workerSlots.end())
        return found->second;
    int slot = static_cast<int>(fleet.workers.size());
    if (fleet.vacantWorkerSlots.empty()) {
        fleet.workers.emplace_back();
    } else {
        slot = fleet.vacantWorkerSlots.back();
        fleet.vacantWorkerSlots.pop_back();
    }
    fleet.workers[slot] = { .id = worker, .isPresent = true };
    fleet.workerSlots.emplace(worker, slot);
    moveToRack(fleet, slot, findOrAddRack(fleet, RackId {}));
    return slot;
}

void setWorker(FleetIndex& fleet, const WorkerState& state)
{
    int slot = findOrAddWorker(fleet, state.id);
    moveToRack(fleet, slot, findOrAddRack(fleet, state.rack));
    Worker& worker = fleet.workers[slot];
    int capacity = std::max(0, state.capacity.accelerators);
    fleet.totalCapacity += capacity - worker.capacity;
    fleet.capacity += (state.isAvailable ? capacity : 0) - (worker.isAvailable ? worker.capacity : 0);
    worker.capacity = capacity;
    worker.isAvailable = state.isAvailable;
    fleet.maxWorkerCapacity = std::max(fleet.maxWorkerCapacity, capacity);
    if (static_cast<int>(fleet.byFree.size()) <= fleet.maxWorkerCapacity)
        fleet.byFree.resize(fleet.maxWorkerCapacity + 1);
    reindex(fleet, slot);
}

void removeWorker(FleetIndex& fleet, const WorkerId& id)
{
    auto found = fleet.workerSlots.find(id);
    if (found == fleet.workerSlots.end())
        return;
    int slot = found->second;
    Worker& worker = fleet.workers[slot];
    setWorker(fleet, { .id = id, .rack = fleet.racks[worker.rack].id, .capacity = {}, .isAvailable = false });
    // Parts that have not ended refer to the slot until they are released, so it stays in use without capacity, like
    // that of a worker whose state is unknown.
    if (worker.used > 0 || worker.held > 0)
        return;
    std::erase(fleet.racks[worker.rack].workers, slot);
    fleet.workerSlots.erase(found);
    worker = {};
    fleet.vacantWorkerSlots.push_back(slot);
}

void charge(FleetIndex& fleet, const Allocation& allocation)
{
    for (const auto& part : allocation) {
        fleet.workers[part.worker].used += part.accelerators;
        fleet.used += part.accelerators;
        reindex(fleet, part.worker);
    }
}

void release(FleetIndex& fleet, const Allocation& allocation)
{
    for (const auto& part : allocation) {
        fleet.workers[part.worker].used -= part.accelerators;
        fleet.used -= part.accelerators;
        reindex(fleet, part.worker);
    }
}

void holdCapacity(FleetIndex& fleet, const Allocation& allocation)
{
    for (const auto& part : allocation) {
        fleet.workers[part.worker].held += part.accelerators;
        reindex(fleet, part.worker);
    }
}

void releaseHeldCapacity(FleetIndex& fleet, const Allocation& allocation)
{
    for (const auto& part : allocation) {
        fleet.workers[part.worker].held -= part.accelerators;
        reindex(fleet, part.worker);
    }
}

Allocation findAllocation(const FleetIndex& fleet, const Shape& shape)
{
    if (shape.accelerators > fleet.free
        || (shape.acceleratorsPerWorker > 0 && shape.accelerators % shape.acceleratorsPerWorker != 0))
        return {};
    Allocation allocation;
    if (shape.acceleratorsPerWorker == 0 || shape.acceleratorsPerWorker == shape.accelerators)
        allocation = findOnOneWorker(fleet, shape);
    if (allocation.empty() && shape.maxSpread != Spread::Worker)
        allocation = findInOneRack(fleet, shape);
    if (allocation.empty() && shape.maxSpread == Spread::DataCentre)
        allocation = findInDataCentre(fleet, shape);
    return allocation;
}

std::optional<std::string> neverFitsReason(const FleetIndex& fleet, const Shape& shape)
{
    std::string size = std::to_string(shape.accelerators);
    if (shape.accelerators < 1)
        return "a job needs at least 1 accelerator";
    if (shape.acceleratorsPerWorker > 0 && shape.accelerators % shape.acceleratorsPerWorker != 0)
        return size + " accelerators cannot be split into parts of " + std::to_string(shape.acceleratorsPerWorker);
    bool isWhole = shape.acceleratorsPerWorker == 0 || shape.acceleratorsPerWorker == shape.accelerators;
    int largestWorker = 0;
    int largestRack = 0;
    int total = 0;
    for (const Rack& rack : fleet.racks) {
        int inRack = 0;
        for (int slot : rack.workers) {
            int capacity = fleet.workers[slot].capacity;
            largestWorker = std::max(largestWorker, capacity);
            inRack += shape.acceleratorsPerWorker == 0
                ? capacity
                : (capacity >= shape.acceleratorsPerWorker ? shape.acceleratorsPerWorker : 0);
        }
        largestRack = std::max(largestRack, inRack);
        total += inRack;
    }
    if (isWhole && largestWorker >= shape.accelerators)
        return std::nullopt;
    std::string split = shape.acceleratorsPerWorker > 0 ? " in parts of " + std::to_string(shape.acceleratorsPerWorker)
                                                        : std::string();
    switch (shape.maxSpread) {
    case Spread::Worker:
        return "the largest worker has " + std::to_string(largestWorker) + " accelerators; the job needs " + size
            + " on one worker";
    case Spread::Rack:
        if (largestRack >= shape.accelerators)
            return std::nullopt;
        return "the largest rack holds " + std::to_string(largestRack) + " accelerators" + split + "; the job needs "
            + size + " in one rack";
    case Spread::DataCentre:
        if (total >= shape.accelerators)
            return std::nullopt;
        return "the data centre holds " + std::to_string(total) + " accelerators" + split + "; the job needs " + size;
    }
    return std::nullopt;
}

int largestFreeGang(const FleetIndex& fleet)
{
    return fleet.free;
}

} // namespace agatevane::scheduling
