#pragma once

#include "agatevane/membership/members.h"

//! Applies records of members to the state, and counts how often a changed record is still to be sent.
namespace agatevane::membership {

//! Number of first transmissions of a changed record that may also go to watchers. Later ones go only to other peers,
//! since the watchers are the same peers in each tick. The expiry of a suspicion is sent this many times, or as often
//! as the suspicion still had to be sent if that is more.
constexpr int initialSends = 3;

//! The member's position on the ring.
RingKey ringKeyOf(const MemberId& member);

//! True if the member is alive or only suspected.
bool isReachable(const Member& member);

//! How many times a changed record is sent, so that it reaches every member with high probability.
int gossipSendCount(const State& state);

//! Changes the state on record for `member`. Adds the change to the output unless the state stays the same.
void setState(State& state, Member& member, MemberState to, Instant at, Output& output);

//! Applies a record that a heartbeat carried, if it is newer than the known one. A wrong record of this member itself
//! is refuted by a higher incarnation.
void applyRecord(State& state, const MemberRecord& update, Instant at, Output& output);

} // namespace agatevane::membership
