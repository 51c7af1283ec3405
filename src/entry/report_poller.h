#pragma once

#include "entry/worker_client.h"
#include "entry/worker_router.h"
#include <condition_variable>
#include <deque>
#include <thread>

namespace agatevane::entry {

//! Requests the report of every worker at a fixed interval, on threads of its own.
class ReportPoller {
public:
    ReportPoller(WorkerRouter& router, WorkerClient& workerClient, Millis interval);
    ~ReportPoller();

private:
    //! Starts a round of reports at each interval.
    void scheduleRounds();
    //! Requests the reports of pending targets until the poller stops.
    void pollTargets();

    WorkerRouter& router_;
    WorkerClient& workerClient_;
    Millis interval_;
    std::mutex mutex_;
    std::condition_variable wakeUp_;
    std::deque<WorkerRouter::Target> pendingTargets_;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace agatevane::entry
