#pragma once

#include "agatevane/shard_owner/state.h"

//! The state machine with which one scheduler owns one data centre: ownership, takeover, accepted jobs and their gangs.
//! No I/O.
namespace agatevane::shard_owner {

State makeState(const DataCentreId& dataCentre, const RegionId& region, const MemberId& self,
    const std::string& incarnation, const std::vector<ownership::Candidate>& candidates, Instant at);

//! Processes one input at the instant `at` and returns the actions to carry out. `at` must not go back from one call to
//! the next. `Tick` is expected every 20 to 50 ms.
std::vector<Action> step(State& state, const Input& input, Instant at);

//! True while this scheduler owns the data centre and accepts jobs.
bool isServing(const State& state);

JobReply jobStatus(const State& state, const JobId& job, Instant at);
ListJobsReply listJobs(const State& state, const ListJobsRequest& request, Instant at);
ShardStatusReply shardStatus(const State& state, Instant at);

} // namespace agatevane::shard_owner
