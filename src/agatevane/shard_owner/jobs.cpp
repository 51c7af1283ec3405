#include "agatevane/shard_owner/internal.h"
#include <algorithm>

namespace agatevane::shard_owner {

namespace {

    void refuse(State& state, RequestId request, SubmitResult result, const std::string& reason, Millis retryAfter,
        Actions& actions)
    {
        ++state.counters.jobsRefused;
        actions.emplace_back(AnswerSubmit { request,
            { .result = result,
                .reason = reason,
                .retryAfterMs = retryAfter.count(),
                .owner = result == SubmitResult::NotOwner ? state.owner.lastKnownOwner : MemberId {} } });
    }

    //! The journal sequence of a record of `job` that is not durable yet; 0 if there is none.
    std::uint64_t pendingSequence(const State& state, const JobId& job)
    {
        auto matches = [&](const journal::PendingRecord& pending) { return pending.record.spec.id == job; };
        const auto& journal = *state.journal;
        auto sent = std::find_if(journal.batch.begin(), journal.batch.end(), matches);
        if (sent != journal.batch.end())
            return sent->sequence;
        auto unsentRecord = std::find_if(journal.pending.begin(), journal.pending.end(), matches);
        return unsentRecord != journal.pending.end() ? unsentRecord->sequence : 0;
    }

    void answerCancel(
        const State& state, const PendingReply& pendingReply, JobReplyStatus status, Instant at, Actions& actions)
    {
        JobReply reply { .status = status, .owner = state.owner.lastKnownOwner };
        if (status == JobReplyStatus::Found)
            reply = jobStatus(state, pendingReply.job, at);
        actions.emplace_back(AnswerCancel { pendingReply.request, std::move(reply) });
    }

