#include "scheduler/scheduler.h"
#include <algorithm>
#include <nlohmann/json.hpp>

//! The parts of the scheduler process that handle the catalogue and the list of VMs.
namespace agatevane::scheduler {

std::vector<ownership::Candidate> Scheduler::candidates() const
{
    std::vector<ownership::Candidate> result { { { settings_.name }, { settings_.region } } };
    for (const auto& peer : settings_.peers) {
        auto region = regions_.find(peer.name);
        result.push_back({ { peer.name }, region == regions_.end() ? RegionId {} : region->second });
    }
    return result;
}

void Scheduler::applyCatalogue(const Catalogue& catalogue)
{
    for (const auto& [id, dataCentre] : catalogue.dataCentres) {
        const auto& allowed = settings_.dataCentres;
        if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), id.value) == allowed.end())
            continue;
        for (const auto& worker : dataCentre->workers)
            workers_.setAddress(worker.id, worker.address);
        auto host = findHost(id);
        if (!host) {
            auto state
                = shard_owner::makeState(id, dataCentre->region, { settings_.name }, incarnation_, candidates(), now());
            host = std::make_shared<ShardHost>(std::move(state),
                [this](ShardHost& target, shard_owner::Action&& action) { execute(target, std::move(action)); });
            addMetrics(host);
            std::lock_guard lock(mutex_);
            hosts_.emplace(id, host);
        }
        host->handle(makeFleetChanged(catalogue, *dataCentre));
    }
    std::lock_guard lock(mutex_);
    dataCentreRegions_.clear();
    for (const auto& [id, dataCentre] : catalogue.dataCentres)
        dataCentreRegions_[id.value] = dataCentre->region;
    isReady_ = !isHandingOver_;
}

void Scheduler::refreshMembers()
{
    http::Client client(settings_.vmList);
    auto result = client.request("GET", "/v1/vms", "", now() + settings_.storeTimeout);
    auto list = nlohmann::json::parse(result.body, nullptr, false);
    if (result.error || result.status != 200 || !list.is_array())
        return;
    std::vector<ownership::Candidate> updated;
    {
        std::lock_guard lock(mutex_);
        for (const auto& vm : list) {
            if (!vm.is_object() || !vm.contains("name") || !vm.contains("dataCentre"))
                continue;
            auto region = dataCentreRegions_.find(vm.value("dataCentre", ""));
            if (region != dataCentreRegions_.end())
                regions_[vm.value("name", "")] = region->second;
        }
        updated = candidates();
    }
    for (const auto& host : hosts())
        host->setCandidates(updated);
}

void Scheduler::memberRefreshLoop()
{
    auto next = now();
    while (!isStopping_) {
        if (now() >= next) {
            refreshMembers();
            next = now() + settings_.memberInterval;
        }
        std::this_thread::sleep_for(settings_.tick);
    }
}

} // namespace agatevane::scheduler
