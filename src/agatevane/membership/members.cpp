#include "agatevane/membership/members.h"

#include "agatevane/membership/gossip.h"
#include "agatevane/membership/updates.h"
#include <algorithm>

namespace agatevane::membership {

namespace {

    constexpr int noticesPerFormerWatcher = 2; //!< one of the two datagrams may be lost
    //! At the default interval, one datagram in 2 s goes to a member that is dead or unheard.
    constexpr std::uint64_t contactIntervalTicks = 4;

    //! Returns the members that should watch this one: its reachable successors on the ring.
    std::vector<RingKey> successors(const State& state)
    {
        std::vector<RingKey> found;
        auto position = state.others.upper_bound(ringKeyOf(state.self.member));
        for (std::size_t i = 0; i < state.others.size(); ++i, ++position) {
            if (position == state.others.end())
                position = state.others.begin();
            if (isReachable(position->second))
                found.push_back(position->first);
            if (static_cast<int>(found.size()) == state.settings.watcherCount)
                break;
        }
        return found;
    }

    //! Determines which members this one should watch: its reachable predecessors on the ring.
    void updateWatched(State& state, Instant at)
    {
        std::vector<Member*> watched;
        auto position = state.others.lower_bound(ringKeyOf(state.self.member));
        for (std::size_t i = 0; i < state.others.size(); ++i) {
            if (position == state.others.begin())
                position = state.others.end();
            --position;
            if (isReachable(position->second))
                watched.push_back(&position->second);
            if (static_cast<int>(watched.size()) == state.settings.watcherCount)
                break;
        }
        for (auto& [key, member] : state.others) {
            bool isWatched = std::ranges::find(watched, &member) != watched.end();
            if (isWatched && !member.isWatched && !member.hasRequestedWatch)
                member.silentSince = at;
            member.isWatched = isWatched;
        }
    }

    //! Suspects silent members, declares suspected ones dead after the timeout and drops expired records.
    void checkTimeouts(State& state, Instant at, Output& output)
    {
        for (auto position = state.others.begin(); position != state.others.end();) {
            auto& member = position->second;
            auto timeInState = at - member.changedAt;
            auto silence = at - member.silentSince;
            bool isSilent = (member.hasRequestedWatch && silence >= state.settings.suspectAfter)
                || (member.isWatched
                    && std::min(silence, at - state.ringChangedAt) >= state.settings.suspectWithoutRequestAfter);
            if (member.record.state == MemberState::Alive && isSilent)
                setState(state, member, MemberState::Suspected, at, output);
            else if (member.record.state == MemberState::Suspected && timeInState >= state.settings.deadAfter)
                setState(state, member, MemberState::Dead, at, output);
            bool isExpired = member.record.state >= MemberState::Dead && timeInState >= state.settings.forgetAfter;
            bool isUnheard = member.record.state == MemberState::Unheard;
            if ((isExpired || isUnheard) && !member.isListed)
                position = state.others.erase(position);
            else
                ++position;
        }
    }

    //! Shifts the timers by the time that this process was paused, since other members' heartbeats were not received in
    //! that time.
    void compensateForPause(State& state, Instant at)
    {
        auto delay = at - state.lastTick - state.settings.interval;
        if (!state.hasTicked || delay <= state.settings.interval)
            return;
        for (auto& [key, member] : state.others) {
            member.silentSince = std::min(member.silentSince + delay, at);
            if (member.record.state == MemberState::Suspected)
                member.changedAt = std::min(member.changedAt + delay, at);
        }
    }

    //! Picks a reachable member that is not in `excluded`, or, if `isReachableWanted` is false, one that is dead or
    //! listed but unheard. Returns null if there is none.
    const Member* pickRandomMember(
        const State& state, Random& random, bool isReachableWanted, const std::vector<RingKey>& excluded)
    {
        std::vector<const Member*> candidates;
        for (const auto& [key, member] : state.others) {
            bool isEligible = isReachableWanted
                ? isReachable(member) && std::ranges::find(excluded, key) == excluded.end()
                : member.record.state == MemberState::Dead
                    || (member.record.state == MemberState::Unheard && member.isListed);
            if (isEligible)
                candidates.push_back(&member);
        }
        if (candidates.empty())
            return nullptr;
        return candidates[static_cast<std::size_t>(
            uniform(random, 0, static_cast<std::int64_t>(candidates.size()) - 1))];
    }

    //! Returns the successors that have been successors for at least `Settings::settleTime`. Only these are asked to
    //! watch.
    std::vector<RingKey> settledSuccessors(State& state, const std::vector<RingKey>& current, Instant at)
    {
        std::map<RingKey, Instant> since;
        std::vector<RingKey> settled;
        settled.reserve(current.size());
        for (const auto& key : current) {
            auto known = state.successorSince.find(key);
            auto start = since[key] = known == state.successorSince.end() ? at : known->second;
            if (at - start >= state.settings.settleTime)
                settled.push_back(key);
        }
        state.successorSince = std::move(since);
        return settled;
    }

