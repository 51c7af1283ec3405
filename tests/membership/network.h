#pragma once

#include "agatevane/membership/members.h"
#include <algorithm>
#include <map>
#include <vector>

namespace agatevane::membership {

//! Simulates members on a network that loses, duplicates and delays datagrams. Time is simulated.
struct Network {
    struct Node {
        State state;
        bool isRunning = true;
        std::uint64_t bytesSent = 0;
        std::uint64_t maxBytesInSecond = 0; //!< maximum number of bytes sent in one simulated second
        std::uint64_t bytesInCurrentSecond = 0;
        std::vector<Change> changes;
    };

    Random random;
    Instant at {};
    std::vector<Node> nodes;
    std::multimap<Instant, std::pair<int, std::string>>
        inFlight; //!< receiver and content of each datagram, by arrival time
    double lossShare = 0;
    double duplicateShare = 0;
    int maxDelayMs = 5;
    std::uint64_t oversizedDatagrams = 0;
    std::vector<std::string> delivered; //!< delivered datagrams, for tests that deliver them again

    explicit Network(std::uint64_t seed, int size)
        : random(seed)
    {
        for (int i = 0; i < size; ++i)
            addNode();
    }

    static MemberId name(int i) { return { "entry-" + std::to_string(i) }; }
    static net::PeerAddress address(int i) { return { "10.0.0.1", 1000 + i }; }

    //! Adds a member whose seeds are the first three members.
    void addNode()
    {
        auto i = static_cast<int>(nodes.size());
        Settings settings;
        settings.self = { name(i), address(i), 0, MemberState::Alive };
        auto& node = nodes.emplace_back();
        node.state = makeState(settings);
        std::vector<ListedMember> seeds;
        for (int seed = 0; seed < 3; ++seed)
            seeds.push_back({ name(seed), address(seed) });
        setListedMembers(node.state, seeds, at);
    }

    //! Returns a random number in [0, 1).
    double randomShare() { return std::uniform_real_distribution<double>(0, 1)(random); }

    void sendDatagrams(Node& node, Output output)
    {
        node.changes.insert(node.changes.end(), output.changes.begin(), output.changes.end());
        for (const auto& datagram : output.datagrams) {
            auto bytes = encodeHeartbeat(datagram.heartbeat);
            oversizedDatagrams += bytes.size() > net::maxDatagramBytes;
            node.bytesSent += bytes.size() + datagramOverhead;
            node.bytesInCurrentSecond += bytes.size() + datagramOverhead;
            int copies = randomShare() < lossShare ? 0 : randomShare() < duplicateShare ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                inFlight.emplace(
                    at + Millis(uniform(random, 1, maxDelayMs)), std::pair(datagram.to.port - 1000, bytes));
        }
    }

    void deliver(int receiver, const std::string& bytes)
    {
        Heartbeat heartbeat;
        if (receiver < 0 || receiver >= static_cast<int>(nodes.size()))
            return;
        auto& node = nodes[static_cast<std::size_t>(receiver)];
        if (node.isRunning && decodeHeartbeat(bytes, heartbeat))
            sendDatagrams(node, receive(node.state, heartbeat, at));
    }

    //! Advances the simulated time by 100 ms.
    void step()
    {
        constexpr Millis slice { 100 };
        auto end = at + slice;
        while (!inFlight.empty() && inFlight.begin()->first <= end) {
            auto [receiver, bytes] = inFlight.begin()->second;
            at = inFlight.begin()->first;
            inFlight.erase(inFlight.begin());
            deliver(receiver, bytes);
        }
        at = end;
        auto slices = at.time_since_epoch() / slice;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto& node = nodes[i];
            // Members tick at different times within the interval.
            if (node.isRunning && slices % 5 == static_cast<std::int64_t>(i % 5))
                sendDatagrams(node, tick(node.state, at, random));
            if (slices % 10 == 0) {
                node.maxBytesInSecond = std::max(node.maxBytesInSecond, node.bytesInCurrentSecond);
                node.bytesInCurrentSecond = 0;
            }
        }
    }

    void run(Millis duration)
    {
        for (auto end = at + duration; at < end;)
            step();
    }

    //! Returns whether every running member has exactly the other running members on record as alive.
    bool isAgreed() const
    {
        for (const auto& node : nodes) {
            if (!node.isRunning)
                continue;
            auto alive = aliveMembers(node.state);
            std::size_t expected = 0;
            for (const auto& other : nodes) {
                bool isOther = other.isRunning && &other != &node;
                expected += isOther;
                if (isOther && std::ranges::find(alive, other.state.self.member) == alive.end())
                    return false;
            }
            if (alive.size() != expected)
                return false;
        }
        return true;
    }

    std::uint64_t countChanges(MemberState to) const
    {
        std::uint64_t count = 0;
        for (const auto& node : nodes) {
            count += static_cast<std::uint64_t>(
                std::ranges::count_if(node.changes, [&](const Change& change) { return change.to == to; }));
        }
        return count;
    }
};

} // namespace agatevane::membership
