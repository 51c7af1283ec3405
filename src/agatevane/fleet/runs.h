#pragma once

#include "agatevane/fleet/state.h"

//! The life of a run: ordered, running, being stopped, gone.
namespace agatevane::fleet {

//! Percent of its speed at which a task works unless it is told otherwise.
constexpr int fullPace = 100;
//! A start without an answer may yet be carried out for this long; the platform's late orders take up to 12 s.
constexpr Millis lateOrderBound { 12500 };

//! What is known after a start or stop order.
enum class OrderOutcome {
    Done, //!< the worker has carried it out, or had before
    Unknown, //!< no answer: it may have been carried out or may be later
    NotSent, //!< the worker was not reached
    Outdated, //!< the worker has seen this or a higher run of the task end
    Late, //!< the lease asked for had passed on the worker's clock
    NoRoom,
    Unhealthy, //!< the worker refused and has done nothing
    OtherIncarnation, //!< the worker has started anew
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

//! The room that a task of `step` takes on a worker.
Capacity roomOf(const StepSpec& step);
//! True if the step's tasks serve users within a target.
bool isServing(const StepSpec& step);
const StepSpec& stepOf(const Job& job, const TaskId& id);

//! The task of a step that keeps what all members of a gang share: failed runs and the checkpoint.
Task& sharedTask(Job& job, const TaskId& id);

//! The lowest number that no earlier owner has used for this task.
RunNumber nextRunNumber(const Fleet& fleet, const Job& job, const TaskId& id);

//! Orders a run of an idle task on `worker`.
void orderRun(Fleet& fleet, Job& job, const TaskId& id, RunNumber number, Worker& worker, Instant at);
//! Enters a run that was found on a worker. It belongs to the task if the task has no other run.
void adoptRun(Fleet& fleet, Worker& worker, const RunKey& key, bool isWanted, Instant at);
//! Frees the room of a run; its task becomes idle.
void removeRun(Fleet& fleet, Worker& worker, const RunKey& key);
//! Orders the end of a run. Its room stays taken until the worker has listed the end.
void requestStop(Run& run, Instant at);
//! Stops all members of the gang of `id`, or the run of a task outside a gang.
void stopTaskRuns(Fleet& fleet, Job& job, const TaskId& id, Instant at, std::string_view reason);
//! Stops everything that runs for `job`.
void stopJobRuns(Fleet& fleet, Job& job, Instant at);

void applyStartOutcome(Fleet& fleet, const WorkerId& worker, const RunKey& key, OrderOutcome outcome, Instant at);
void applyStopOutcome(Fleet& fleet, const WorkerId& worker, const RunKey& key, OrderOutcome outcome, Instant at);

//! Emits the start and stop orders that are due.
void emitRunOrders(Fleet& fleet, Instant at, Orders& orders);

} // namespace agatevane::fleet
