#include "agatevane/ownership/ownership.h"

#include "agatevane/base/hash.h"
#include <algorithm>

namespace agatevane::ownership {

namespace {

    //! 1 or 2 if this scheduler is the first or second standby of the newest known record, else 0.
    int standbyNumber(const State& state)
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
        state.isPendingCallWrite = false;
        state.pendingCallSentAt = at;
        state.nextStoreAttempt = at + state.timing.storeRetryPause;
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
        state.isPendingCallWrite = true;
        state.pendingCallSentAt = at;
        state.nextStoreAttempt = at + state.timing.storeRetryPause;
        state.unconfirmedRecord = next;
        state.unconfirmedToken = next.token;
        result.calls.push_back(std::move(call));
    }

    void loseOwnership(State& state, Result& result, const std::string& reason)
    {
        if (state.role == Role::Owner) {
            result.didLoseOwnership = true;
            result.reason = reason;
        }
        state.role = Role::NotOwner;
        state.holdsRecord = false;
        state.isOwnershipConfirmed = false;
        state.isReleasing = false;
    }

    void becomeOwner(State& state, Epoch epoch, bool holdsRecord, Instant confirmedAt, Result& result)
    {
        state.role = Role::Owner;
        state.epoch = epoch;
        state.highestEpoch = std::max(state.highestEpoch, epoch);
        state.holdsRecord = holdsRecord;
        state.lastKnownOwner = state.self;
        state.nextHeartbeat = confirmedAt;
        if (holdsRecord) {
            state.isOwnershipConfirmed = true;
            state.confirmedAt = confirmedAt;
        }
        result.didBecomeOwner = true;
    }

    void applyWrittenRecord(State& state, std::int64_t revision, Result& result)
    {
        state.record = state.unconfirmedRecord;
        state.revision = revision;
        state.isRecordKnown = true;
        state.unconfirmedToken.clear();
        if (state.record->owner != state.self) {
            state.highestEpoch = std::max(state.highestEpoch, state.record->epoch);
            state.lastKnownOwner = state.record->owner;
            loseOwnership(state, result, "released to " + state.record->owner.value);
            return;
        }
        becomeOwner(state, state.record->epoch, true, state.pendingCallSentAt, result);
    }

    void applyReadRecord(State& state, const StoreReply& reply, Result& result, Instant at)
    {
        state.isRecordKnown = true;
        state.isRecordStale = false;
        std::optional<OwnerRecord> record;
        std::int64_t revision = 0;
        if (!reply.values.empty()) {
            record = decodeOwnerRecord(reply.values.front().value);
            revision = reply.values.front().revision;
        }
        bool isOurs = record && !state.unconfirmedToken.empty() && record->token == state.unconfirmedToken;
        if (isOurs) {
            applyWrittenRecord(state, revision, result);
            return;
        }
        state.unconfirmedToken.clear();
        bool hasChanged = revision != state.revision;
        state.record = record;
        state.revision = revision;
        if (!record)
            return;
        if (state.role == Role::Owner && record->epoch > state.epoch) {
            state.highestEpoch = std::max(state.highestEpoch, record->epoch);
            state.lastKnownOwner = record->owner;
            state.lastOwnerSignalAt = at;
            loseOwnership(state, result, "the record names " + record->owner.value);
            return;
        }
        if (state.role == Role::Owner && state.holdsRecord && hasChanged) {
            loseOwnership(state, result, "the owner record was changed");
            return;
        }
        if (state.role == Role::Owner && state.holdsRecord)
            confirmOwnership(state, state.pendingCallSentAt);
        if (state.role == Role::NotOwner && record->epoch > state.highestEpoch) {
            // A new record counts as a sign of its owner, so that the owner has time to send the first heartbeat.
            state.highestEpoch = record->epoch;
            state.lastKnownOwner = record->owner;
            state.lastOwnerSignalAt = at;
        }
    }

    Millis takeoverTimeout(const State& state)
    {
        if (!state.record)
            return state.timing.preferenceDelay * preferenceRank(state, state.self);
        // The record was written by an earlier incarnation of this scheduler, or by an owner that handed over to it.
        if (state.record->owner == state.self && state.highestEpoch <= state.record->epoch)
            return Millis { 0 };
        switch (standbyNumber(state)) {
        case 1:
            return state.timing.firstStandbyTimeout;
        case 2:
            return state.timing.secondStandbyTimeout;
        default:
            return state.timing.nonStandbyTimeout
                + state.timing.preferenceDelay * preferenceRank(state, state.self) / 2;
        }
    }

