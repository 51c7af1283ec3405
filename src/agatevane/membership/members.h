#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include "agatevane/membership/heartbeat.h"
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

//! Tracks which entry VMs are alive. The functions do no I/O: the caller passes in ticks and received datagrams, and
//! sends the datagrams that they return.
//!
//! Members are ordered on a ring by the hash of their names. Each member sends heartbeats to its two successors, which
//! watch it, and to one more random peer, so the traffic of a member does not grow with the number of members.
//! Heartbeats carry records of changed members. A suspicion applies to one incarnation of a member; the member refutes
//! it by raising its incarnation.
namespace agatevane::membership {

struct Settings {
    MemberRecord self;
    std::uint32_t deployment = 0;
    Millis interval { 500 };
    Millis suspectAfter { 2000 }; //!< maximum silence of a member that has asked this one to watch it
    //! Maximum silence of a member that this one should watch by its position on the ring, but that may not have asked
    //! for it yet. This detects the failure of members whose watchers failed at the same time.
    Millis suspectWithoutRequestAfter { 6000 };
    //! A successor is asked to watch only after it has been a successor for this time, since members disagree about the
    //! ring while many of them join or leave.
    Millis settleTime { 2000 };
    Millis deadAfter { 4000 }; //!< time that a suspected member has to refute the suspicion
    //! Time after which the record of a dead or left member is dropped, unless the VM list or the settings name it.
    Millis forgetAfter { 600000 };
    int watcherCount = 2; //!< number of successors on the ring that watch a member
    std::size_t bytesPerSecond = 1000; //!< limit of sent traffic, IP and UDP headers included
};

struct Member {
    MemberRecord record;
    Instant changedAt; //!< time of the last state change
    //! Time of the last datagram from the member itself or of a record that shows it alive again, or the time at which
    //! this member began to watch it. A pause of this process shifts it.
    Instant silentSince;
    std::uint64_t catalogueRevision = 0;
    std::uint32_t freshnessProofAgeMs = 0; //!< value in the member's last accepted heartbeat
    bool isWatched = false; //!< this member should watch it by its position on the ring
    bool hasRequestedWatch = false; //!< its last heartbeat asked this member to watch it
    bool isListed = false; //!< the settings or the VM list name it
    bool isLeaving = false; //!< the VM list reports it as leaving
    int sendsLeft = 0; //!< how many more times the record is to be sent
};

//! A change of the state that this member has on record for another one, for the timeline.
struct Change {
    MemberId member;
    MemberState from = MemberState::Unheard;
    MemberState to = MemberState::Unheard;

    bool operator==(const Change&) const = default;
};

struct Datagram {
    net::PeerAddress to;
    Heartbeat heartbeat;
};

struct Output {
    std::vector<Datagram> datagrams;
    std::vector<Change> changes;
};

//! A member that the VM list or the seeds in the settings name.
struct ListedMember {
    MemberId member;
    net::PeerAddress address;
    bool isLeaving = false;
};

using RingKey = std::pair<std::uint64_t, std::string>;

struct State {
    Settings settings;
    MemberRecord self;
    std::map<RingKey, Member> others; //!< in ring order
    std::map<RingKey, Instant> successorSince; //!< since when each current successor on the ring is one
    Instant ringChangedAt; //!< when a member last joined the ring, left it or returned to it
    //! For each current and former watcher, the number of heartbeats still to be sent to it, once it no longer is a
    //! watcher, to notify it of that.
    std::map<RingKey, int> remainingWatcherNotices;
    RingKey lastSampledKey; //!< member whose record was last sampled; the round-robin sampling continues after it
    Instant lastTick;
    double byteBudget = 0; //!< bytes that may still be sent; negative if exceeded
    std::uint64_t tickCount = 0;
    std::uint64_t catalogueRevision = 0;
    std::uint32_t freshnessProofAgeMs = 0;
    std::uint64_t lamportClock = 0; //!< set by the caller before `tick` and `receive`
    bool hasTicked = false;
};

State makeState(const Settings& settings);

//! Must be called every `settings.interval`. A call that is more than one interval late counts as a pause of this
//! process, during which the silence of other members shows no failure.
Output tick(State& state, Instant at, Random& random);

//! Applies a received heartbeat. The output may contain a reply to its sender.
Output receive(State& state, const Heartbeat& heartbeat, Instant at);

//! Replaces the seeds and the VM list. The list lags, so a member that it does not name is kept as long as its
//! heartbeats arrive.
void setListedMembers(State& state, const std::vector<ListedMember>& listed, Instant at);

//! Marks this member as leaving. The caller must keep calling `tick` for about two seconds, so that others are
//! notified.
void leave(State& state);

//! Returns the other members that are alive and neither suspected nor leaving.
std::vector<MemberId> aliveMembers(const State& state);

//! Returns null if the member is unknown.
const Member* findMember(const State& state, const MemberId& member);

} // namespace agatevane::membership
