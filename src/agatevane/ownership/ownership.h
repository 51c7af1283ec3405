#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/store_call/store_call.h"
#include "agatevane/worker_api/worker_api.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

//! Which scheduler owns a data centre. No I/O.
namespace agatevane::ownership {

//! Each compare-and-swap allocates this many epochs: for the owner and for two standbys.
constexpr Epoch epochsPerBlock = 3;

struct OwnerRecord {
    Epoch epoch = 0; //!< the owner's; standby i holds epoch + 1 + i
    MemberId owner;
    std::vector<MemberId> standbys; //!< at most two
    std::string token; //!< unique for each write, so that a lost answer can be resolved by reading

    bool operator==(const OwnerRecord&) const = default;
};

std::string encode(const OwnerRecord& record);
std::optional<OwnerRecord> decodeOwnerRecord(const std::string& text);

struct Candidate {
    MemberId member;
    RegionId region;
};

struct Timing {
    Millis heartbeat { 500 };
    //! Four lost heartbeats in a row are rare; a longer wait would let the workers' 4 s leases end before the takeover.
    Millis firstStandbySilence { 2000 };
    Millis secondStandbySilence { 3500 };
    Millis otherSilence { 6000 };
    Millis deadline { 5000 };
    Millis storeRetry { 1000 };
    Millis preferenceStep { 1000 }; //!< the n-th preferred scheduler waits n steps before it takes a new data centre
};

enum class Role { NotOwner, Owner };

struct State {
    DataCentreId dataCentre;
    RegionId region; //!< of the data centre
    MemberId self;
    std::string incarnation; //!< unique for each start of the process; part of every token
    std::vector<Candidate> candidates; //!< all schedulers that may own it, including this one
    Timing timing;

    Role role = Role::NotOwner;
    Epoch epoch = 0; //!< own epoch, while owner
    bool holdsRecord = false; //!< the owner record in the store names this process under `epoch`
    std::int64_t revision = 0; //!< of the newest record known; 0: absent
    std::optional<OwnerRecord> record;
    bool isRecordKnown = false;
    bool isRecordStale = false; //!< a heartbeat showed that a newer record exists
    Epoch highestEpoch = 0;
    MemberId believedOwner;

    Instant startedAt;
    Instant lastHeard;
    Instant provenAt; //!< sending of the last request answered under the own epoch
    bool isProven = false;
    Instant nextHeartbeat;
    Instant nextStoreTry;
    std::uint64_t nextCallId = 1;
    std::uint64_t pendingCall = 0;
    bool isPendingWrite = false;
    Instant pendingSentAt;
    std::string unresolvedToken; //!< of a write whose answer was lost
    OwnerRecord unresolved;
    bool isReleasing = false;
};

struct Result {
    std::vector<StoreCall> calls;
    bool sendHeartbeat = false;
    bool becameOwner = false; //!< or changed its own epoch to a higher one
    bool lost = false;
    std::string reason;
};

std::string recordKey(const DataCentreId& dataCentre);

//! Position of `member` in the order of preference for the first ownership: own region first, spread by hash.
int preferenceOf(const State& state, const MemberId& member);

State makeState(const DataCentreId& dataCentre, const RegionId& region, const MemberId& self,
    const std::string& incarnation, const std::vector<Candidate>& candidates, Instant at);

Result tick(State& state, Instant at);
Result onHeartbeat(State& state, const MemberId& owner, Epoch epoch, Instant at);
//! A worker or peer showed an epoch.
Result onEpoch(State& state, Epoch epoch);
Result onStoreReply(State& state, const StoreReply& reply, Instant at);

//! A request sent at `sentAt` was answered under the own epoch.
void prove(State& state, Instant sentAt);

//! Whether an effect may be started at `at`; checked before each one.
bool mayAct(const State& state, Instant at);
Instant deadlineOf(const State& state);

//! Hands the record to the first standby. The caller waits until `role` is `NotOwner`, for a bounded time.
Result release(State& state, Instant at);

} // namespace agatevane::ownership
