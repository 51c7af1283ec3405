#pragma once

#include "agatevane/shard_owner/state.h"

//! One data centre as seen by one scheduler: ownership, takeover, accepted jobs and their gangs. No I/O.
namespace agatevane::shard_owner {

State makeState(const DataCentreId& dataCentre, const RegionId& region, const MemberId& self,
    const std::string& incarnation, const std::vector<ownership::Candidate>& candidates, Instant at);

//! Carries out one input at the instant `at`, which never goes back. `Tick` is expected every 20 to 50 ms.
std::vector<Action> step(State& state, const Input& input, Instant at);

bool isServing(const State& state);

JobReply jobStatus(const State& state, const JobId& job, Instant at);
ListJobsReply listJobs(const State& state, const ListJobsRequest& request, Instant at);
ShardStatusReply shardStatus(const State& state, Instant at);

} // namespace agatevane::shard_owner
