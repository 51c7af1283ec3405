#pragma once

#include "entry/call_gate.h"
#include "entry/catalogue_snapshot.h"

namespace agatevane::entry {

//! The admission gates of all services. Handlers read the table without a lock.
class GateTable {
public:
    //! Creates, updates or drops gates so that they match the catalogue. `entryVmCount` is the number of entry VMs that
    //! share the workers' slots, `threadCount` the number of threads of the HTTP server.
    void configure(const CatalogueSnapshot& catalogue, int entryVmCount, int threadCount);

    //! Returns null if the service is not in the catalogue.
    std::shared_ptr<CallGate> find(const ServiceId& service) const;

    //! Sheds requests that have waited too long, in all gates. Must be called about every 50 ms.
    void tick();

    //! Returns the sum over all services.
    CallGate::Load load() const;

private:
    using Gates = std::map<ServiceId, std::shared_ptr<CallGate>>;
    std::atomic<std::shared_ptr<const Gates>> gates_ { std::make_shared<const Gates>() };
};

} // namespace agatevane::entry
