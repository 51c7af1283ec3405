#include "agatevane/membership/updates.h"

#include "agatevane/base/hash.h"
#include <algorithm>
#include <bit>

namespace agatevane::membership {

namespace {

    constexpr std::size_t maxMembers = 4096; //!< keeps datagrams of unknown senders from exhausting memory

    //! Returns whether the received record replaces the known one.
    bool isNewer(const MemberRecord& update, const MemberRecord& known)
    {
        if (known.state == MemberState::Unheard)
            return true;
        if (update.incarnation != known.incarnation)
            return update.incarnation > known.incarnation;
        // Within an incarnation, a state can only advance towards Left. Only the member itself starts a new
        // incarnation.
        return update.state > known.state;
    }

    //! Raises this member's incarnation if another member has a wrong view of it. Records of the higher incarnation
    //! replace the wrong view at every member.
    void refute(State& state, const MemberRecord& update)
    {
        bool isViewWrong = update.incarnation > state.self.incarnation
            || (update.incarnation == state.self.incarnation && update.state != state.self.state);
        if (isViewWrong)
            state.self.incarnation = update.incarnation + 1;
    }

} // namespace

RingKey ringKeyOf(const MemberId& member)
{
    return { hash64(member.value), member.value };
}

bool isReachable(const Member& member)
{
    return member.record.state == MemberState::Alive || member.record.state == MemberState::Suspected;
}

int gossipSendCount(const State& state)
{
    return 3 * static_cast<int>(std::bit_width(state.others.size() + 1));
}

void setState(State& state, Member& member, MemberState to, Instant at, Output& output)
{
    auto from = std::exchange(member.record.state, to);
    // Every member that knows of a suspicion declares the member dead by its own timer, so this change needs only a
    // few transmissions.
    bool isSuspicionExpiry = from == MemberState::Suspected && to == MemberState::Dead;
    member.sendsLeft = isSuspicionExpiry ? std::max(member.sendsLeft, initialSends) : gossipSendCount(state);
    if (from == to)
        return;
    member.changedAt = at;
    if (from != MemberState::Suspected && to != MemberState::Suspected)
        state.ringChangedAt = at;
    output.changes.push_back({ member.record.member, from, to });
}

void applyRecord(State& state, const MemberRecord& update, Instant at, Output& output)
{
    if (update.member == state.self.member)
        return refute(state, update);
    auto found = state.others.find(ringKeyOf(update.member));
    if (found == state.others.end()) {
        // Unknown members that are dead or have left are not added, since their records would otherwise circulate
        // for ever.
        if (update.state >= MemberState::Dead || state.others.size() >= maxMembers)
            return;
        Member unknown { .record = update, .changedAt = at, .silentSince = at };
        unknown.record.state = MemberState::Unheard;
        found = state.others.emplace(ringKeyOf(update.member), unknown).first;
    }
    auto& member = found->second;
    if (!isNewer(update, member.record))
        return;
    member.record.incarnation = update.incarnation;
    member.record.address = update.address;
    if (member.record.state != MemberState::Alive && update.state == MemberState::Alive)
        member.silentSince = at; // a higher incarnation shows that the member runs
    setState(state, member, update.state, at, output);
}

} // namespace agatevane::membership
