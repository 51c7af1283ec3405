#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include "agatevane/membership/heartbeat.h"
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

//! Which entry VMs are alive. No I/O: the caller delivers datagrams and ticks, and sends what is returned.
//!
//! Members stand on a ring by the hash of their names. Each sends heartbeats to its two successors, which watch it, and
//! to one more peer at random, so the traffic of a member does not grow with their number. Changes spread as records on
//! the heartbeats. A suspicion names an incarnation; the suspected member refutes it by raising its own.
namespace agatevane::membership {

struct Settings {
    MemberRecord self;
    std::uint32_t deployment = 0;
    Millis interval { 500 };
    Millis suspectAfter { 2000 }; //!< silence of a member that has asked this one to watch it
    //! Silence of a member that this one should watch by its position, but that may not know it yet. Catches members
    //! whose watchers failed together with them.
    Millis suspectUnaskedAfter { 6000 };
    //! Successors are asked to watch only after this time, since views differ while many members join or leave.
    Millis settleTime { 2000 };
    Millis deadAfter { 4000 }; //!< time to refute a suspicion
    Millis forgetAfter { 600000 }; //!< after which dead and left members are dropped, unless the VM list has them
    int watchers = 2;
    std::size_t bytesPerSecond = 1000; //!< of sent datagrams, headers included
};

struct Member {
    MemberRecord record;
    Instant changedAt; //!< when the state became what it is
    Instant heardAt; //!< last datagram from the member itself, or when this member began to watch it
    std::uint64_t catalogueRevision = 0;
    std::uint32_t freshnessAgeMs = 0; //!< at `heardAt` or earlier
    bool isWatched = false; //!< by its position on the ring
    bool hasAskedToBeWatched = false; //!< by its last heartbeat
    bool isListed = false; //!< in the settings or in the VM list
    bool isLeaving = false; //!< according to the VM list
    int sendsLeft = 0; //!< how often the record is still to be passed on
};

//! A change of what this member believes, for the timeline.
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

//! One element of the VM list or of the seeds in the settings.
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
    std::map<RingKey, Instant> successorSince; //!< present successors on the ring
    Instant ringChangedAt; //!< when a member was last added, lost or found again
    std::map<RingKey, int> watcherNotices; //!< by present and former watcher: times to tell it that it no longer is one
    RingKey nextSample; //!< where the round of sampled records goes on
    Instant lastTick;
    double byteBudget = 0;
    std::uint64_t ticks = 0;
    std::uint64_t catalogueRevision = 0;
    std::uint32_t freshnessAgeMs = 0;
    std::uint64_t lamportClock = 0; //!< set by the caller before `tick` and `receive`
    bool hasTicked = false;
};

State makeState(const Settings& settings);

//! To be called every `settings.interval`. A later call is taken as a pause of this process, during which the others'
//! silence says nothing.
Output tick(State& state, Instant at, Random& random);

Output receive(State& state, const Heartbeat& heartbeat, Instant at);

//! Replaces the seeds and the VM list. The list lags, so a member that it does not name is kept as long as it is heard.
void setListed(State& state, const std::vector<ListedMember>& listed, Instant at);

//! Announces that this member leaves; the caller keeps ticking for about two seconds afterwards.
void leave(State& state);

//! Other members that are alive, neither suspected nor leaving.
std::vector<MemberId> aliveMembers(const State& state);

const Member* findMember(const State& state, const MemberId& member);

} // namespace agatevane::membership
