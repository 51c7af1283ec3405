#pragma once

#include "agatevane/http/server.h"
#include "entry/call_handler.h"
#include "entry/job_handler.h"
#include "entry/settings.h"
#include <asio/executor_work_guard.hpp>
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
    CatalogueHolder& catalogue() { return catalogue_; }

    //! /readyz answers 503 from here on; requests are still served, since the balancer notices with a delay.
    void drain();

    //! Finishes the requests in progress.
    void stop();

private:
    void addRoutes();

    Settings settings_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard_;
    std::vector<std::thread> ioThreads_;
    CatalogueHolder catalogue_;
    WorkerClient workers_;
    SchedulerClient schedulers_;
    CallContext calls_;
    JobContext jobs_;
    std::atomic<bool> isDraining_ = false;
    http::Server server_;
};

} // namespace agatevane::entry
