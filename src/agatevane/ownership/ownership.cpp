#include "agatevane/ownership/ownership.h"

#include "agatevane/base/hash.h"
#include <algorithm>

namespace agatevane::ownership {

namespace {

    //! 1 or 2 for the standbys named in the newest known record, else 0.
    int standbyRank(const State& state)
    {
        if (!state.record)
            return 0;
        for (std::size_t i = 0; i < state.record->standbys.size(); ++i) {
            if (state.record->standbys[i] == state.self)
                return static_cast<int>(i) + 1;
        }
        return 0;
    }

    //! Standbys in regions other than the owner's come first, so that the loss of one region leaves a standby.
    std::vector<MemberId> chooseStandbys(const State& state, const MemberId& owner)
    {
        auto regionOf = [&](const MemberId& member) {
            for (const auto& candidate : state.candidates) {
                if (candidate.member == member)
                    return candidate.region;
            }
            return RegionId {};
        };
        auto ownRegion = regionOf(owner);
        std::vector<Candidate> others;
        for (const auto& candidate : state.candidates) {
            if (candidate.member != owner)
                others.push_back(candidate);
        }
        auto rank = [&](const Candidate& candidate) {
            return std::make_pair(
                candidate.region == ownRegion, hash64(state.dataCentre.value + "/standby/" + candidate.member.value));
        };
        std::sort(
            others.begin(), others.end(), [&](const Candidate& a, const Candidate& b) { return rank(a) < rank(b); });
        std::vector<MemberId> standbys;
        for (std::size_t i = 0; i < others.size() && i + 1 < epochsPerBlock; ++i)
            standbys.push_back(others[i].member);
        return standbys;
    }

    void readRecord(State& state, Result& result, Instant at)
    {
        StoreCall call { .id = state.nextCallId++, .readFrom = recordKey(state.dataCentre) };
        state.pendingCall = call.id;
        state.isPendingWrite = false;
        state.pendingSentAt = at;
        state.nextStoreTry = at + state.timing.storeRetry;
        result.calls.push_back(std::move(call));
    }

    void writeRecord(State& state, const MemberId& owner, Result& result, Instant at)
    {
        OwnerRecord next;
        next.epoch = std::max(state.highestEpoch + 1, state.record ? state.record->epoch + epochsPerBlock : 1);
        next.owner = owner;
        next.standbys = chooseStandbys(state, owner);
        StoreCall call { .id = state.nextCallId++ };
        next.token = state.self.value + "/" + state.incarnation + "/" + std::to_string(call.id);
        call.compares.push_back({ recordKey(state.dataCentre), state.revision });
        call.puts.emplace_back(recordKey(state.dataCentre), encode(next));
        state.pendingCall = call.id;
        state.isPendingWrite = true;
        state.pendingSentAt = at;
        state.nextStoreTry = at + state.timing.storeRetry;
        state.unresolved = next;
        state.unresolvedToken = next.token;
        result.calls.push_back(std::move(call));
    }

    void lose(State& state, Result& result, const std::string& reason)
    {
        if (state.role == Role::Owner) {
            result.lost = true;
            result.reason = reason;
        }
        state.role = Role::NotOwner;
        state.holdsRecord = false;
        state.isProven = false;
        state.isReleasing = false;
    }

    void becomeOwner(State& state, Epoch epoch, bool holdsRecord, Instant provenAt, Result& result)
    {
        state.role = Role::Owner;
        state.epoch = epoch;
        state.highestEpoch = std::max(state.highestEpoch, epoch);
        state.holdsRecord = holdsRecord;
        state.believedOwner = state.self;
        state.nextHeartbeat = provenAt;
        if (holdsRecord) {
            state.isProven = true;
            state.provenAt = provenAt;
        }
        result.becameOwner = true;
    }

    void adoptWritten(State& state, std::int64_t revision, Result& result)
    {
        state.record = state.unresolved;
        state.revision = revision;
        state.isRecordKnown = true;
        state.unresolvedToken.clear();
        if (state.record->owner != state.self) {
            state.highestEpoch = std::max(state.highestEpoch, state.record->epoch);
            state.believedOwner = state.record->owner;
            lose(state, result, "released to " + state.record->owner.value);
            return;
        }
        becomeOwner(state, state.record->epoch, true, state.pendingSentAt, result);
    }

    void adoptRead(State& state, const StoreReply& reply, Result& result, Instant at)
    {
        state.isRecordKnown = true;
        state.isRecordStale = false;
        std::optional<OwnerRecord> record;
        std::int64_t revision = 0;
        if (!reply.values.empty()) {
            record = decodeOwnerRecord(reply.values.front().value);
            revision = reply.values.front().revision;
        }
        bool isOurs = record && !state.unresolvedToken.empty() && record->token == state.unresolvedToken;
        if (isOurs) {
            adoptWritten(state, revision, result);
            return;
        }
        state.unresolvedToken.clear();
        bool hasChanged = revision != state.revision;
        state.record = record;
        state.revision = revision;
        if (!record)
            return;
        if (state.role == Role::Owner && record->epoch > state.epoch) {
            state.highestEpoch = std::max(state.highestEpoch, record->epoch);
            state.believedOwner = record->owner;
            state.lastHeard = at;
            lose(state, result, "the record names " + record->owner.value);
            return;
        }
        if (state.role == Role::Owner && state.holdsRecord && hasChanged) {
            lose(state, result, "the owner record was changed");
            return;
        }
        if (state.role == Role::Owner && state.holdsRecord)
            prove(state, state.pendingSentAt);
        if (state.role == Role::NotOwner && record->epoch > state.highestEpoch) {
            // A new record counts as a sign of life, so that its owner has time to send the first heartbeat.
            state.highestEpoch = record->epoch;
            state.believedOwner = record->owner;
            state.lastHeard = at;
        }
    }

