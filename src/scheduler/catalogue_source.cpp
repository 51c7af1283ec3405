#include "scheduler/catalogue_source.h"

namespace agatevane::scheduler {

CatalogueSource::CatalogueSource(
    const std::vector<http::Endpoint>& stores, std::function<void(const Catalogue&)> onChange)
    : client_(stores)
    , watcher_(client_, std::string(cataloguePrefix),
          { .onSnapshot = [this](const auto& kvs, auto revision) { apply(kvs, revision); },
              .onEvents = [this](const auto& events, auto revision) { apply(events, revision); },
              .onProgress = [this](auto revision) { view_.advance(revision); } })
    , onChange_(std::move(onChange))
{
}

CatalogueSource::~CatalogueSource()
{
    stop();
}

void CatalogueSource::start()
{
    watcher_.start();
}

void CatalogueSource::stop()
{
    watcher_.stop();
}

void CatalogueSource::apply(const std::vector<store::KeyValue>& kvs, store::Revision revision)
{
    std::vector<EntryUpdate> entries;
    entries.reserve(kvs.size());
    for (const auto& kv : kvs)
        entries.push_back({ .key = kv.key, .revision = kv.modRevision, .value = kv.value });
    view_.applyAll(entries, revision);
    onChange_(view_.catalogue());
}

void CatalogueSource::apply(const std::vector<store::Event>& events, store::Revision revision)
{
    bool hasChanged = false;
    for (const auto& event : events) {
        bool isDeleted = event.type == store::EventType::Delete;
        hasChanged |= view_.apply({ event.kv.key, event.kv.modRevision, isDeleted, event.kv.value });
    }
    view_.advance(revision);
    if (hasChanged)
        onChange_(view_.catalogue());
}

shard_owner::FleetChanged makeFleetChanged(const Catalogue& catalogue, const DataCentreEntry& dataCentre)
{
    shard_owner::FleetChanged fleet { .workers = dataCentre.workers };
    for (const auto& [id, workspace] : catalogue.workspaces) {
        scheduling::WorkspacePolicy policy {
            .id = id, .weight = workspace->weight, .quotaAccelerators = workspace->quotaAccelerators
        };
        for (const auto& guarantee : workspace->guarantees) {
            if (guarantee.dataCentre == dataCentre.id)
                policy.guaranteedAccelerators += guarantee.accelerators;
        }
        fleet.policy.workspaces.push_back(policy);
    }
    const auto& policy = *catalogue.policy;
    fleet.policy.reclaimDeadline = Millis { policy.reclaimDeadlineMs };
    fleet.policy.urgentReclaimDeadline = Millis { policy.urgentReclaimDeadlineMs };
    fleet.policy.reservationAfter = Millis { policy.reservationAfterMs };
    fleet.policy.fairnessWeight = policy.fairnessWeight;
    fleet.policy.classFloor = policy.classFloor;
    fleet.policy.shareClaimAfter = Millis(policy.shareClaimAfterMs);
    fleet.policy.starvedAfter = Millis(policy.starvedAfterMs);
    fleet.policy.headroom = policy.headroom;
    fleet.policy.reserveByShare = policy.reserveByShare;
    fleet.policy.defragment = policy.defragment;
    return fleet;
}

} // namespace agatevane::scheduler
