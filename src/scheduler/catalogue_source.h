#pragma once

#include "agatevane/catalogue/view.h"
#include "agatevane/shard_owner/messages.h"
#include "agatevane/store/watcher.h"
#include <functional>
#include <mutex>

namespace agatevane::scheduler {

//! Follows the catalogue in the store by one watch.
class CatalogueSource {
public:
    //! `onChange` is called on the watcher's thread.
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

//! What the owner of `dataCentre` needs to know.
shard_owner::FleetChanged fleetOf(const Catalogue& catalogue, const DataCentreEntry& dataCentre);

} // namespace agatevane::scheduler
