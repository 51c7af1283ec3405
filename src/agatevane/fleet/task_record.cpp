#include "agatevane/fleet/task_record.h"

#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! Failures of a task that are remembered: more than can be reported again at a time.
    constexpr std::size_t maxRememberedFailures = 64;

    template <typename Value> void keepNewest(std::vector<Value>& values)
    {
        if (values.size() > maxRememberedFailures)
            values.erase(values.begin(), values.end() - maxRememberedFailures);
    }

} // namespace

void restoreTask(Task& task, TaskRecord record)
{
    task.isDone = record.isDone;
    task.failures = static_cast<std::uint32_t>(record.failedRuns.size());
    task.failedRuns = std::move(record.failedRuns);
    keepNewest(task.failedRuns);
    task.highestRun = record.highestRun;
    task.checkpoint = std::move(record.checkpoint);
}

void noteFailedRun(Task& task, RunNumber run)
{
    auto& failed = task.failedRuns;
    if (std::find(failed.begin(), failed.end(), run) != failed.end())
        return;
    bool isForgotten = failed.size() >= maxRememberedFailures && run < *std::min_element(failed.begin(), failed.end());
    if (isForgotten)
        return;
    ++task.failures;
    failed.push_back(run);
    keepNewest(failed);
}

void noteFailedWorker(Task& task, const WorkerId& worker)
{
    auto& workers = task.failedOn;
    workers.erase(std::remove(workers.begin(), workers.end(), worker), workers.end());
    workers.push_back(worker);
    keepNewest(workers);
}

} // namespace agatevane::fleet
