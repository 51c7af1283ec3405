#pragma once

#include "agatevane/routing/routing.h"
#include "agatevane/worker_api/worker_api.h"
#include "entry/catalogue_snapshot.h"
#include <mutex>

namespace agatevane::entry {

//! The routing decisions behind a mutex. Thread-safe.
class WorkerRouter {
public:
    explicit WorkerRouter(const RegionId& region);

    void configure(const CatalogueSnapshot& catalogue);

    std::optional<routing::Choice> choose(const routing::Query& query);
    void finish(const WorkerId& worker, routing::Result result, Millis took);
    void release(const WorkerId& worker); //!< it was not sent the request after all
    bool mayRetry(routing::Result result, bool isIdempotent, int attempts, Instant deadline);

    //! Own requests in progress at the worker; to be read right before its report is asked for.
    int ownInProgress(const WorkerId& worker);
    void onReport(const WorkerId& worker, const WorkerReport& report, Instant asked, int ownInProgress);
    void onListed(const WorkerId& worker, bool isLeaving);

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
