#pragma once

#include "agatevane/fleet/state.h"
#include <string>
#include <vector>

//! The stored progress of one task, of which the progress record and the parts consist.
namespace agatevane::fleet {

struct TaskRecord {
    bool isDone = false;
    std::vector<RunNumber> failedRuns;
    RunNumber highestRun = 0;
    std::string checkpoint;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(isDone, failedRuns, highestRun, checkpoint);
    }
};

//! The task's run, which is not stored, stays as it is.
void restoreTask(Task& task, TaskRecord record);

//! Counts a failed run, unless it was counted before. Of many failures only the newest are remembered: an earlier run
//! than those was counted.
void noteFailedRun(Task& task, RunNumber run);
void noteFailedWorker(Task& task, const WorkerId& worker);

} // namespace agatevane::fleet
