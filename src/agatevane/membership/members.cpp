#include "agatevane/membership/members.h"

#include "agatevane/base/hash.h"
#include <algorithm>
#include <bit>

namespace agatevane::membership {

namespace {

    constexpr std::size_t maxMembers = 4096; //!< keeps foreign datagrams from exhausting memory
    constexpr int freshSends = 3; //!< how often news also goes to watchers, which are the same peers each time
    constexpr int watcherNoticeCount = 2; //!< one of them may be lost
    constexpr std::uint64_t contactEveryTicks = 4; //!< one datagram in 2 s goes to a member that is not alive

    RingKey keyOf(const MemberId& member)
    {
        return { hash64(member.value), member.value };
    }

    bool isReachable(const Member& member)
    {
        return member.record.state == MemberState::Alive || member.record.state == MemberState::Suspected;
    }

    //! Passed on often enough to reach every member with high probability.
    int spreadCount(const State& state)
    {
        return 3 * static_cast<int>(std::bit_width(state.others.size() + 1));
    }

    void setState(State& state, Member& member, MemberState to, Instant at, Output& output)
    {
        auto from = std::exchange(member.record.state, to);
        // Members that know of a suspicion end it by themselves, so its end is passed on only a few times.
        bool isKnownAnyway = from == MemberState::Suspected && to == MemberState::Dead;
        member.sendsLeft = isKnownAnyway ? std::max(member.sendsLeft, freshSends) : spreadCount(state);
        if (from == to)
            return;
        member.changedAt = at;
        if (from != MemberState::Suspected && to != MemberState::Suspected)
            state.ringChangedAt = at;
        output.changes.push_back({ member.record.member, from, to });
    }

    //! Whether news of this incarnation and state replaces what is known.
    bool isNewer(const MemberRecord& news, const MemberRecord& known)
    {
        if (known.state == MemberState::Unheard)
            return true;
        if (news.incarnation != known.incarnation)
            return news.incarnation > known.incarnation;
        // Within an incarnation a state only gets worse; only the member itself starts a new one.
        return news.state > known.state;
    }

    //! Someone holds an old or wrong view of this member: a higher incarnation overrides it everywhere.
    void refute(State& state, const MemberRecord& news)
    {
        bool isWrong = news.incarnation > state.self.incarnation
            || (news.incarnation == state.self.incarnation && news.state != state.self.state);
        if (isWrong)
            state.self.incarnation = news.incarnation + 1;
    }

    void applyRecord(State& state, const MemberRecord& news, Instant at, Output& output)
    {
        if (news.member == state.self.member)
            return refute(state, news);
        auto found = state.others.find(keyOf(news.member));
        if (found == state.others.end()) {
            // Members that others remember as gone are not learned, or the record would go round for ever.
            if (news.state >= MemberState::Dead || state.others.size() >= maxMembers)
                return;
            Member unknown { .record = news, .changedAt = at, .heardAt = at };
            unknown.record.state = MemberState::Unheard;
            found = state.others.emplace(keyOf(news.member), unknown).first;
        }
        auto& member = found->second;
        if (!isNewer(news, member.record))
            return;
        member.record.incarnation = news.incarnation;
        member.record.address = news.address;
        if (member.record.state != MemberState::Alive && news.state == MemberState::Alive)
            member.heardAt = at; // a higher incarnation is a sign of life
        setState(state, member, news.state, at, output);
    }

    Heartbeat ownHeartbeat(const State& state)
    {
        return { .deployment = state.settings.deployment,
            .sender = state.self,
            .lamportClock = state.lamportClock,
            .catalogueRevision = state.catalogueRevision,
            .freshnessAgeMs = state.freshnessAgeMs,
            .records = {} };
    }

    std::size_t baseBytes(const State& state)
    {
        constexpr std::size_t fixedBytes = 1 + 4 + 1 + 8 + 8 + 4 + 1;
        return datagramOverhead + fixedBytes + encodedSize(state.self);
    }

    //! Takes the record into the datagram if the budget allows it.
    bool add(State& state, const MemberRecord& record, Heartbeat& heartbeat, double& budget)
    {
        auto size = static_cast<double>(encodedSize(record));
        bool isRepeated = std::ranges::any_of(
            heartbeat.records, [&](const MemberRecord& other) { return other.member == record.member; });
        if (heartbeat.records.size() >= maxRecords || size > budget || isRepeated)
            return false;
        heartbeat.records.push_back(record);
        budget -= size;
        state.byteBudget -= size;
        return true;
    }

