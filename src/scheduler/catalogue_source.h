#pragma once

#include "agatevane/catalogue/view.h"
#include "agatevane/shard_owner/messages.h"
#include "agatevane/store/watcher.h"
#include <functional>
#include <mutex>

namespace agatevane::scheduler {

//! Keeps a copy of the catalogue up to date through one watch on the store.
class CatalogueSource {
public:
    //! `onChange` is called on the watcher's thread after each change, with the whole catalogue.
    CatalogueSource(const std::vector<http::Endpoint>& stores, std::function<void(const Catalogue&)> onChange);
    ~CatalogueSource();

    void start();
    void stop();

private:
    void apply(const std::vector<store::KeyValue>& kvs, store::Revision revision);
    void apply(const std::vector<store::Event>& events, store::Revision revision);

    store::Client client_;
    store::Watcher watcher_;
    CatalogueView view_;
    std::function<void(const Catalogue&)> onChange_;
};

//! The workers and the scheduling policy that the owner of `dataCentre` takes from the catalogue.
shard_owner::FleetChanged makeFleetChanged(const Catalogue& catalogue, const DataCentreEntry& dataCentre);

} // namespace agatevane::scheduler
