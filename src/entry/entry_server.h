#pragma once

#include "agatevane/http/server.h"
#include "agatevane/timeline/ring.h"
#include "entry/administration.h"
#include "entry/call_handler.h"
#include "entry/catalogue_source.h"
#include "entry/job_handler.h"
#include "entry/report_poller.h"
#include "entry/settings.h"
#include "entry/vm_list_client.h"
#include <asio/executor_work_guard.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <thread>

namespace agatevane::entry {

//! The whole entry in one object; `main` adds only settings and signals.
class EntryServer {
public:
    explicit EntryServer(Settings settings);
    ~EntryServer();

    //! Binds and serves.
    std::error_code start();
    int port() const;

    //! Puts a catalogue in force for all requests that arrive from now on.
    void applyCatalogue(SnapshotPointer snapshot);

    //! /readyz answers 503 from here on; requests are still served, since the balancer notices with a delay.
    void drain();

    //! Finishes the requests in progress.
    void stop();

private:
    void addRoutes();
    void addJobRoute(const std::string& method, const std::string& pattern,
        void (*handler)(JobContext&, const http::Request&, http::Response&));
    void applyVmList(const std::vector<ListedVm>& vms);
    void configure();
    MemberAddresses otherMembers() const;
    void scheduleTick(int number);
    void onRpc(std::uint16_t kind, std::string_view payload, const net::Reply& reply);
    void writeMetrics(http::Response& response);
    membership::Settings memberSettings() const;
    membership::Hooks memberHooks();
    void recordFreshness();
    void record(timeline::EventType type, const std::string& detail = "");

    Settings settings_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard_;
    asio::steady_timer ticker_;
    std::vector<std::thread> ioThreads_;
    std::mutex configureMutex_; //!< catalogue and VM list arrive on different threads
    std::atomic<int> members_;
    CatalogueHolder catalogue_ { std::make_shared<const CatalogueSnapshot>() };
    timeline::Ring timeline_;
    EntryMetrics metrics_;
    store::Client store_;
    ClaimStore claims_;
    CatalogueSource source_;
    WorkerClient workers_;
    WorkerRouter router_;
    GateTable gates_;
    LimitTable limits_;
    SchedulerClient schedulers_;
    membership::Service membership_;
    Administration administration_;
    net::RpcServer rpcServer_;
    CallContext calls_;
    JobContext jobs_;
    std::atomic<int> jobRequests_ = 0;
    std::atomic<bool> isDraining_ = false;
    bool wasFresh_ = false; //!< touched by the ticker only
    http::Server server_;
    std::unique_ptr<VmListClient> vmList_;
    std::unique_ptr<ReportPoller> reports_;
};

} // namespace agatevane::entry
