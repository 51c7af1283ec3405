#pragma once

#include "agatevane/http/server.h"
#include "agatevane/timeline/ring.h"
#include "scheduler/catalogue_source.h"
#include "scheduler/scheduler_settings.h"
#include "scheduler/shard_host.h"
#include "scheduler/thread_pool.h"
#include "scheduler/worker_link.h"
#include <map>

namespace agatevane::scheduler {

//! One scheduler process. It is a candidate for the ownership of every data centre that its settings allow.
class Scheduler {
public:
    explicit Scheduler(const SchedulerSettings& settings);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    std::error_code start();
    int httpPort() const { return httpServer_.port(); }

    //! Releases every owned data centre so that its first standby takes over. Blocks until all are released, or at most
    //! for `handoverTimeout`.
    void handOver();
    void stop();

private:
    void execute(ShardHost& host, shard_owner::Action&& action);
    void callWorker(std::function<void()> call, std::function<void()> onFull);
    void sendHeartbeat(const OwnerHeartbeat& heartbeat);
    void onDatagram(std::string_view bytes);
    void onRequest(std::uint16_t kind, std::string_view payload, net::Reply reply);
    void record(const DataCentreId& dataCentre, const shard_owner::Event& event);

    void applyCatalogue(const Catalogue& catalogue);
    void refreshMembers();
    std::vector<ownership::Candidate> candidates() const;
    std::shared_ptr<ShardHost> findHost(const DataCentreId& dataCentre);
    std::vector<std::shared_ptr<ShardHost>> hosts();

    void tickLoop();
    void memberRefreshLoop();
    void addRoutes();
    void addMetrics(const std::shared_ptr<ShardHost>& host);

    const SchedulerSettings settings_;
    const std::string incarnation_;
    timeline::Ring ring_;
    store::Client store_;
    CatalogueSource source_;
    WorkerLink workers_;
    ThreadPool workerPool_;
    ThreadPool storePool_;
    asio::io_context context_;
    net::RpcServer rpcServer_;
    net::DatagramSocket datagrams_;
    http::Server httpServer_;

    std::mutex mutex_; //!< protects hosts_, regions_ and dataCentreRegions_
    std::map<DataCentreId, std::shared_ptr<ShardHost>> hosts_;
    std::map<std::string, RegionId> regions_; //!< region of each VM by its name, from the list of VMs
    std::map<std::string, RegionId> dataCentreRegions_; //!< region of each data centre by its id
    std::atomic<bool> isReady_ { false };
    std::atomic<bool> isStopping_ { false };
    std::atomic<bool> isHandingOver_ { false };
    std::vector<std::thread> threads_;
};

} // namespace agatevane::scheduler