    //! Lets a standby that cannot reach the store take over under the epoch allocated to it beforehand.
    void takePreallocatedEpoch(State& state, Instant at, Result& result)
    {
        auto rank = standbyNumber(state);
        if (rank == 0 || state.role == Role::Owner || elapsed(state.lastOwnerSignalAt, at) < takeoverTimeout(state))
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
    state.startedAt = state.lastOwnerSignalAt = state.nextHeartbeat = state.nextStoreAttempt = at;
    return state;
}

void confirmOwnership(State& state, Instant sentAt)
{
    if (state.role != Role::Owner)
        return;
    if (!state.isOwnershipConfirmed || sentAt > state.confirmedAt)
        state.confirmedAt = sentAt;
    state.isOwnershipConfirmed = true;
}

Instant ownershipDeadline(const State& state)
{
    return state.isOwnershipConfirmed ? state.confirmedAt + state.timing.validityAfterConfirmation : Instant::min();
}

bool isOwnershipValid(const State& state, Instant at)
{
    return state.role == Role::Owner && at < ownershipDeadline(state);
}

Result onEpoch(State& state, Epoch epoch)
{
    Result result;
    if (epoch <= state.highestEpoch)
        return result;
    state.highestEpoch = epoch;
    state.isRecordStale = true;
    if (state.role == Role::Owner)
        loseOwnership(state, result, "epoch " + std::to_string(epoch) + " was seen");
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
    state.lastKnownOwner = owner;
    state.lastOwnerSignalAt = at;
    return result;
}

Result onStoreReply(State& state, const StoreReply& reply, Instant at)
{
    Result result;
    if (reply.id != state.pendingCall)
        return result;
    bool wasWrite = state.isPendingCallWrite;
    state.pendingCall = 0;
    switch (reply.outcome) {
    case StoreOutcome::Done:
        state.nextStoreAttempt = at;
        if (wasWrite)
            applyWrittenRecord(state, reply.revision, result);
        else
            applyReadRecord(state, reply, result, at);
        break;
    case StoreOutcome::Conflict:
        // A write that took effect and is delivered again reports a conflict too; the read compares the token.
        state.isRecordStale = true;
        state.nextStoreAttempt = at;
        break;
    case StoreOutcome::NoEffect:
        if (wasWrite)
            state.unconfirmedToken.clear();
        takePreallocatedEpoch(state, at, result);
        break;
    case StoreOutcome::Unknown:
        takePreallocatedEpoch(state, at, result);
        break;
    }
    return result;
}

Result tick(State& state, Instant at)
{
    Result result;
    if (state.role == Role::Owner && at >= state.nextHeartbeat) {
        result.shouldSendHeartbeat = true;
        state.nextHeartbeat = at + state.timing.heartbeatInterval;
    }
    // Longer than the store client's own timeout, after which the client reports Unknown.
    constexpr Millis answerTimeout { 3000 };
    if (state.pendingCall != 0 && elapsed(state.pendingCallSentAt, at) > answerTimeout)
        state.pendingCall = 0;
    if (state.pendingCall != 0 || at < state.nextStoreAttempt)
        return result;
    // Reads the record before anything is decided on it, also to learn whether a write without an answer took effect.
    if (!state.isRecordKnown || state.isRecordStale || !state.unconfirmedToken.empty()) {
        readRecord(state, result, at);
        return result;
    }
    if (state.role == Role::Owner) {
        // Without a reachable worker, only the store can confirm that no other scheduler has taken over.
        if (!state.holdsRecord)
            writeRecord(state, state.self, result, at);
        else if (elapsed(state.confirmedAt, at) > state.timing.validityAfterConfirmation / 2)
            readRecord(state, result, at);
        return result;
    }
    if (elapsed(state.lastOwnerSignalAt, at) >= takeoverTimeout(state))
        writeRecord(state, state.self, result, at);
    return result;
}

Result release(State& state, Instant at)
{
    Result result;
    if (state.role != Role::Owner)
        return result;
    if (!state.holdsRecord || !state.record || state.record->standbys.empty()) {
        loseOwnership(state, result, "released");
        return result;
    }
    if (state.isReleasing || state.pendingCall != 0)
        return result;
    state.isReleasing = true;
    writeRecord(state, state.record->standbys.front(), result, at);
    return result;
}

} // namespace agatevane::ownership