    void addNews(State& state, const MemberId& to, Heartbeat& heartbeat, double& budget)
    {
        int leastSends = heartbeat.isForWatcher ? spreadCount(state) - freshSends : 0;
        std::vector<Member*> news;
        news.reserve(state.others.size());
        for (auto& [key, member] : state.others) {
            if (member.sendsLeft > leastSends && member.record.member != to)
                news.push_back(&member);
        }
        // What was passed on least comes first.
        std::ranges::sort(news, [](const Member* a, const Member* b) { return a->sendsLeft > b->sendsLeft; });
        for (auto* member : news) {
            if (!add(state, member->record, heartbeat, budget))
                break;
            --member->sendsLeft;
        }
    }

    //! One known record in turn, which in time repairs whatever the news did not reach.
    void addSample(State& state, const MemberId& to, Heartbeat& heartbeat, double& budget)
    {
        for (std::size_t i = 0; i < state.others.size(); ++i) {
            auto position = state.others.upper_bound(state.nextSample);
            if (position == state.others.end())
                position = state.others.begin();
            state.nextSample = position->first;
            const auto& record = position->second.record;
            if (record.state == MemberState::Unheard || record.member == to)
                continue;
            add(state, record, heartbeat, budget);
            return;
        }
    }

    void sendTo(State& state, const Member& peer, bool isWatcher, double& recordBudget, Output& output)
    {
        auto heartbeat = ownHeartbeat(state);
        heartbeat.isForWatcher = isWatcher;
        state.byteBudget -= static_cast<double>(baseBytes(state));
        // A wrong view of the peer itself comes first, since only the peer can refute it.
        if (peer.record.state != MemberState::Alive && peer.record.state != MemberState::Unheard)
            add(state, peer.record, heartbeat, recordBudget);
        addNews(state, peer.record.member, heartbeat, recordBudget);
        if (!isWatcher)
            addSample(state, peer.record.member, heartbeat, recordBudget);
        output.datagrams.push_back({ peer.record.address, std::move(heartbeat) });
    }

    //! The members that watch this one: its successors on the ring.
    std::vector<RingKey> successors(const State& state)
    {
        std::vector<RingKey> found;
        auto position = state.others.upper_bound(keyOf(state.self.member));
        for (std::size_t i = 0; i < state.others.size(); ++i, ++position) {
            if (position == state.others.end())
                position = state.others.begin();
            if (isReachable(position->second))
                found.push_back(position->first);
            if (static_cast<int>(found.size()) == state.settings.watchers)
                break;
        }
        return found;
    }

    void updateWatched(State& state, Instant at)
    {
        std::vector<Member*> watched;
        auto position = state.others.lower_bound(keyOf(state.self.member));
        for (std::size_t i = 0; i < state.others.size(); ++i) {
            if (position == state.others.begin())
                position = state.others.end();
            --position;
            if (isReachable(position->second))
                watched.push_back(&position->second);
            if (static_cast<int>(watched.size()) == state.settings.watchers)
                break;
        }
        for (auto& [key, member] : state.others) {
            bool isWatched = std::ranges::find(watched, &member) != watched.end();
            if (isWatched && !member.isWatched && !member.hasAskedToBeWatched)
                member.heardAt = at;
            member.isWatched = isWatched;
        }
    }

    void judgeSilence(State& state, Instant at, Output& output)
    {
        for (auto position = state.others.begin(); position != state.others.end();) {
            auto& member = position->second;
            auto inState = at - member.changedAt;
            auto silence = at - member.heardAt;
            bool isSilent = (member.hasAskedToBeWatched && silence >= state.settings.suspectAfter)
                || (member.isWatched
                    && std::min(silence, at - state.ringChangedAt) >= state.settings.suspectUnaskedAfter);
            if (member.record.state == MemberState::Alive && isSilent)
                setState(state, member, MemberState::Suspected, at, output);
            else if (member.record.state == MemberState::Suspected && inState >= state.settings.deadAfter)
                setState(state, member, MemberState::Dead, at, output);
            bool isGone = member.record.state >= MemberState::Dead && inState >= state.settings.forgetAfter;
            bool wasNeverHeard = member.record.state == MemberState::Unheard;
            if ((isGone || wasNeverHeard) && !member.isListed)
                position = state.others.erase(position);
            else
                ++position;
        }
    }

    //! After a pause of this process the others' silence is not theirs.
    void forgivePause(State& state, Instant at)
    {
        auto late = at - state.lastTick - state.settings.interval;
        if (!state.hasTicked || late <= state.settings.interval)
            return;
        for (auto& [key, member] : state.others) {
            member.heardAt = std::min(member.heardAt + late, at);
            if (member.record.state == MemberState::Suspected)
                member.changedAt = std::min(member.changedAt + late, at);
        }
    }