    //! Picks a former watcher that still needs a notice that it no longer watches this member. Without the notice it
    //! would take the missing heartbeats for a failure.
    const Member* pickFormerWatcher(State& state, const std::vector<RingKey>& current)
    {
        auto next = state.remainingWatcherNotices.end();
        for (auto position = state.remainingWatcherNotices.begin(); position != state.remainingWatcherNotices.end();) {
            auto found = state.others.find(position->first);
            bool isCurrent = std::ranges::find(current, position->first) != current.end();
            if (!isCurrent && (position->second == 0 || found == state.others.end() || !isReachable(found->second))) {
                position = state.remainingWatcherNotices.erase(position);
                continue;
            }
            if (!isCurrent && (next == state.remainingWatcherNotices.end() || position->second > next->second))
                next = position;
            ++position;
        }
        if (next == state.remainingWatcherNotices.end())
            return nullptr;
        --next->second;
        return &state.others.at(next->first);
    }

} // namespace

State makeState(const Settings& settings)
{
    State state;
    state.settings = settings;
    state.self = settings.self;
    state.self.state = MemberState::Alive;
    return state;
}

Output tick(State& state, Instant at, Random& random)
{
    Output output;
    compensateForPause(state, at);
    // A leaving member receives no heartbeats, so the silence of others shows no failure.
    if (state.self.state == MemberState::Alive)
        checkTimeouts(state, at, output);
    updateWatched(state, at);
    state.lastTick = at;
    state.hasTicked = true;
    ++state.tickCount;

    auto budgetPerTick = static_cast<double>(state.settings.bytesPerSecond)
        * std::chrono::duration<double>(state.settings.interval).count();
    // Unused budget is carried over to the next tick only, so that no burst exceeds the rate for long.
    state.byteBudget = std::min(state.byteBudget + budgetPerTick, 2 * budgetPerTick);

    auto targets = successors(state);
    const Member* extraPeer = nullptr;
    if (targets.empty() || state.tickCount % contactIntervalTicks == 0)
        extraPeer = pickRandomMember(state, random, false, targets);
    if (!extraPeer)
        extraPeer = pickFormerWatcher(state, targets);
    if (!extraPeer)
        extraPeer = pickRandomMember(state, random, true, targets);
    auto watchers = settledSuccessors(state, targets, at);
    for (const auto& key : watchers)
        state.remainingWatcherNotices[key] = noticesPerFormerWatcher;

    auto peers = targets.size() + (extraPeer ? 1 : 0);
    auto budgetForRecords = state.byteBudget - static_cast<double>(peers * bytesWithoutRecords(state));
    // The random peer comes first and gets the updates that fit the budget, since that spreads them fastest.
    if (extraPeer)
        sendHeartbeat(state, *extraPeer, false, budgetForRecords, output);
    for (const auto& key : targets)
        sendHeartbeat(
            state, state.others.at(key), std::ranges::find(watchers, key) != watchers.end(), budgetForRecords, output);
    return output;
}

Output receive(State& state, const Heartbeat& heartbeat, Instant at)
{
    Output output;
    const auto& sender = heartbeat.sender;
    if (heartbeat.deployment != state.settings.deployment || sender.member == state.self.member)
        return output;
    applyRecord(state, sender, at, output);
    auto found = state.others.find(ringKeyOf(sender.member));
    if (found == state.others.end())
        return output;
    auto& member = found->second;
    member.silentSince = at;
    member.hasRequestedWatch = heartbeat.isWatchRequested;
    if (sender.incarnation == member.record.incarnation && member.record.state == sender.state) {
        member.catalogueRevision = std::max(member.catalogueRevision, heartbeat.catalogueRevision);
        member.freshnessProofAgeMs = heartbeat.freshnessProofAgeMs;
    } else if (state.byteBudget > 0) {
        // The sender is known here as suspected, dead or of a higher incarnation. The reply tells it so, since it
        // cannot refute a view that it does not know.
        auto reply = ownHeartbeat(state);
        reply.records.push_back(member.record);
        state.byteBudget -= static_cast<double>(bytesWithoutRecords(state) + encodedSize(member.record));
        output.datagrams.push_back({ sender.address, std::move(reply) });
    }
    for (const auto& record : heartbeat.records)
        applyRecord(state, record, at, output);
    return output;
}

void setListedMembers(State& state, const std::vector<ListedMember>& listed, Instant at)
{
    for (auto& [key, member] : state.others)
        member.isListed = member.isLeaving = false;
    for (const auto& element : listed) {
        if (element.member == state.self.member || element.member.empty())
            continue;
        auto [position, isNew] = state.others.try_emplace(ringKeyOf(element.member));
        auto& member = position->second;
        member.isListed = true;
        member.isLeaving = element.isLeaving;
        if (isNew) {
            member.record = { element.member, element.address, 0, MemberState::Unheard };
            member.changedAt = at;
            member.silentSince = at;
        }
        // A VM that was replaced under the same name has a new address. A reachable member announces its own address,
        // which takes precedence.
        if (!isReachable(member))
            member.record.address = element.address;
    }
}

void leave(State& state)
{
    state.self.state = MemberState::Left;
    ++state.self.incarnation;
}

std::vector<MemberId> aliveMembers(const State& state)
{
    std::vector<MemberId> alive;
    for (const auto& [key, member] : state.others) {
        if (member.record.state == MemberState::Alive && !member.isLeaving)
            alive.push_back(member.record.member);
    }
    return alive;
}

const Member* findMember(const State& state, const MemberId& member)
{
    auto found = state.others.find(ringKeyOf(member));
    return found == state.others.end() ? nullptr : &found->second;
}

} // namespace agatevane::membership
