#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/store_call/store_call.h"
#include "agatevane/worker_api/worker_api.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

//! Decides which scheduler owns a data centre. The owner is named in a record in the store; standbys can take over
//! without the store, under epochs that were allocated to them beforehand. No I/O.
namespace agatevane::ownership {

//! Each compare-and-swap of the owner record allocates this many epochs: one for the owner and one for each of two
//! standbys.
constexpr Epoch epochsPerBlock = 3;

struct OwnerRecord {
    Epoch epoch = 0; //!< the owner's epoch; `standbys[i]` has the epoch `epoch + 1 + i`
    MemberId owner;
    std::vector<MemberId> standbys; //!< at most two
    std::string token; //!< unique for each write; reading it shows whether a write whose answer was lost took effect

    bool operator==(const OwnerRecord&) const = default;
};

std::string encode(const OwnerRecord& record);
std::optional<OwnerRecord> decodeOwnerRecord(const std::string& text);

struct Candidate {
    MemberId member;
    RegionId region;
};

struct Timing {
    Millis heartbeatInterval { 500 };
    //! The first standby takes over after this long without a sign of the owner. Four lost heartbeats in a row are
    //! rare; a longer wait would let the workers' 4 s leases end before the takeover.
    Millis firstStandbyTimeout { 2000 };
    Millis secondStandbyTimeout { 3500 }; //!< the second standby takes over after this long
    //! Other schedulers take over after this long, plus half a `preferenceDelay` times their preference rank.
    Millis nonStandbyTimeout { 6000 };
    Millis validityAfterConfirmation { 5000 }; //!< ownership is valid for this long after its last confirmation
    Millis storeRetryPause { 1000 };
    //! A scheduler takes a data centre without an owner record after this long, times its preference rank.
    Millis preferenceDelay { 1000 };
};

enum class Role { NotOwner, Owner };

struct State {
    DataCentreId dataCentre;
    RegionId region; //!< region of the data centre
    MemberId self;
    std::string incarnation; //!< unique for each start of the process; part of every token
    std::vector<Candidate> candidates; //!< all schedulers that may own the data centre, including this one
    Timing timing;

    Role role = Role::NotOwner;
    Epoch epoch = 0; //!< the own epoch while `role` is Owner
    bool holdsRecord = false; //!< the owner record in the store names this process under `epoch`
    std::int64_t revision = 0; //!< revision of the newest known record; 0: the record does not exist
    std::optional<OwnerRecord> record;
    bool isRecordKnown = false;
    bool isRecordStale = false; //!< the store may hold a newer record than `record`
    Epoch highestEpoch = 0; //!< highest epoch seen in any record or message
    MemberId lastKnownOwner;

    Instant startedAt;
    Instant lastOwnerSignalAt; //!< last heartbeat of the owner, or first reading of a record with a higher epoch
    //! When the newest request was sent whose answer confirmed the ownership, see confirmOwnership.
    Instant confirmedAt;
    bool isOwnershipConfirmed = false;
    Instant nextHeartbeat;
    Instant nextStoreAttempt;
    std::uint64_t nextCallId = 1;
    std::uint64_t pendingCall = 0; //!< id of the store call in flight; 0: none
    bool isPendingCallWrite = false;
    Instant pendingCallSentAt;
    std::string unconfirmedToken; //!< token of a write that may or may not have taken effect; empty: none
    OwnerRecord unconfirmedRecord; //!< record of the last write
    bool isReleasing = false;
};

struct Result {
    std::vector<StoreCall> calls;
    bool shouldSendHeartbeat = false;
    bool didBecomeOwner = false; //!< became the owner, or changed its own epoch to a higher one
    bool didLoseOwnership = false;
    std::string reason; //!< why the ownership was lost
};

std::string recordKey(const DataCentreId& dataCentre);

//! Rank of `member` among the candidates for a data centre without an owner record; 0 is the most preferred. Members
//! in the data centre's region come first; within a region, a hash spreads the data centres over the members.
int preferenceRank(const State& state, const MemberId& member);

State makeState(const DataCentreId& dataCentre, const RegionId& region, const MemberId& self,
    const std::string& incarnation, const std::vector<Candidate>& candidates, Instant at);

Result tick(State& state, Instant at);
Result onHeartbeat(State& state, const MemberId& owner, Epoch epoch, Instant at);
//! Handles an epoch that a worker or peer reported. A higher epoch than any seen ends the own ownership.
Result onEpoch(State& state, Epoch epoch);
Result onStoreReply(State& state, const StoreReply& reply, Instant at);

//! Extends the ownership deadline after an answer showed that the own epoch was still valid when the request was sent,
//! at `sentAt`.
void confirmOwnership(State& state, Instant sentAt);

//! True if this scheduler is the owner and its ownership deadline has not passed; checked before each command that has
//! an effect.
bool isOwnershipValid(const State& state, Instant at);
//! Instant from which no effect may be started any more; in the past if the ownership is not confirmed.
Instant ownershipDeadline(const State& state);

//! Hands the ownership over to the first standby by writing the record. The caller waits until `role` is `NotOwner`,
//! for a bounded time.
Result release(State& state, Instant at);

} // namespace agatevane::ownership
