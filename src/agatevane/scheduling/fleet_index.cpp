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

    int rackOf(FleetIndex& fleet, const RackId& id)
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

    int usable(const FleetIndex& fleet, const Rack& rack, const Shape& shape)
    {
        if (shape.perWorker == 0)
            return rack.free;
        if (rack.free < shape.perWorker)
            return 0;
        int parts = 0;
        for (int slot : rack.workers)
            parts += fleet.workers[slot].free >= shape.perWorker ? 1 : 0;
        return parts * shape.perWorker;
    }

    //! Takes `need` accelerators from the rack on the fewest workers, leaving the largest free workers whole.
    Slots takeFromRack(const FleetIndex& fleet, const Rack& rack, const Shape& shape, int need)
    {
        std::vector<std::pair<int, int>> candidates; // free, slot; ascending
        for (int slot : rack.workers) {
            if (fleet.workers[slot].free >= std::max(1, shape.perWorker))
                candidates.emplace_back(fleet.workers[slot].free, slot);
        }
        std::sort(candidates.begin(), candidates.end());
        Slots slots;
        if (shape.perWorker > 0) {
            for (std::size_t i = 0; need > 0; ++i, need -= shape.perWorker)
                slots.push_back({ candidates[i].second, shape.perWorker });
            return slots;
        }
        while (need > 0) {
            auto tightest = std::lower_bound(candidates.begin(), candidates.end(), std::pair { need, 0 });
            if (tightest == candidates.end())
                --tightest;
            int taken = std::min(need, tightest->first);
            slots.push_back({ tightest->second, taken });
            need -= taken;
            candidates.erase(tightest);
        }
        return slots;
    }

    Slots fitWorker(const FleetIndex& fleet, const Shape& shape)
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

    Slots fitRack(const FleetIndex& fleet, const Shape& shape)
    {
        Slots best;
        int bestFree = 0;
        for (const Rack& rack : fleet.racks) {
            if (rack.free < shape.accelerators || usable(fleet, rack, shape) < shape.accelerators)
                continue;
            if (!best.empty() && shape.perWorker > 0 && rack.free >= bestFree)
                continue;
            Slots slots = takeFromRack(fleet, rack, shape, shape.accelerators);
            if (best.empty() || std::pair(slots.size(), rack.free) < std::pair(best.size(), bestFree)) {
                best = std::move(slots);
                bestFree = rack.free;
            }
        }
        return best;
    }

    Slots fitDataCentre(const FleetIndex& fleet, const Shape& shape)
    {
        std::vector<std::pair<int, int>> racks; // usable, rack; ascending
        int total = 0;
        for (int rack = 0; rack < static_cast<int>(fleet.racks.size()); ++rack) {
            int amount = usable(fleet, fleet.racks[rack], shape);
            if (amount == 0)
                continue;
            racks.emplace_back(amount, rack);
            total += amount;
        }
        if (total < shape.accelerators)
            return {};
        std::sort(racks.begin(), racks.end());
        Slots slots;
        int need = shape.accelerators;
        while (need > 0) {
            auto tightest = std::lower_bound(racks.begin(), racks.end(), std::pair { need, 0 });
            if (tightest == racks.end())
                --tightest;
            int taken = std::min(need, tightest->first);
            Slots parts = takeFromRack(fleet, fleet.racks[tightest->second], shape, taken);
            slots.insert(slots.end(), parts.begin(), parts.end());
            need -= taken;
            racks.erase(tightest);
        }
        return slots;
    }

} // namespace

int slotOf(FleetIndex& fleet, const WorkerId& worker)
{
    auto found = fleet.workerSlots.find(worker);
    if (found != fleet.workerSlots.end())
        return found->second;
    int slot = static_cast<int>(fleet.workers.size());
    if (fleet.vacantSlots.empty()) {
        fleet.workers.emplace_back();
    } else {
        slot = fleet.vacantSlots.back();
        fleet.vacantSlots.pop_back();
    }
    fleet.workers[slot] = { .id = worker, .isPresent = true };
    fleet.workerSlots.emplace(worker, slot);
    moveToRack(fleet, slot, rackOf(fleet, RackId {}));
    return slot;
}

