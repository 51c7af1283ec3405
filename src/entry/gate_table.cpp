#include "entry/gate_table.h"

#include <algorithm>

namespace agatevane::entry {

namespace {

    admission::Config admissionConfigOf(const ServiceEntry& service, const CatalogueSnapshot& catalogue,
        int entryVmCount, int threadCount, int serviceCount)
    {
        int slots = 0;
        for (const auto& [id, dataCentre] : catalogue.dataCentres) {
            for (const auto& worker : dataCentre->workers)
                slots += worker.service == service.id ? worker.slots : 0;
        }
        admission::Config config;
        // The share is rounded up, so together the entry VMs may exceed the slots by less than one slot each. Workers
        // refuse the calls beyond their slots.
        int slotShare = (slots + entryVmCount - 1) / std::max(1, entryVmCount);
        // Running calls of one service take at most half of the threads, and waiting calls of all services a quarter,
        // so that threads remain for job requests and health probes.
        config.slots = std::clamp(slotShare, 1, std::max(1, threadCount / 2));
        config.maxQueuedTotal = std::max(1, threadCount / 4 / std::max(1, serviceCount));
        config.classFloors = service.classFloors;
        config.maxQueued = service.maxQueued;
        config.maxQueuedFor = Millis(service.maxQueuedMs);
        for (const auto& [id, workspace] : catalogue.workspaces)
            config.workspaces[id] = { workspace->weight, workspace->floorShare };
        return config;
    }

} // namespace

void GateTable::configure(const CatalogueSnapshot& catalogue, int entryVmCount, int threadCount)
{
    auto before = gates_.load();
    auto gates = std::make_shared<Gates>();
    auto serviceCount = static_cast<int>(catalogue.services.size());
    for (const auto& [id, service] : catalogue.services) {
        auto known = before->find(id);
        auto gate = known == before->end() ? std::make_shared<CallGate>() : known->second;
        gate->configure(admissionConfigOf(*service, catalogue, entryVmCount, threadCount, serviceCount));
        gates->emplace(id, std::move(gate));
    }
    gates_.store(std::move(gates));
}

std::shared_ptr<CallGate> GateTable::find(const ServiceId& service) const
{
    auto gates = gates_.load(std::memory_order_acquire);
    auto found = gates->find(service);
    return found == gates->end() ? nullptr : found->second;
}

void GateTable::tick()
{
    for (const auto& [id, gate] : *gates_.load())
        gate->tick();
}

CallGate::Load GateTable::load() const
{
    CallGate::Load sum;
    for (const auto& [id, gate] : *gates_.load()) {
        auto load = gate->load();
        sum.running += load.running;
        for (std::size_t i = 0; i < sum.waiting.size(); ++i)
            sum.waiting[i] += load.waiting[i];
    }
    return sum;
}

} // namespace agatevane::entry
