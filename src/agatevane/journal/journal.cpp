#include "agatevane/journal/journal.h"

#include "agatevane/base/hash.h"
#include <algorithm>

namespace agatevane::journal {

namespace {

    //! Makes the call conflict if the owner record has changed.
    StoreCall& requireOwnership(const State& state, StoreCall& call)
    {
        call.compares.push_back({ state.ownerKey, state.ownerRevision });
        return call;
    }

    StoreCall send(State& state, StoreCall call, Phase phase, Instant at)
    {
        call.id = state.nextCallId++;
        state.currentCallId = call.id;
        state.phase = phase;
        state.sentAt = at;
        return call;
    }

    void formBatch(State& state)
    {
        std::vector<std::string> encoded;
        std::size_t bytes = 128; // Braces, token and field names.
        while (!state.pending.empty()) {
            bytes += state.pending.front().encoded.size() + 1;
            if (bytes > maxBatchBytes && !state.batch.empty())
                break;
            encoded.push_back(state.pending.front().encoded);
            state.batch.push_back(std::move(state.pending.front()));
            state.pending.pop_front();
        }
        auto batchSequence = state.nextBatchSequence++;
        state.batchKey = journalPrefix(state.dataCentre) + toHex(state.epoch) + "-" + toHex(batchSequence);
        state.batchToken = state.tokenPrefix + "/" + std::to_string(batchSequence);
        state.batchValue = encodeBatch(state.batchToken, encoded);
        state.mayHaveEffect = false;
        state.mustReadBack = false;
        state.hadConflict = false;
    }

    void commit(State& state, Result& result)
    {
        for (const auto& pending : state.batch)
            applyRecord(state, pending.record);
        result.committed = std::move(state.batch);
        state.batch.clear();
        ++state.batchesSinceCompaction;
    }

    void drop(State& state, Result& result)
    {
        for (auto& pending : state.batch)
            result.dropped.push_back(std::move(pending));
        state.batch.clear();
    }

    void markFenced(State& state, Result& result)
    {
        state.isFenced = true;
        result.wasFenced = true;
        drop(state, result);
    }

    //! Handles a batch that did not reach the store: new jobs are refused, outcomes stay queued.
    void refuseNewJobs(State& state, Result& result)
    {
        for (auto entry = state.batch.rbegin(); entry != state.batch.rend(); ++entry) {
            if (entry->record.kind == RecordKind::Accepted)
                result.dropped.push_back(std::move(*entry));
            else
                state.pending.push_front(std::move(*entry));
        }
        state.batch.clear();
    }

    void onWritten(State& state, const StoreReply& reply, Result& result)
    {
        switch (reply.outcome) {
        case StoreOutcome::Done:
            commit(state, result);
            break;
        case StoreOutcome::Conflict:
            // An earlier or duplicate delivery may have written the batch; the token stored under the key shows whether
            // it did.
            state.mustReadBack = true;
            state.hadConflict = true;
            break;
        case StoreOutcome::NoEffect:
            if (!state.mayHaveEffect)
                refuseNewJobs(state, result);
            break;
        case StoreOutcome::Unknown:
            state.mayHaveEffect = true;
            state.mustReadBack = true;
            break;
        }
    }

    void onReadBack(State& state, const StoreReply& reply, Result& result)
    {
        if (reply.outcome != StoreOutcome::Done)
            return;
        const StoreValue* ownBatch = nullptr;
        for (const auto& value : reply.values) {
            if (value.key == state.batchKey)
                ownBatch = &value;
        }
        auto stored = ownBatch ? decodeBatch(ownBatch->value) : std::nullopt;
        if (stored && stored->token == state.batchToken)
            commit(state, result);
        else if (state.hadConflict)
            markFenced(state, result); // The owner record has changed, so no delayed write can succeed either.
        else
            // The batch is written again under the same key, so a delayed first write cannot add a second batch.
            state.mustReadBack = false;
    }

    void onReplayPage(State& state, const StoreReply& reply, Result& result)
    {
        if (reply.outcome != StoreOutcome::Done)
            return;
        for (const auto& value : reply.values) {
            if (auto batch = decodeBatch(value.value)) {
                for (const auto& record : batch->records)
                    applyRecord(state, record);
            }
            if (value.key.starts_with(journalPrefix(state.dataCentre)))
                ++state.batchesSinceCompaction;
        }
        if (!reply.values.empty()) {
            state.replayFrom = reply.values.back().key + '\0';
            return;
        }
        if (state.replayFrom.starts_with(snapshotPrefix(state.dataCentre))) {
            state.replayFrom = journalPrefix(state.dataCentre);
            return;
        }
        state.isReplayed = true;
        result.didFinishReplay = true;
    }

