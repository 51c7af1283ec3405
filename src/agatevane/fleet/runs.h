#pragma once

#include "agatevane/fleet/state.h"

//! Transitions of a run: ordered, running, being stopped, removed.
namespace agatevane::fleet {

//! Pace, in percent, of a task that is not slowed down.
constexpr int fullPace = 100;
//! A worker may still carry out an unanswered start for this long: orders on the platform are up to 12 s late.
constexpr Millis lateOrderBound { 12500 };

//! Result of a start, stop or pace order.
enum class OrderOutcome {
    Done, //!< the worker has carried out the order, now or before
    Unknown, //!< no answer: the order may have been carried out, or may be later
    NotSent, //!< the worker was not reached
    Outdated, //!< on the worker, this or a later run of the task has ended, or a later owner has sent orders
    Late, //!< on the worker's clock, the requested lease had already expired
    NoRoom, //!< the worker lacks free capacity
    Unhealthy, //!< the worker refused the order and has done nothing
    OtherIncarnation, //!< the worker has restarted
    Malformed //!< the worker could not read the order
};

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::OrderOutcome> {
    static constexpr std::array<std::pair<agatevane::fleet::OrderOutcome, std::string_view>, 9> table { {
        { agatevane::fleet::OrderOutcome::Done, "done" },
        { agatevane::fleet::OrderOutcome::Unknown, "unknown" },
        { agatevane::fleet::OrderOutcome::NotSent, "not_sent" },
        { agatevane::fleet::OrderOutcome::Outdated, "outdated" },
        { agatevane::fleet::OrderOutcome::Late, "late" },
        { agatevane::fleet::OrderOutcome::NoRoom, "no_room" },
        { agatevane::fleet::OrderOutcome::Unhealthy, "unhealthy" },
        { agatevane::fleet::OrderOutcome::OtherIncarnation, "other_lifetime" },
        { agatevane::fleet::OrderOutcome::Malformed, "malformed" },
    } };
};

namespace agatevane::fleet {

//! The capacity of a worker that is reserved for a task of `step`.
Capacity reservedCapacity(const StepSpec& step);
//! True if the step's tasks serve users and have a target for their tail latency.
bool isServing(const StepSpec& step);
const StepSpec& stepOf(const Job& job, const TaskId& id);

//! The task's run on its worker; null if the task is idle.
const Run* findTaskRun(const Fleet& fleet, const TaskId& id);

//! The next run number of a task, or of all tasks of its gang; higher than the numbers of all earlier owners.
RunNumber nextRunNumber(const Fleet& fleet, const Job& job, const TaskId& id);

//! Tasks of which a run that nobody wants is not known to have ended, or of which a start may still be carried out on a
//! worker that does not answer. Another run could go on at the same time. Such a start does not hold back tasks that
//! last, or of which copies may run.
std::set<TaskId> tasksWithOpenRun(const Fleet& fleet, Instant at);

//! The load of a worker's runs, which is kept until the worker changes.
const WorkerLoad& loadOf(const Fleet& fleet, Worker& worker);

//! Starts a run of an idle task on `worker`; its start order is emitted later.
void orderRun(Job& job, const TaskId& id, RunNumber number, Worker& worker, Instant at);
//! Notes that a worker has started a task of the job, which no longer counts as waiting.
void markStarted(Fleet& fleet, Job& job);
//! Adds a run that a worker has reported. If `isWanted`, it becomes the task's run; else it is to be stopped.
void adoptRun(Fleet& fleet, Worker& worker, const RunKey& key, bool isWanted, Instant at);
//! Adds a run that a worker has reported, of a job whose records can't be read.
void holdRun(Fleet& fleet, Worker& worker, const RunKey& key, Instant at);
//! Frees the capacity of a run; its task becomes idle.
void removeRun(Fleet& fleet, Worker& worker, const RunKey& key);
//! Removes a run that has ended without a report of its end, and stops the other members of its gang.
void loseRun(Fleet& fleet, Worker& worker, const RunKey& key, Instant at, std::string_view reason);
//! Makes the stop order of a run due. The run holds its capacity until the worker has reported the end.
void requestStop(Run& run, Instant at);
//! Stops all members of the gang of `id`, or the run of a task outside a gang.
void stopTaskRuns(Fleet& fleet, Job& job, const TaskId& id, Instant at, std::string_view reason);
//! Stops all runs of `job`.
void stopJobRuns(Fleet& fleet, Job& job, Instant at);

void applyStartOutcome(Fleet& fleet, const WorkerId& worker, const RunKey& key, OrderOutcome outcome, Instant at);
void applyStopOutcome(Fleet& fleet, const WorkerId& worker, const RunKey& key, OrderOutcome outcome, Instant at);

//! Stops runs of the workers whose starts have waited too long for their confirmation.
void abandonUnconfirmedStarts(Fleet& fleet, const std::vector<Worker*>& workers, Instant at);
//! Emits the start and stop orders that are due for runs of the workers.
void emitRunOrders(Fleet& fleet, const std::vector<Worker*>& workers, Instant at, Orders& orders);
//! When one of the two has to look at the worker unless it changes; Instant::max(): never.
Instant nextRunOrderOf(const Worker& worker);

} // namespace agatevane::fleet
