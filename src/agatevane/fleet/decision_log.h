#pragma once

#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/workers.h"

//! Log lines of decisions that need a look at more of the state than the decision itself.
namespace agatevane::fleet {

//! How many runs a cancelled job has by its tasks and by the workers, and how many of these are being stopped.
void logCancelled(const Fleet& fleet, const Job& job, Instant at);
//! A worker that is about to be removed from the state.
void logRemoved(const Worker& worker, Instant at);
//! A run that a worker has reported and that this owner has not ordered there.
void logUnknownRun(const Fleet& fleet, const Worker& worker, const RunningReport& report, bool isWanted, Instant at);
//! The end of a run, with the write that has to be durable before the end is acknowledged; 0: none.
void logEnd(const Worker& worker, const EndReport& end, CommitSequence sequence);
//! What became of the acknowledgement in the poll that was in flight. Nothing if it had none. Without `answeredBy`, no
//! incarnation has answered.
void logAcknowledgement(const Worker& worker, std::optional<std::int64_t> answeredBy);
//! A run that is left alone, because its job's records can't be read.
void logHeldRun(const Fleet& fleet, const Worker& worker, const RunningReport& report);
//! The end of a run whose task has another run. Nothing if the run is its task's, or the task is idle or unknown.
void logEndOfOtherRun(Fleet& fleet, const Worker& worker, const EndReport& end);

} // namespace agatevane::fleet