    Millis silenceAllowed(const State& state)
    {
        if (!state.record)
            return state.timing.preferenceStep * preferenceOf(state, state.self);
        // The record is of an earlier start of this scheduler, or of an owner that handed over to it.
        if (state.record->owner == state.self && state.highestEpoch <= state.record->epoch)
            return Millis { 0 };
        switch (standbyRank(state)) {
        case 1:
            return state.timing.firstStandbySilence;
        case 2:
            return state.timing.secondStandbySilence;
        default:
            return state.timing.otherSilence + state.timing.preferenceStep * preferenceOf(state, state.self) / 2;
        }
    }

    //! A standby that cannot reach the store takes over under the epoch allocated to it beforehand.
    void takePreallocated(State& state, Instant at, Result& result)
    {
        auto rank = standbyRank(state);
        if (rank == 0 || state.role == Role::Owner || elapsed(state.lastHeard, at) < silenceAllowed(state))
            return;
        auto epoch = state.record->epoch + static_cast<Epoch>(rank);
        if (epoch <= state.highestEpoch)
            return;
        becomeOwner(state, epoch, false, at, result);
    }

} // namespace

State makeState(const DataCentreId& dataCentre, const RegionId& region, const MemberId& self,
    const std::string& incarnation, const std::vector<Candidate>& candidates, Instant at)
{
    State state {
        .dataCentre = dataCentre, .region = region, .self = self, .incarnation = incarnation, .candidates = candidates
    };
    state.startedAt = state.lastHeard = state.nextHeartbeat = state.nextStoreTry = at;
    return state;
}

void prove(State& state, Instant sentAt)
{
    if (state.role != Role::Owner)
        return;
    if (!state.isProven || sentAt > state.provenAt)
        state.provenAt = sentAt;
    state.isProven = true;
}

Instant deadlineOf(const State& state)
{
    return state.isProven ? state.provenAt + state.timing.deadline : Instant::min();
}

bool mayAct(const State& state, Instant at)
{
    return state.role == Role::Owner && at < deadlineOf(state);
}

Result onEpoch(State& state, Epoch epoch)
{
    Result result;
    if (epoch <= state.highestEpoch)
        return result;
    state.highestEpoch = epoch;
    state.isRecordStale = true;
    if (state.role == Role::Owner)
        lose(state, result, "epoch " + std::to_string(epoch) + " was seen");
    return result;
}

Result onHeartbeat(State& state, const MemberId& owner, Epoch epoch, Instant at)
{
    Result result;
    if (epoch < state.highestEpoch || owner == state.self) {
        if (owner == state.self && epoch > state.highestEpoch)
            result = onEpoch(state, epoch); // another scheduler handed its ownership over to this one
        return result;
    }
    result = onEpoch(state, epoch);
    if (state.role == Role::Owner)
        return result;
    state.believedOwner = owner;
    state.lastHeard = at;
    return result;
}

Result onStoreReply(State& state, const StoreReply& reply, Instant at)
{
    Result result;
    if (reply.id != state.pendingCall)
        return result;
    bool wasWrite = state.isPendingWrite;
    state.pendingCall = 0;
    switch (reply.outcome) {
    case StoreOutcome::Done:
        state.nextStoreTry = at;
        if (wasWrite)
            adoptWritten(state, reply.revision, result);
        else
            adoptRead(state, reply, result, at);
        break;
    case StoreOutcome::Conflict:
        // A repeated delivery of a write that took effect also reports a conflict; the read compares the token.
        state.isRecordStale = true;
        state.nextStoreTry = at;
        break;
    case StoreOutcome::NoEffect:
        if (wasWrite)
            state.unresolvedToken.clear();
        takePreallocated(state, at, result);
        break;
    case StoreOutcome::Unknown:
        takePreallocated(state, at, result);
        break;
    }
    return result;
}

Result tick(State& state, Instant at)
{
    Result result;
    if (state.role == Role::Owner && at >= state.nextHeartbeat) {
        result.sendHeartbeat = true;
        state.nextHeartbeat = at + state.timing.heartbeat;
    }
    constexpr Millis answerTimeout { 3000 }; // longer than the client's own timeout, which reports Unknown
    if (state.pendingCall != 0 && elapsed(state.pendingSentAt, at) > answerTimeout)
        state.pendingCall = 0;
    if (state.pendingCall != 0 || at < state.nextStoreTry)
        return result;
    // A write whose answer was lost is resolved before anything else is decided on the record.
    if (!state.isRecordKnown || state.isRecordStale || !state.unresolvedToken.empty()) {
        readRecord(state, result, at);
        return result;
    }
    if (state.role == Role::Owner) {
        // Without a reachable worker, only the store can tell that no other scheduler has taken over.
        if (!state.holdsRecord)
            writeRecord(state, state.self, result, at);
        else if (elapsed(state.provenAt, at) > state.timing.deadline / 2)
            readRecord(state, result, at);
        return result;
    }
    if (elapsed(state.lastHeard, at) >= silenceAllowed(state))
        writeRecord(state, state.self, result, at);
    return result;
}

Result release(State& state, Instant at)
{
    Result result;
    if (state.role != Role::Owner)
        return result;
    if (!state.holdsRecord || !state.record || state.record->standbys.empty()) {
        lose(state, result, "released");
        return result;
    }
    if (state.isReleasing || state.pendingCall != 0)
        return result;
    state.isReleasing = true;
    writeRecord(state, state.record->standbys.front(), result, at);
    return result;
}

} // namespace agatevane::ownership
