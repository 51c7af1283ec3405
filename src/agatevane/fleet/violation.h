#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/fleet/model.h"

//! States of the fleet that no sequence of events may lead to.
namespace agatevane::fleet {

enum class Breach {
    RunWithoutTask, //!< a wanted run is not the run of its task
    UnwantedRunNotStopped, //!< a run that belongs to no task is not being stopped
    TaskWithoutRun, //!< the worker of a task does not have the task's run
    WrongActiveCount, //!< a step's number of tasks with a worker is wrong
    WrongDoneCount, //!< a step's number of tasks that are done is wrong
    RunAfterJobEnd, //!< a run goes on for long after the end of its job, on a worker that answers
    DoneEndNotTaken, //!< a run has ended well, and its task still has to run
    StartOnUnnamedWorker, //!< a start was ordered on a worker that the stored record of workers does not name
};

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::Breach> {
    static constexpr std::array<std::pair<agatevane::fleet::Breach, std::string_view>, 8> table { {
        { agatevane::fleet::Breach::RunWithoutTask, "run_without_task" },
        { agatevane::fleet::Breach::UnwantedRunNotStopped, "unwanted_run_not_stopped" },
        { agatevane::fleet::Breach::TaskWithoutRun, "task_without_run" },
        { agatevane::fleet::Breach::WrongActiveCount, "wrong_active_count" },
        { agatevane::fleet::Breach::WrongDoneCount, "wrong_done_count" },
        { agatevane::fleet::Breach::RunAfterJobEnd, "run_after_job_end" },
        { agatevane::fleet::Breach::DoneEndNotTaken, "done_end_not_taken" },
        { agatevane::fleet::Breach::StartOnUnnamedWorker, "start_on_unnamed_worker" },
    } };
};

namespace agatevane::fleet {

//! One violated invariant.
struct Violation {
    Breach breach = Breach::RunWithoutTask;
    TaskId task; //!< for a wrong count: the first task of the step
    WorkerId worker; //!< empty: concerns no worker
    RunNumber run = 0; //!< 0: concerns no run
    std::string text;
};

} // namespace agatevane::fleet
