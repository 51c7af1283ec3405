#include "entry/report_poller.h"

namespace agatevane::entry {

namespace {

    //! Number of threads that request reports. A few workers that do not answer must not delay the reports of the
    //! others beyond the interval.
    constexpr int threadCount = 8;
    constexpr Millis reportTimeout { 500 };

} // namespace

ReportPoller::ReportPoller(WorkerRouter& router, WorkerClient& workerClient, Millis interval)
    : router_(router)
    , workerClient_(workerClient)
    , interval_(interval)
{
    threads_.emplace_back([this] { scheduleRounds(); });
    for (int i = 0; i < threadCount; ++i)
        threads_.emplace_back([this] { pollTargets(); });
}

ReportPoller::~ReportPoller()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wakeUp_.notify_all();
    for (auto& thread : threads_)
        thread.join();
}

void ReportPoller::scheduleRounds()
{
    std::unique_lock lock(mutex_);
    auto nextRoundAt = now();
    while (!isStopping_) {
        lock.unlock();
        auto targets = router_.targets();
        lock.lock();
        // Targets left from the last round are dropped, so that they do not accumulate.
        pendingTargets_.assign(targets.begin(), targets.end());
        wakeUp_.notify_all();
        // While the catalogue has no workers yet, it is checked more often, so that new workers are polled soon.
        nextRoundAt = now() + (targets.empty() ? std::min(interval_, Millis(50)) : interval_);
        wakeUp_.wait_until(lock, nextRoundAt, [this, nextRoundAt] { return isStopping_ || now() >= nextRoundAt; });
    }
}

void ReportPoller::pollTargets()
{
    std::unique_lock lock(mutex_);
    while (true) {
        wakeUp_.wait(lock, [this] { return isStopping_ || !pendingTargets_.empty(); });
        if (isStopping_)
            return;
        auto target = pendingTargets_.front();
        pendingTargets_.pop_front();
        lock.unlock();
        int ownRequestsInProgress = router_.ownInProgress(target.worker);
        auto requestedAt = now();
        WorkerReport report;
        if (workerClient_.report(target.address, requestedAt + reportTimeout, report))
            router_.onReport(target.worker, report, requestedAt, ownRequestsInProgress);
        lock.lock();
    }
}

} // namespace agatevane::entry