void setWorker(FleetIndex& fleet, const WorkerState& state)
{
    int slot = slotOf(fleet, state.id);
    moveToRack(fleet, slot, rackOf(fleet, state.rack));
    Worker& worker = fleet.workers[slot];
    int capacity = std::max(0, state.capacity.accelerators);
    fleet.totalCapacity += capacity - worker.capacity;
    fleet.capacity += (state.isAvailable ? capacity : 0) - (worker.isAvailable ? worker.capacity : 0);
    worker.capacity = capacity;
    worker.isAvailable = state.isAvailable;
    fleet.largestWorker = std::max(fleet.largestWorker, capacity);
    if (static_cast<int>(fleet.byFree.size()) <= fleet.largestWorker)
        fleet.byFree.resize(fleet.largestWorker + 1);
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
    // Parts that have not ended keep the slot, so that their release finds it; it then counts as an unknown worker.
    if (worker.used > 0 || worker.held > 0)
        return;
    std::erase(fleet.racks[worker.rack].workers, slot);
    fleet.workerSlots.erase(found);
    worker = {};
    fleet.vacantSlots.push_back(slot);
}

void charge(FleetIndex& fleet, const Slots& slots)
{
    for (const auto& part : slots) {
        fleet.workers[part.worker].used += part.accelerators;
        fleet.used += part.accelerators;
        reindex(fleet, part.worker);
    }
}

void release(FleetIndex& fleet, const Slots& slots)
{
    for (const auto& part : slots) {
        fleet.workers[part.worker].used -= part.accelerators;
        fleet.used -= part.accelerators;
        reindex(fleet, part.worker);
    }
}

void hold(FleetIndex& fleet, const Slots& slots)
{
    for (const auto& part : slots) {
        fleet.workers[part.worker].held += part.accelerators;
        reindex(fleet, part.worker);
    }
}

void unhold(FleetIndex& fleet, const Slots& slots)
{
    for (const auto& part : slots) {
        fleet.workers[part.worker].held -= part.accelerators;
        reindex(fleet, part.worker);
    }
}

Slots fit(const FleetIndex& fleet, const Shape& shape)
{
    if (shape.accelerators > fleet.free || (shape.perWorker > 0 && shape.accelerators % shape.perWorker != 0))
        return {};
    Slots slots;
    if (shape.perWorker == 0 || shape.perWorker == shape.accelerators)
        slots = fitWorker(fleet, shape);
    if (slots.empty() && shape.maxSpread != Spread::Worker)
        slots = fitRack(fleet, shape);
    if (slots.empty() && shape.maxSpread == Spread::DataCentre)
        slots = fitDataCentre(fleet, shape);
    return slots;
}

std::optional<std::string> misfitReason(const FleetIndex& fleet, const Shape& shape)
{
    std::string size = std::to_string(shape.accelerators);
    if (shape.accelerators < 1)
        return "a job needs at least 1 accelerator";
    if (shape.perWorker > 0 && shape.accelerators % shape.perWorker != 0)
        return size + " accelerators cannot be split into parts of " + std::to_string(shape.perWorker);
    bool isWhole = shape.perWorker == 0 || shape.perWorker == shape.accelerators;
    int largestWorker = 0;
    int largestRack = 0;
    int total = 0;
    for (const Rack& rack : fleet.racks) {
        int inRack = 0;
        for (int slot : rack.workers) {
            int capacity = fleet.workers[slot].capacity;
            largestWorker = std::max(largestWorker, capacity);
            inRack += shape.perWorker == 0 ? capacity : (capacity >= shape.perWorker ? shape.perWorker : 0);
        }
        largestRack = std::max(largestRack, inRack);
        total += inRack;
    }
    if (isWhole && largestWorker >= shape.accelerators)
        return std::nullopt;
    std::string split = shape.perWorker > 0 ? " in parts of " + std::to_string(shape.perWorker) : std::string();
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
