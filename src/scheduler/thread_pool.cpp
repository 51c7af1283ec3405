#include "scheduler/thread_pool.h"

namespace agatevane::scheduler {

ThreadPool::ThreadPool(int threads, std::size_t maxQueued)
    : maxQueued_(maxQueued)
{
    for (int i = 0; i < threads; ++i)
        threads_.emplace_back([this] { runTasks(); });
}

ThreadPool::~ThreadPool()
{
    stop();
}

bool ThreadPool::post(std::function<void()> task)
{
    {
        std::lock_guard lock(mutex_);
        if (isStopped_ || tasks_.size() >= maxQueued_)
            return false;
        tasks_.push_back(std::move(task));
    }
    tasksAvailable_.notify_one();
    return true;
}

void ThreadPool::stop()
{
    {
        std::lock_guard lock(mutex_);
        isStopped_ = true;
        tasks_.clear();
    }
    tasksAvailable_.notify_all();
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void ThreadPool::runTasks()
{
    while (true) {
        std::function<void()> task;
        {
            std::unique_lock lock(mutex_);
            tasksAvailable_.wait(lock, [this] { return isStopped_ || !tasks_.empty(); });
            if (isStopped_)
                return;
            task = std::move(tasks_.front());
            tasks_.pop_front();
        }
        task();
    }
}

} // namespace agatevane::scheduler
