#include "entry/report_poller.h"

namespace agatevane::entry {

namespace {

    //! A few workers that do not answer must not delay the reports of the others beyond the interval.
    constexpr int threadCount = 8;
    constexpr Millis reportTimeout { 500 };

} // namespace

ReportPoller::ReportPoller(WorkerRouter& router, WorkerClient& workers, Millis interval)
    : router_(router)
    , workers_(workers)
    , interval_(interval)
{
    threads_.emplace_back([this] { schedule(); });
    for (int i = 0; i < threadCount; ++i)
        threads_.emplace_back([this] { poll(); });
}

ReportPoller::~ReportPoller()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    for (auto& thread : threads_)
        thread.join();
}

void ReportPoller::schedule()
{
    std::unique_lock lock(mutex_);
    auto next = now();
    while (!isStopping_) {
        lock.unlock();
        auto targets = router_.targets();
        lock.lock();
        // What was not polled in the last round is dropped instead of piling up.
        due_.assign(targets.begin(), targets.end());
        wake_.notify_all();
        // A catalogue that has just arrived needs its first reports soon.
        next = now() + (targets.empty() ? std::min(interval_, Millis(50)) : interval_);
        wake_.wait_until(lock, next, [this, next] { return isStopping_ || now() >= next; });
    }
}

void ReportPoller::poll()
{
    std::unique_lock lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return isStopping_ || !due_.empty(); });
        if (isStopping_)
            return;
        auto target = due_.front();
        due_.pop_front();
        lock.unlock();
        int own = router_.ownInProgress(target.worker);
        auto asked = now();
        WorkerReport report;
        if (workers_.report(target.address, asked + reportTimeout, report))
            router_.onReport(target.worker, report, asked, own);
        lock.lock();
    }
}

} // namespace agatevane::entry