    void expirePendingReplies(State& state, Instant at, Actions& actions)
    {
        std::vector<std::uint64_t> overdue;
        for (const auto& [sequence, list] : state.pendingReplies) {
            if (std::any_of(list.begin(), list.end(),
                    [&](const PendingReply& pendingReply) { return at >= pendingReply.deadline; }))
                overdue.push_back(sequence);
        }
        for (auto sequence : overdue) {
            auto& unsentRecords = state.journal->pending;
            auto position = std::find_if(unsentRecords.begin(), unsentRecords.end(),
                [&](const journal::PendingRecord& pending) { return pending.sequence == sequence; });
            bool isWithdrawn
                = position != unsentRecords.end() && position->record.kind == journal::RecordKind::Accepted;
            if (isWithdrawn) {
                state.jobs.erase(position->record.spec.id);
                unsentRecords.erase(position);
            }
            answerPending(state, sequence, isWithdrawn ? SubmitResult::Unavailable : SubmitResult::Unknown,
                JobReplyStatus::Unknown, at, actions);
        }
    }

} // namespace

void answerPending(State& state, std::uint64_t sequence, SubmitResult submitResult, JobReplyStatus cancelStatus,
    Instant at, Actions& actions)
{
    auto waiting = state.pendingReplies.extract(sequence);
    if (waiting.empty())
        return;
    for (const auto& pendingReply : waiting.mapped()) {
        if (!pendingReply.isSubmit) {
            answerCancel(state, pendingReply, cancelStatus, at, actions);
            continue;
        }
        bool isRepeat = pendingReply.isRepeat && submitResult == SubmitResult::Accepted;
        SubmitJobReply reply { .result = isRepeat ? SubmitResult::Duplicate : submitResult };
        if (submitResult == SubmitResult::NotOwner)
            reply.owner = state.owner.lastKnownOwner;
        if (submitResult == SubmitResult::Unavailable)
            reply.retryAfterMs = 1000;
        actions.emplace_back(AnswerSubmit { pendingReply.request, std::move(reply) });
    }
}

void submit(State& state, const SubmitArrived& input, Instant at, Actions& actions)
{
    constexpr Millis shortRetryDelay { 1000 };
    constexpr Millis longRetryDelay { 5000 };
    const auto& spec = input.spec;
    if (state.owner.role != ownership::Role::Owner || spec.dataCentre != state.owner.dataCentre) {
        refuse(state, input.request, SubmitResult::NotOwner,
            "another scheduler owns data centre " + spec.dataCentre.value, shortRetryDelay, actions);
        return;
    }
    if (state.stage != Stage::Serving) {
        refuse(state, input.request, SubmitResult::Unavailable, "the owner is still taking over the data centre",
            shortRetryDelay, actions);
        return;
    }
    auto known = state.journal->jobs.find(spec.id);
    if (known != state.journal->jobs.end()) {
        actions.emplace_back(AnswerSubmit { input.request, { .result = SubmitResult::Duplicate } });
        return;
    }
    PendingReply pendingReply { .request = input.request, .job = spec.id, .deadline = at + state.timing.replyTimeout };
    if (state.jobs.contains(spec.id)) {
        pendingReply.isRepeat = true;
        state.pendingReplies[pendingSequence(state, spec.id)].push_back(pendingReply);
        return;
    }
    if (!journal::isAvailable(*state.journal) || !ownership::isOwnershipValid(state.owner, at)) {
        refuse(state, input.request, SubmitResult::Unavailable,
            "the store does not answer or the ownership deadline has passed", longRetryDelay, actions);
        return;
    }
    if (state.journal->pending.size() >= state.timing.maxPendingRecords) {
        refuse(state, input.request, SubmitResult::Overloaded,
            std::to_string(state.journal->pending.size()) + " records wait for the store, the limit is "
                + std::to_string(state.timing.maxPendingRecords),
            longRetryDelay, actions);
        return;
    }
    auto impossible = spec.payload.size() > journal::maxPayloadBytes
        ? std::optional<std::string>("the payload of " + std::to_string(spec.payload.size()) + " bytes exceeds "
            + std::to_string(journal::maxPayloadBytes) + " bytes")
        : scheduling::impossibleReason(*state.shard, spec);
    if (impossible) {
        refuse(state, input.request, SubmitResult::Impossible, *impossible, Millis { 0 }, actions);
        return;
    }
    state.jobs.emplace(spec.id, Job { .spec = spec, .queuedAt = at });
    auto sequence = journal::append(*state.journal, { .kind = journal::RecordKind::Accepted, .spec = spec });
    state.pendingReplies[sequence].push_back(pendingReply);
}

void cancel(State& state, const CancelArrived& input, Instant at, Actions& actions)
{
    PendingReply pendingReply {
        .request = input.request, .isSubmit = false, .job = input.job, .deadline = at + state.timing.replyTimeout
    };
    if (state.owner.role != ownership::Role::Owner) {
        answerCancel(state, pendingReply, JobReplyStatus::NotOwner, at, actions);
        return;
    }
    if (state.stage != Stage::Serving || !journal::isAvailable(*state.journal)) {
        answerCancel(state, pendingReply, JobReplyStatus::Unavailable, at, actions);
        return;
    }
    auto job = state.jobs.find(input.job);
    if (job == state.jobs.end()) {
        bool isKnown = state.journal->jobs.contains(input.job);
        answerCancel(state, pendingReply, isKnown ? JobReplyStatus::Found : JobReplyStatus::NotFound, at, actions);
        return;
    }
    auto sequence
        = recordOutcome(state, input.job, { .kind = journal::RecordKind::Cancelled, .spec = { .id = input.job } });
    if (sequence == 0)
        sequence = pendingSequence(state, input.job); // an outcome is already being recorded
    state.pendingReplies[sequence].push_back(pendingReply);
}

std::uint64_t recordOutcome(State& state, const JobId& id, journal::Record record)
{
    auto& job = state.jobs.at(id);
    if (job.pendingOutcome)
        return 0;
    job.pendingOutcome = record.kind;
    job.reason = record.reason;
    return journal::append(*state.journal, std::move(record));
}

void requeue(State& state, Job& job, Millis delay, Instant at)
{
    if (job.pendingOutcome || !job.isAccepted)
        return;
    job.state = JobState::Queued;
    job.retryAt = at + delay;
    state.needsDecision = true;
}

void advanceJobs(State& state, Instant at, Actions& actions)
{
    expirePendingReplies(state, at, actions);
    for (auto& [id, job] : state.jobs) {
        if (!job.retryAt || at < *job.retryAt)
            continue;
        job.retryAt.reset();
        scheduling::enqueue(*state.shard, job.spec, job.queuedAt, job.checkpointedWorkMs);
        state.needsDecision = true;
    }
}

void onCommitted(State& state, const journal::PendingRecord& pending, Instant at, Actions& actions)
{
    const auto& record = pending.record;
    auto position = state.jobs.find(record.spec.id);
    if (record.kind == journal::RecordKind::Accepted) {
        if (position != state.jobs.end()) {
            position->second.isAccepted = true;
            requeue(state, position->second, Millis { 0 }, at);
        }
        ++state.counters.jobsAccepted;
        actions.emplace_back(Event { EventKind::JobAccepted, record.spec.id.value, record.spec.workspace.value });
    } else {
        state.counters.jobsFinished += record.kind == journal::RecordKind::Finished ? 1 : 0;
        actions.emplace_back(Event { EventKind::JobFinal, record.spec.id.value, std::string(nameOf(record.kind)) });
        if (position != state.jobs.end()) {
            auto owned = state.gangs.find(position->second.attempt);
            if (owned != state.gangs.end()) {
                if (owned->second.gang.phase == gang::Phase::Finished)
                    owned->second.gang.phase = gang::Phase::Ended;
                else
                    gang::stop(owned->second.gang, gang::Cause::Cancelled, std::string(nameOf(record.kind)), at);
                state.changedGangs.insert(owned->first);
            } else {
                scheduling::dequeue(*state.shard, record.spec.id);
            }
            state.jobs.erase(position);
            state.needsDecision = true;
        }
    }
    answerPending(state, pending.sequence, SubmitResult::Accepted, JobReplyStatus::Found, at, actions);
}

void onDropped(State& state, const journal::PendingRecord& pending, bool isFenced, Instant at, Actions& actions)
{
    if (pending.record.kind == journal::RecordKind::Accepted)
        state.jobs.erase(pending.record.spec.id);
    answerPending(state, pending.sequence, isFenced ? SubmitResult::NotOwner : SubmitResult::Unavailable,
        isFenced ? JobReplyStatus::NotOwner : JobReplyStatus::Unavailable, at, actions);
}

} // namespace agatevane::shard_owner
