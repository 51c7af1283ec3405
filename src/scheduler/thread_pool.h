#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace agatevane::scheduler {

//! A fixed number of threads with a bounded queue.
class ThreadPool {
public:
    ThreadPool(int threads, std::size_t maxQueued);
    ~ThreadPool();
    ThreadPool(const ThreadPool&) = delete;
    ThreadPool& operator=(const ThreadPool&) = delete;

    //! False if the queue is full or the pool is stopped; the task is then not run.
    bool post(std::function<void()> task);

    //! Waits for the running tasks to finish, drops the queued ones and joins the threads.
    void stop();

private:
    void runTasks();

    std::mutex mutex_;
    std::condition_variable tasksAvailable_;
    std::deque<std::function<void()>> tasks_;
    const std::size_t maxQueued_;
    bool isStopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace agatevane::scheduler