    StoreCall replayCall(const State& state)
    {
        auto prefix = state.replayFrom.starts_with(snapshotPrefix(state.dataCentre)) ? snapshotPrefix(state.dataCentre)
                                                                                     : journalPrefix(state.dataCentre);
        return { .readFrom = state.replayFrom, .readEnd = prefixEnd(prefix) };
    }

} // namespace

std::string journalPrefix(const DataCentreId& dataCentre)
{
    return "/agatevane/journal/" + dataCentre.value + "/";
}

std::string snapshotPrefix(const DataCentreId& dataCentre)
{
    return "/agatevane/snapshot/" + dataCentre.value + "/";
}

State makeState(const DataCentreId& dataCentre, const std::string& ownerKey, Epoch epoch, std::int64_t ownerRevision,
    const std::string& tokenPrefix, Instant at)
{
    State state { .dataCentre = dataCentre, .ownerKey = ownerKey };
    state.epoch = epoch;
    state.ownerRevision = ownerRevision;
    state.tokenPrefix = tokenPrefix;
    state.nextCommitAt = state.nextAttemptAt = at;
    state.replayFrom = snapshotPrefix(dataCentre);
    return state;
}

std::uint64_t append(State& state, Record record)
{
    auto sequence = state.nextRecordSequence++;
    auto encoded = encode(record);
    state.pending.push_back({ sequence, std::move(record), std::move(encoded) });
    return sequence;
}

bool isAvailable(const State& state)
{
    return state.isReplayed && !state.isFenced && !state.isStoreUnavailable;
}

Result tick(State& state, Instant at)
{
    Result result;
    if (state.phase != Phase::Idle && elapsed(state.sentAt, at) > state.timing.answerTimeout)
        result = onStoreReply(state, { .id = state.currentCallId, .outcome = StoreOutcome::Unknown }, at);
    if (state.isFenced || state.phase != Phase::Idle || at < state.nextAttemptAt)
        return result;
    if (!state.isReplayed) {
        result.call = send(state, replayCall(state), Phase::Replaying, at);
        return result;
    }
    if (!state.batch.empty() && state.mustReadBack) {
        result.call = send(state, { .readFrom = state.batchKey }, Phase::Reading, at);
        return result;
    }
    if (state.batch.empty() && !state.pending.empty() && at >= state.nextCommitAt) {
        formBatch(state);
        state.nextCommitAt = at + state.timing.commitInterval;
    }
    if (!state.batch.empty()) {
        StoreCall call;
        requireOwnership(state, call).compares.push_back({ state.batchKey, 0 });
        call.puts.emplace_back(state.batchKey, state.batchValue);
        result.call = send(state, std::move(call), Phase::Writing, at);
        return result;
    }
    if (state.compaction.empty() && state.batchesSinceCompaction > state.timing.batchesBeforeCompaction)
        planCompaction(state);
    if (!state.compaction.empty()) {
        auto call = state.compaction.front();
        result.call = send(state, std::move(requireOwnership(state, call)), Phase::Compacting, at);
    }
    return result;
}

Result onStoreReply(State& state, const StoreReply& reply, Instant at)
{
    Result result;
    if (state.phase == Phase::Idle || reply.id != state.currentCallId)
        return result;
    auto phase = state.phase;
    state.phase = Phase::Idle;
    bool isAnswered = reply.outcome == StoreOutcome::Done || reply.outcome == StoreOutcome::Conflict;
    state.isStoreUnavailable = !isAnswered;
    if (!isAnswered)
        state.nextAttemptAt = at + state.timing.retryDelay;
    switch (phase) {
    case Phase::Writing:
        onWritten(state, reply, result);
        break;
    case Phase::Reading:
        onReadBack(state, reply, result);
        break;
    case Phase::Compacting:
        if (reply.outcome == StoreOutcome::Conflict) {
            markFenced(state, result);
        } else if (reply.outcome == StoreOutcome::Done) {
            state.compaction.pop_front();
            if (state.compaction.empty()) {
                for (const auto& job : state.compactedOutcomes)
                    state.jobs[job].isOutcomeCompacted = true;
                state.compactedOutcomes.clear();
            }
        }
        break;
    case Phase::Replaying:
        onReplayPage(state, reply, result);
        break;
    case Phase::Idle:
        break;
    }
    return result;
}

std::vector<PendingRecord> takeUnsent(State& state)
{
    std::vector<PendingRecord> unsent(
        std::make_move_iterator(state.pending.begin()), std::make_move_iterator(state.pending.end()));
    state.pending.clear();
    return unsent;
}

void applyRecord(State& state, const Record& record)
{
    auto& job = state.jobs[record.spec.id];
    if (record.kind == RecordKind::Accepted) {
        job.isAccepted = true;
        if (!job.outcome)
            job.spec = record.spec;
        return;
    }
    if (job.outcome)
        return;
    job.outcome = record;
    job.outcomeOrder = state.nextOutcomeOrder++;
}

} // namespace agatevane::journal
