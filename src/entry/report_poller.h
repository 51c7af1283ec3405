#pragma once

#include "entry/worker_client.h"
#include "entry/worker_router.h"
#include <condition_variable>
#include <deque>
#include <thread>

namespace agatevane::entry {

//! Asks every worker for its report at a fixed interval, on threads of its own.
class ReportPoller {
public:
    ReportPoller(WorkerRouter& router, WorkerClient& workers, Millis interval);
    ~ReportPoller();

private:
    void schedule();
    void poll();

    WorkerRouter& router_;
    WorkerClient& workers_;
    Millis interval_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<WorkerRouter::Target> due_;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace agatevane::entry
