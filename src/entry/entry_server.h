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

//! All parts of an entry VM. `main` adds only the reading of settings and the handling of signals.
class EntryServer {
public:
    explicit EntryServer(Settings settings);
    ~EntryServer();

    //! Binds the ports and starts to serve. Returns the error if a port cannot be bound.
    std::error_code start();
    int port() const;

    //! Makes the catalogue current for all requests that arrive from now on.
    void applyCatalogue(SnapshotPointer snapshot);

    //! Makes /readyz answer 503. Requests are still served, since the load balancer notices the change with a delay.
    void drain();

    //! Finishes the requests in progress and stops serving.
    void stop();

private:
    void addRoutes();
    void addJobRoute(const std::string& method, const std::string& pattern,
        void (*handler)(JobContext&, const http::Request&, http::Response&));
    void applyVmList(const std::vector<ListedVm>& vms);
    void configure();
    MemberAddresses otherMembers() const;
    void scheduleTick(int tickNumber);
    void onRpc(std::uint16_t kind, std::string_view payload, const net::Reply& reply);
    void writeMetrics(http::Response& response);
    membership::Settings membershipSettings() const;
    membership::Hooks membershipHooks();
    void recordFreshnessChange();
    void recordEvent(timeline::EventType type, const std::string& detail = "");

    Settings settings_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard_;
    asio::steady_timer tickTimer_;
    std::vector<std::thread> ioThreads_;
    //! Serialises updates of the catalogue and of the VM list, which arrive on different threads.
    std::mutex configureMutex_;
    std::atomic<int> entryVmCount_;
    PublishedCatalogue catalogue_ { std::make_shared<const CatalogueSnapshot>() };
    timeline::Ring timeline_;
    EntryMetrics metrics_;
    store::Client store_;
    ClaimStore claims_;
    CatalogueSource catalogueSource_;
    WorkerClient workerClient_;
    WorkerRouter router_;
    GateTable gates_;
    LimitTable limits_;
    SchedulerClient schedulerClient_;
    membership::Service membership_;
    Administration administration_;
    net::RpcServer rpcServer_;
    CallContext callContext_;
    JobContext jobContext_;
    std::atomic<int> jobRequestsInProgress_ = 0;
    std::atomic<bool> isDraining_ = false;
    bool wasFresh_ = false; //!< used only by the handler of `tickTimer_`
    http::Server httpServer_;
    std::unique_ptr<VmListClient> vmListClient_;
    std::unique_ptr<ReportPoller> reportPoller_;
};

} // namespace agatevane::entry
