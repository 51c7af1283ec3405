#include "agatevane/membership/members.h"
#include "capacity/measure.h"

namespace agatevane::capacity {

namespace {

    constexpr int memberSizes[] = { 8, 32, 128, 512 };
    constexpr int firstPort = 1000;

    struct MemberGroup {
        std::vector<membership::State> members;
        Instant at {};
        Random random { 1 };
        std::uint64_t bytes = 0;

        explicit MemberGroup(int size)
        {
            std::vector<membership::ListedMember> all;
            all.reserve(static_cast<std::size_t>(size));
            for (int i = 0; i < size; ++i)
                all.push_back({ { "entry-" + std::to_string(i) }, { "10.0.0.1", firstPort + i } });
            for (int i = 0; i < size; ++i) {
                membership::Settings settings;
                settings.self = { all[static_cast<std::size_t>(i)].member, all[static_cast<std::size_t>(i)].address, 0,
                    membership::MemberState::Alive };
                members.push_back(membership::makeState(settings));
                membership::setListedMembers(members.back(), all, at);
            }
        }

        void deliver(const membership::Output& output)
        {
            for (const auto& datagram : output.datagrams) {
                bytes += membership::encodeHeartbeat(datagram.heartbeat).size() + membership::datagramOverhead;
                auto& receiver = members[static_cast<std::size_t>(datagram.to.port - firstPort)];
                deliver(membership::receive(receiver, datagram.heartbeat, at));
            }
        }

        void run(int ticks)
        {
            for (int i = 0; i < ticks; ++i) {
                at += Millis(500);
                for (auto& member : members)
                    deliver(membership::tick(member, at, random));
            }
        }
    };

} // namespace

Series membershipBytes()
{
    Series series { "membership, B/s sent by a member 80 s after a cold start", "members", {} };
    for (int size : memberSizes) {
        MemberGroup group(size);
        // At the start every member sends updates about every other. In a stable group all members are known and no
        // updates are left to send, so the remaining sends are cleared.
        for (int round = 0; round < 4; ++round) {
            group.run(40);
            for (auto& member : group.members) {
                for (auto& [key, other] : member.others)
                    other.sendsLeft = 0;
            }
        }
        group.bytes = 0;
        constexpr int ticks = 60;
        group.run(ticks);
        series.samples.push_back(
            { static_cast<double>(size), static_cast<double>(group.bytes) / size / (ticks * 0.5) });
    }
    return series;
}

Series membershipTick()
{
    Series series { "membership, us for one tick", "members", {} };
    for (int size : memberSizes) {
        MemberGroup group(size);
        group.run(40);
        auto& member = group.members.front();
        auto at = group.at;
        series.samples.push_back({ static_cast<double>(size), measureMicroseconds([&] {
                                      at += Millis(500);
                                      auto output = membership::tick(member, at, group.random);
                                      for (auto& [key, other] : member.others)
                                          other.silentSince = at;
                                  }) });
    }
    return series;
}

} // namespace agatevane::capacity
