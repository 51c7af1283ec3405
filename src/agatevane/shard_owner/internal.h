#pragma once

#include "agatevane/shard_owner/shard_owner.h"

//! Functions shared by the source files of this module.
namespace agatevane::shard_owner {

using Actions = std::vector<Action>;

// step.cpp
//! Carries out what the ownership or the journal decided.
void apply(State& state, const ownership::Result& result, Instant at, Actions& actions);
void apply(State& state, journal::Result result, Instant at, Actions& actions);

// takeover.cpp
void beginCollecting(State& state, Instant at);
//! Adds the gangs that a report shows to those found at the takeover; adopts the complete ones.
void collectReport(State& state, TrackedWorker& tracked, const WorkerReport& report, Instant sentAt, Instant at);
void advanceStage(State& state, Instant at, Actions& actions);
//! Answers the waiting requests and drops all state of the ended tenure.
void endTenure(State& state, Instant at, Actions& actions);

// workers.cpp
void applyFleet(State& state, const FleetChanged& fleet, Instant at);
void pollWorkers(State& state, Instant at, Actions& actions);
void onReport(State& state, const ReportArrived& input, Instant at, Actions& actions);
void onCommandAnswer(State& state, const CommandAnswered& input, Instant at, Actions& actions);
void updateAvailability(State& state, Instant at);
//! Sends a command, unless the ownership deadline has passed.
void sendCommand(State& state, gang::Command command, Instant at, Actions& actions);
//! Counts a failed attempt; ejects the worker for a time after too many in a row.
void recordFailure(State& state, const WorkerId& worker, Instant at, Actions& actions);
void recordSuccess(State& state, const WorkerId& worker);

// gangs.cpp
//! Advances all gangs, or only those that the current input has changed.
void advanceGangs(State& state, bool advancesAll, Instant at, Actions& actions);
OwnedGang& addGang(State& state, gang::Gang gang);
//! Makes scheduling decisions and carries them out, if the interval has passed and the ownership is valid.
void decideIfDue(State& state, Instant at, Actions& actions);
//! Charges the capacity that the gang holds to the job of `spec`.
void chargeGang(State& state, OwnedGang& owned, const JobSpec& spec);

// jobs.cpp
void submit(State& state, const SubmitArrived& input, Instant at, Actions& actions);
void cancel(State& state, const CancelArrived& input, Instant at, Actions& actions);
//! Appends the outcome to the journal, unless one is already being recorded. Returns the record's sequence, or 0.
std::uint64_t recordOutcome(State& state, const JobId& job, journal::Record record);
//! Queues the job again after `delay`, unless its outcome is being recorded or it is not accepted yet.
void requeue(State& state, Job& job, Millis delay, Instant at);
void advanceJobs(State& state, Instant at, Actions& actions);
void onCommitted(State& state, const journal::PendingRecord& pending, Instant at, Actions& actions);
//! Handles a record that the journal will never write.
void onDropped(State& state, const journal::PendingRecord& pending, bool isFenced, Instant at, Actions& actions);
//! Answers the requests that wait for the record of `sequence`.
void answerPending(State& state, std::uint64_t sequence, SubmitResult submitResult, JobReplyStatus cancelStatus,
    Instant at, Actions& actions);

} // namespace agatevane::shard_owner
