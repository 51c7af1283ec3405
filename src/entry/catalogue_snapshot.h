#pragma once

#include "agatevane/catalogue/entries.h"
#include <atomic>
#include <map>
#include <memory>
#include <unordered_map>

namespace agatevane::entry {

//! The catalogue as request handlers need it. Immutable after it was published.
struct CatalogueSnapshot {
    std::int64_t revision = 0;
    std::map<WorkspaceId, WorkspaceEntry> workspaces;
    std::map<ServiceId, ServiceEntry> services;
    std::map<DataCentreId, DataCentreEntry> dataCentres;
    std::vector<LinkEntry> links;
    std::unordered_map<std::string, CallerEntry> callersByTokenDigest;
};

using SnapshotPointer = std::shared_ptr<const CatalogueSnapshot>;

//! Read-copy-update: handlers keep the snapshot they loaded for their whole request while a newer one is published.
class CatalogueHolder {
public:
    SnapshotPointer load() const { return snapshot_.load(std::memory_order_acquire); }
    void publish(SnapshotPointer snapshot) { snapshot_.store(std::move(snapshot), std::memory_order_release); }

private:
    std::atomic<SnapshotPointer> snapshot_ { std::make_shared<const CatalogueSnapshot>() };
};

} // namespace agatevane::entry
