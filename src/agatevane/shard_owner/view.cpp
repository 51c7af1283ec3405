#include "agatevane/shard_owner/shard_owner.h"
#include <algorithm>

namespace agatevane::shard_owner {

namespace {

    JobView viewOf(const State& state, const Job& job, Instant at)
    {
        JobView view { .spec = job.spec, .state = job.state, .attempt = job.attempt, .epoch = state.owner.epoch };
        view.queuedForMs = elapsed(job.queuedAt, at).count();
        view.checkpointedMs = job.checkpointedWorkMs;
        view.reason = job.reason;
        auto owned = state.gangs.find(job.attempt);
        if (owned != state.gangs.end()) {
            for (const auto& part : owned->second.gang.parts)
                view.workers.push_back(part.worker);
            view.checkpointedMs = std::max(view.checkpointedMs, gang::checkpointedWorkMs(owned->second.gang));
            if (job.state == JobState::Running)
                view.runningForMs = elapsed(owned->second.gang.startedAt, at).count();
        }
        return view;
    }

    JobView viewOf(const journal::JournaledJob& job)
    {
        JobView view { .spec = job.spec };
        if (view.spec.id.empty())
            view.spec.id = job.outcome->spec.id;
        view.state = journal::finalState(job.outcome->kind);
        view.attempt = job.outcome->attempt;
        view.reason = job.outcome->reason;
        return view;
    }

    JobReplyStatus statusOf(const State& state)
    {
        if (state.owner.role != ownership::Role::Owner)
            return JobReplyStatus::NotOwner;
        return state.stage == Stage::Serving ? JobReplyStatus::Found : JobReplyStatus::Unavailable;
    }

} // namespace

JobReply jobStatus(const State& state, const JobId& id, Instant at)
{
    JobReply reply { .status = statusOf(state), .owner = state.owner.lastKnownOwner };
    if (reply.status != JobReplyStatus::Found)
        return reply;
    auto journalJob = state.journal->jobs.find(id);
    if (journalJob != state.journal->jobs.end() && journalJob->second.outcome) {
        reply.job = viewOf(journalJob->second);
        return reply;
    }
    auto job = state.jobs.find(id);
    if (job == state.jobs.end() || !job->second.isAccepted) {
        reply.status = JobReplyStatus::NotFound;
        return reply;
    }
    reply.job = viewOf(state, job->second, at);
    if (reply.job.reason.empty() && job->second.state == JobState::Queued)
        reply.job.reason = scheduling::explainWait(*state.shard, id, at);
    return reply;
}

ListJobsReply listJobs(const State& state, const ListJobsRequest& request, Instant at)
{
    ListJobsReply reply { .status = statusOf(state) };
    if (reply.status != JobReplyStatus::Found)
        return reply;
    // Payloads are left out, because those of 1000 jobs would exceed the size of a message frame.
    constexpr std::size_t maxJobs = 1000;
    auto limit = std::min(maxJobs, static_cast<std::size_t>(std::max(0, request.limit)));
    for (const auto& [id, job] : state.jobs) {
        if (reply.jobs.size() >= limit)
            break;
        if (!job.isAccepted || (!request.workspace.empty() && job.spec.workspace != request.workspace))
            continue;
        reply.jobs.push_back(viewOf(state, job, at));
        reply.jobs.back().spec.payload.clear();
    }
    return reply;
}

ShardStatusReply shardStatus(const State& state, Instant at)
{
    ShardStatusReply reply { .status = statusOf(state), .owner = state.owner.lastKnownOwner };
    reply.epoch = state.owner.role == ownership::Role::Owner ? state.owner.epoch : state.owner.highestEpoch;
    reply.workers = static_cast<int>(state.workers.size());
    reply.workersReachable = static_cast<int>(std::count_if(
        state.workers.begin(), state.workers.end(), [](const auto& entry) { return entry.second.isReachable; }));
    if (reply.status != JobReplyStatus::Found)
        return reply;
    auto fleet = scheduling::summarize(*state.shard);
    reply.accelerators = fleet.accelerators;
    reply.acceleratorsFree = fleet.acceleratorsFree;
    reply.largestFreeGang = fleet.largestFreeGang;
    for (const auto& [id, job] : state.jobs) {
        if (job.state == JobState::Running) {
            ++reply.jobsRunning;
        } else {
            ++reply.jobsQueued;
            reply.oldestQueuedMs = std::max(reply.oldestQueuedMs, elapsed(job.queuedAt, at).count());
        }
    }
    for (const auto& account : scheduling::workspaceAccounts(*state.shard))
        reply.workspaces.push_back({ account.id, account.guaranteed, account.effectiveGuarantee, account.used,
            account.lent, account.waiting, account.dominantShare });
    return reply;
}

} // namespace agatevane::shard_owner
