#pragma once

#include "agatevane/routing/routing.h"
#include "agatevane/worker_api/worker_api.h"
#include "entry/catalogue_snapshot.h"
#include <mutex>

namespace agatevane::entry {

//! Chooses workers for calls with the routing library, whose state it protects with a mutex. Thread-safe.
class WorkerRouter {
public:
    explicit WorkerRouter(const RegionId& region);

    void configure(const CatalogueSnapshot& catalogue);

    std::optional<routing::Choice> choose(const routing::Query& query);
    //! Reports the result of a call that `choose` assigned to the worker.
    void finish(const WorkerId& worker, routing::Result result, Millis latency);
    //! Returns whether a worker of the service is unusable only because it recently refused a call as full.
    bool hasTemporarilyFullWorker(const ServiceId& service);
    //! Must be called for a chosen worker that the request was not sent to.
    void release(const WorkerId& worker);
    bool mayRetry(routing::Result result, bool isIdempotent, int attempts, Instant deadline);

    //! Returns the number of this VM's requests in progress at the worker. Must be read right before the worker's
    //! report is requested.
    int ownInProgress(const WorkerId& worker);
    void onReport(const WorkerId& worker, const WorkerReport& report, Instant requestedAt, int ownInProgress);
    void setLeavingByVmList(const WorkerId& worker, bool isLeaving);

    struct Target {
        WorkerId worker;
        std::string address;
    };
    std::vector<Target> targets();

    struct Counts {
        int all = 0;
        int usable = 0;
        int ejected = 0;
    };
    Counts counts();

private:
    RegionId region_;
    std::mutex mutex_;
    routing::State state_;
    Random random_;
};

} // namespace agatevane::entry
