#pragma once

#include "entry/call_gate.h"
#include "entry/catalogue_snapshot.h"

namespace agatevane::entry {

//! The gates of all services. Handlers read the table without a lock.
class GateTable {
public:
    //! `members`: entry VMs that share the workers' slots. `threads`: of the HTTP server.
    void configure(const CatalogueSnapshot& catalogue, int members, int threads);

    //! Null if the service is not in the catalogue.
    std::shared_ptr<CallGate> find(const ServiceId& service) const;

    void tick();

    //! Over all services.
    CallGate::Load load() const;

private:
    using Gates = std::map<ServiceId, std::shared_ptr<CallGate>>;
    std::atomic<std::shared_ptr<const Gates>> gates_ { std::make_shared<const Gates>() };
};

} // namespace agatevane::entry
