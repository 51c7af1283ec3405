#pragma once

#include "agatevane/shard_owner/shard_owner.h"

//! Steps shared by the source files of this module.
namespace agatevane::shard_owner {

using Actions = std::vector<Action>;

// ownership and stages (step.cpp)
void apply(State& state, const ownership::Result& result, Instant at, Actions& actions);
void apply(State& state, journal::Result result, Instant at, Actions& actions);

// takeover.cpp
void beginCollecting(State& state, Instant at);
void collect(State& state, TrackedWorker& link, const WorkerReport& report, Instant sentAt, Instant at);
void advanceStage(State& state, Instant at, Actions& actions);
void dropTenure(State& state, Instant at, Actions& actions);

// workers.cpp
void changeFleet(State& state, const FleetChanged& fleet, Instant at);
void pollWorkers(State& state, Instant at, Actions& actions);
void onReport(State& state, const ReportArrived& input, Instant at, Actions& actions);
void onCommandAnswer(State& state, const CommandAnswered& input, Instant at, Actions& actions);
void updateAvailability(State& state, Instant at);
void send(State& state, gang::Command command, Instant at, Actions& actions);
void countFailure(State& state, const WorkerId& worker, Instant at, Actions& actions);
void countSuccess(State& state, const WorkerId& worker);

// gangs.cpp
//! Advances all gangs, or only those that the current input touched.
void advanceGangs(State& state, bool isAll, Instant at, Actions& actions);
OwnedGang& addGang(State& state, gang::Gang gang);
void decideNow(State& state, Instant at, Actions& actions);
void charge(State& state, OwnedGang& owned, const JobSpec& spec);

// jobs.cpp
void submit(State& state, const SubmitArrived& input, Instant at, Actions& actions);
void cancel(State& state, const CancelArrived& input, Instant at, Actions& actions);
//! Appends the outcome unless one is already on its way. Returns the record's sequence, or 0.
std::uint64_t recordFinal(State& state, const JobId& job, journal::Record record);
void requeue(State& state, Job& job, Millis delay, Instant at);
void advanceJobs(State& state, Instant at, Actions& actions);
void onCommitted(State& state, const journal::PendingRecord& pending, Instant at, Actions& actions);
void onDropped(State& state, const journal::PendingRecord& pending, bool isFenced, Instant at, Actions& actions);
void answerAll(State& state, std::uint64_t ticket, SubmitResult submitResult, JobReplyStatus cancelStatus, Instant at,
    Actions& actions);

} // namespace agatevane::shard_owner