    const Member* pickRandom(
        const State& state, Random& random, bool amongReachable, const std::vector<RingKey>& without)
    {
        std::vector<const Member*> candidates;
        for (const auto& [key, member] : state.others) {
            bool isCandidate = amongReachable ? isReachable(member) && std::ranges::find(without, key) == without.end()
                                              : member.record.state == MemberState::Dead
                    || (member.record.state == MemberState::Unheard && member.isListed);
            if (isCandidate)
                candidates.push_back(&member);
        }
        if (candidates.empty())
            return nullptr;
        return candidates[static_cast<std::size_t>(
            uniform(random, 0, static_cast<std::int64_t>(candidates.size()) - 1))];
    }

    //! Successors that have been so for a while; these are asked to watch.
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

    //! A former watcher that has not been told yet: it would take the silence for a failure.
    const Member* pickFormerWatcher(State& state, const std::vector<RingKey>& current)
    {
        auto next = state.watcherNotices.end();
        for (auto position = state.watcherNotices.begin(); position != state.watcherNotices.end();) {
            auto found = state.others.find(position->first);
            bool isCurrent = std::ranges::find(current, position->first) != current.end();
            if (!isCurrent && (position->second == 0 || found == state.others.end() || !isReachable(found->second))) {
                position = state.watcherNotices.erase(position);
                continue;
            }
            if (!isCurrent && (next == state.watcherNotices.end() || position->second > next->second))
                next = position;
            ++position;
        }
        if (next == state.watcherNotices.end())
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
    forgivePause(state, at);
    // Nobody sends heartbeats to a member that leaves.
    if (state.self.state == MemberState::Alive)
        judgeSilence(state, at, output);
    updateWatched(state, at);
    state.lastTick = at;
    state.hasTicked = true;
    ++state.ticks;

    auto perTick = static_cast<double>(state.settings.bytesPerSecond)
        * std::chrono::duration<double>(state.settings.interval).count();
    // What a quiet tick leaves over may be used by the next one only, so that no burst exceeds the rate for long.
    state.byteBudget = std::min(state.byteBudget + perTick, 2 * perTick);

    auto targets = successors(state);
    const Member* extra = nullptr;
    if (targets.empty() || state.ticks % contactEveryTicks == 0)
        extra = pickRandom(state, random, false, targets);
    if (!extra)
        extra = pickFormerWatcher(state, targets);
    if (!extra)
        extra = pickRandom(state, random, true, targets);
    auto watchers = settledSuccessors(state, targets, at);
    for (const auto& key : watchers)
        state.watcherNotices[key] = watcherNoticeCount;

    auto peers = targets.size() + (extra ? 1 : 0);
    auto forRecords = state.byteBudget - static_cast<double>(peers * baseBytes(state));
    // News goes first to the random peer, since that spreads it fastest.
    if (extra)
        sendTo(state, *extra, false, forRecords, output);
    for (const auto& key : targets)
        sendTo(state, state.others.at(key), std::ranges::find(watchers, key) != watchers.end(), forRecords, output);
    return output;
}

Output receive(State& state, const Heartbeat& heartbeat, Instant at)
{
    Output output;
    const auto& sender = heartbeat.sender;
    if (heartbeat.deployment != state.settings.deployment || sender.member == state.self.member)
        return output;
    applyRecord(state, sender, at, output);
    auto found = state.others.find(keyOf(sender.member));
    if (found == state.others.end())
        return output;
    auto& member = found->second;
    member.heardAt = at;
    member.hasAskedToBeWatched = heartbeat.isForWatcher;
    if (sender.incarnation == member.record.incarnation && member.record.state == sender.state) {
        member.catalogueRevision = std::max(member.catalogueRevision, heartbeat.catalogueRevision);
        member.freshnessAgeMs = heartbeat.freshnessAgeMs;
    } else if (state.byteBudget > 0) {
        // The sender is thought suspected, dead or of a higher incarnation; it can refute that only if it knows.
        auto reply = ownHeartbeat(state);
        reply.records.push_back(member.record);
        state.byteBudget -= static_cast<double>(baseBytes(state) + encodedSize(member.record));
        output.datagrams.push_back({ sender.address, std::move(reply) });
    }
    for (const auto& record : heartbeat.records)
        applyRecord(state, record, at, output);
    return output;
}

void setListed(State& state, const std::vector<ListedMember>& listed, Instant at)
{
    for (auto& [key, member] : state.others)
        member.isListed = member.isLeaving = false;
    for (const auto& element : listed) {
        if (element.member == state.self.member || element.member.empty())
            continue;
        auto [position, isNew] = state.others.try_emplace(keyOf(element.member));
        auto& member = position->second;
        member.isListed = true;
        member.isLeaving = element.isLeaving;
        if (isNew) {
            member.record = { element.member, element.address, 0, MemberState::Unheard };
            member.changedAt = at;
            member.heardAt = at;
        }
        // A VM that was replaced under its name has a new address; a living one knows its own address best.
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
    auto found = state.others.find(keyOf(member));
    return found == state.others.end() ? nullptr : &found->second;
}

} // namespace agatevane::membership
