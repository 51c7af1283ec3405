#include "agatevane/membership/gossip.h"

#include "agatevane/membership/updates.h"
#include <algorithm>

namespace agatevane::membership {

namespace {

    //! Adds the record to the heartbeat unless the byte budget is too small, the heartbeat is full or it already has a
    //! record of this member. Returns whether the record was added.
    bool addRecord(State& state, const MemberRecord& record, Heartbeat& heartbeat, double& budget)
    {
        auto size = static_cast<double>(encodedSize(record));
        bool isAlreadyIncluded = std::ranges::any_of(
            heartbeat.records, [&](const MemberRecord& other) { return other.member == record.member; });
        if (heartbeat.records.size() >= maxRecords || size > budget || isAlreadyIncluded)
            return false;
        heartbeat.records.push_back(record);
        budget -= size;
        state.byteBudget -= size;
        return true;
    }

    //! Adds records that changed and still have to be sent, and counts these transmissions.
    void addUpdates(State& state, const MemberId& to, Heartbeat& heartbeat, double& budget)
    {
        int minSendsLeft = heartbeat.isWatchRequested ? gossipSendCount(state) - initialSends : 0;
        std::vector<Member*> updates;
        updates.reserve(state.others.size());
        for (auto& [key, member] : state.others) {
            if (member.sendsLeft > minSendsLeft && member.record.member != to)
                updates.push_back(&member);
        }
        // Records with the fewest transmissions come first.
        std::ranges::sort(updates, [](const Member* a, const Member* b) { return a->sendsLeft > b->sendsLeft; });
        for (auto* member : updates) {
            if (!addRecord(state, member->record, heartbeat, budget))
                break;
            --member->sendsLeft;
        }
    }

    //! Adds one known record in round-robin order. In time this corrects members that missed an update.
    void addSample(State& state, const MemberId& to, Heartbeat& heartbeat, double& budget)
    {
        for (std::size_t i = 0; i < state.others.size(); ++i) {
            auto position = state.others.upper_bound(state.lastSampledKey);
            if (position == state.others.end())
                position = state.others.begin();
            state.lastSampledKey = position->first;
            const auto& record = position->second.record;
            if (record.state == MemberState::Unheard || record.member == to)
                continue;
            addRecord(state, record, heartbeat, budget);
            return;
        }
    }

} // namespace

Heartbeat ownHeartbeat(const State& state)
{
    return { .deployment = state.settings.deployment,
        .sender = state.self,
        .lamportClock = state.lamportClock,
        .catalogueRevision = state.catalogueRevision,
        .freshnessProofAgeMs = state.freshnessProofAgeMs,
        .records = {} };
}

std::size_t bytesWithoutRecords(const State& state)
{
    constexpr std::size_t fixedBytes = 1 + 4 + 1 + 8 + 8 + 4 + 1;
    return datagramOverhead + fixedBytes + encodedSize(state.self);
}

void sendHeartbeat(State& state, const Member& peer, bool isWatcher, double& recordBudget, Output& output)
{
    auto heartbeat = ownHeartbeat(state);
    heartbeat.isWatchRequested = isWatcher;
    state.byteBudget -= static_cast<double>(bytesWithoutRecords(state));
    // The record of the peer itself comes first if the peer is thought not to be alive: only the peer can refute
    // it.
    if (peer.record.state != MemberState::Alive && peer.record.state != MemberState::Unheard)
        addRecord(state, peer.record, heartbeat, recordBudget);
    addUpdates(state, peer.record.member, heartbeat, recordBudget);
    if (!isWatcher)
        addSample(state, peer.record.member, heartbeat, recordBudget);
    output.datagrams.push_back({ peer.record.address, std::move(heartbeat) });
}

} // namespace agatevane::membership
