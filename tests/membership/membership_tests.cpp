#include "agatevane/membership/service.h"
#include "network.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <thread>

using namespace agatevane;
using namespace agatevane::membership;

BOOST_AUTO_TEST_CASE(Members_find_each_other_through_three_seeds, *boost::unit_test::label("membership"))
{
    for (int size : { 1, 2, 8, 32 }) {
        Network network(1, size);
        network.run(Millis(20000));
        BOOST_TEST(network.isAgreed(), "size " << size);
        BOOST_TEST(network.countChanges(MemberState::Suspected) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(
    A_failed_member_is_suspected_within_4500_ms_and_then_dead_at_all_members, *boost::unit_test::label("membership"))
{
    Network network(2, 8);
    network.run(Millis(10000));
    network.nodes[5].isRunning = false;
    // A member is suspected after 2 s of silence, at the next tick; the suspicion then needs some intervals to spread.
    network.run(Millis(4500));
    for (std::size_t i = 0; i < network.nodes.size(); ++i) {
        if (i != 5)
            BOOST_TEST((findMember(network.nodes[i].state, Network::name(5))->record.state == MemberState::Suspected));
    }
    network.run(Millis(6000));
    BOOST_TEST(network.isAgreed());
    BOOST_TEST(network.countChanges(MemberState::Dead) == 7U);
}

// Guards against a member that returned after a pause of its VM and is removed again by datagrams sent during the
// pause.
BOOST_AUTO_TEST_CASE(Suspicions_from_before_its_return_do_not_remove_a_member, *boost::unit_test::label("membership"))
{
    Network network(3, 8);
    network.run(Millis(10000));
    auto& paused = network.nodes[5];
    paused.isRunning = false;
    network.run(Millis(30000));
    std::vector<std::string> oldDatagrams;
    for (const auto& [arrival, datagramInFlight] : network.inFlight)
        oldDatagrams.push_back(datagramInFlight.second);
    MemberRecord suspicion = paused.state.self;
    for (auto state : { MemberState::Suspected, MemberState::Dead }) {
        suspicion.state = state;
        oldDatagrams.push_back(encodeHeartbeat({ .sender = network.nodes[0].state.self, .records = { suspicion } }));
    }
    paused.isRunning = true;
    auto changesBefore = paused.changes.size();
    network.run(Millis(6000));
    BOOST_TEST(network.isAgreed());
    // The member that was paused does not treat the others' silence during its pause as failures.
    BOOST_TEST(paused.changes.size() == changesBefore);
    for (int i = 0; i < 8; ++i) {
        for (const auto& bytes : oldDatagrams)
            network.deliver(i, bytes);
    }
    BOOST_TEST(network.isAgreed());
}

BOOST_AUTO_TEST_CASE(
    Members_agree_again_after_a_network_partition_into_two_halves, *boost::unit_test::label("membership"))
{
    Network network(4, 8);
    network.run(Millis(10000));
    for (auto end = network.at + Millis(60000); network.at < end;) {
        std::erase_if(network.inFlight, [](const auto& datagramInFlight) {
            Heartbeat heartbeat;
            decodeHeartbeat(datagramInFlight.second.second, heartbeat);
            return (heartbeat.sender.address.port - 1000 < 4) != (datagramInFlight.second.first < 4);
        });
        network.step();
    }
    BOOST_TEST(aliveMembers(network.nodes[0].state).size() < 7U);
    network.run(Millis(40000));
    BOOST_TEST(network.isAgreed());
}

BOOST_AUTO_TEST_CASE(A_leaving_member_is_dropped_without_suspicion, *boost::unit_test::label("membership"))
{
    Network network(5, 8);
    network.run(Millis(10000));
    leave(network.nodes[2].state);
    network.run(Millis(2500));
    network.nodes[2].isRunning = false;
    network.run(Millis(10000));
    BOOST_TEST(network.isAgreed());
    BOOST_TEST(network.countChanges(MemberState::Suspected) == 0U);
    std::vector<ListedMember> listed { { Network::name(3), Network::address(3), true } };
    setListedMembers(network.nodes[0].state, listed, network.at);
    auto alive = aliveMembers(network.nodes[0].state);
    BOOST_TEST((std::ranges::find(alive, Network::name(3)) == alive.end()));
}

// Guards against traffic that grows with the number of members.
BOOST_AUTO_TEST_CASE(Traffic_stays_under_1000_bytes_a_second_at_any_size, *boost::unit_test::label("membership"))
{
    for (int size : { 8, 32, 128 }) {
        Network network(6, size);
        network.run(Millis(20000));
        for (std::size_t i = 0; i < network.nodes.size(); i += 4)
            network.nodes[i].isRunning = false;
        network.run(Millis(60000));
        for (const auto& node : network.nodes) {
            BOOST_TEST(node.bytesSent <= 80500U); // the rate for 80 s, and half a second of unused budget
            BOOST_TEST(node.maxBytesInSecond < 1800U);
        }
        BOOST_TEST(network.oversizedDatagrams == 0U);
        BOOST_TEST(network.isAgreed(), "size " << size);
    }
}

// Guards against a running member that stays removed, or a failed one that stays alive, at other members after losses,
// duplicates, delays and pauses.
RC_BOOST_PROP(members_agree_again_after_losses_duplicates_delays_and_pauses, (std::uint64_t seed))
{
    Network network(seed, 8);
    network.run(Millis(5000));
    network.lossShare = 0.3;
    network.duplicateShare = 0.2;
    network.maxDelayMs = 3000;
    std::map<MemberId, std::uint32_t> incarnations;
    for (int round = 0; round < 10; ++round) {
        auto& node = network.nodes[static_cast<std::size_t>(uniform(network.random, 0, 7))];
        node.isRunning = !node.isRunning;
        network.run(Millis(uniform(network.random, 200, 8000)));
        for (const auto& other : network.nodes) {
            auto& highest = incarnations[other.state.self.member];
            RC_ASSERT(other.state.self.incarnation >= highest);
            highest = other.state.self.incarnation;
        }
    }
    network.lossShare = network.duplicateShare = 0;
    network.maxDelayMs = 5;
    network.run(Millis(40000));
    RC_ASSERT(network.isAgreed());
}

RC_BOOST_PROP(a_heartbeat_of_any_content_fits_into_one_datagram, (const std::string& name, std::uint8_t records))
{
    Heartbeat heartbeat;
    heartbeat.sender = { { "x" + name }, { "ff00::1", 65535 }, 4000000000U, MemberState::Alive };
    for (int i = 0; i < records; ++i)
        heartbeat.records.push_back({ { std::string(200, 'x') }, { "ff00::1", 1 }, 1, MemberState::Dead });
    auto bytes = encodeHeartbeat(heartbeat);
    RC_ASSERT(bytes.size() <= net::maxDatagramBytes);
    Heartbeat decoded;
    RC_ASSERT(decodeHeartbeat(bytes, decoded));
    RC_ASSERT(decoded.records.size() == std::min<std::size_t>(records, maxRecords));
    RC_ASSERT(decoded.sender.incarnation == heartbeat.sender.incarnation);
}

// Guards against a malformed datagram that crashes the process or adds an invalid record to the state.
RC_BOOST_PROP(arbitrary_bytes_are_decoded_or_rejected, (const std::string& bytes, std::size_t position, char byte))
{
    Heartbeat heartbeat;
    decodeHeartbeat(bytes, heartbeat);
    MemberRecord record { { "entry-1" }, { "10.0.0.1", 5 }, 1, MemberState::Suspected };
    auto valid = encodeHeartbeat(
        { .sender = { { "entry-2" }, { "10.0.0.2", 5 }, 1, MemberState::Alive }, .records = { record, record } });
    valid[position % valid.size()] = byte;
    if (!decodeHeartbeat(valid, heartbeat))
        return;
    Network network(1, 2);
    receive(network.nodes[0].state, heartbeat, network.at);
    network.run(Millis(8000));
    RC_ASSERT(network.oversizedDatagrams == 0U);
}

BOOST_AUTO_TEST_CASE(
    Services_on_UDP_sockets_find_each_other_and_report_a_newer_catalogue, *boost::unit_test::label("service"))
{
    asio::io_context context;
    auto guard = asio::make_work_guard(context);
    std::thread thread([&] { context.run(); });
    std::atomic<std::uint64_t> newest = 0;
    Settings settings;
    settings.interval = Millis(20);
    settings.self.member = { "a" };
    Hooks hooks;
    hooks.catalogueStatus = [] { return std::pair<std::uint64_t, std::uint32_t>(7, 100); };
    Service first(context, settings, hooks);
    BOOST_REQUIRE(!first.start({ "127.0.0.1", 0 }));
    settings.self.member = { "b" };
    hooks.catalogueStatus = [] { return std::pair<std::uint64_t, std::uint32_t>(3, 100); };
    hooks.onNewerCatalogue
        = [&](const MemberId&, const net::PeerAddress&, std::uint64_t revision) { newest = revision; };
    Service second(context, settings, hooks);
    second.setListedMembers({ { { "a" }, { "127.0.0.1", first.port() } } });
    BOOST_REQUIRE(!second.start({ "127.0.0.1", 0 }));
    auto deadline = now() + Millis(5000);
    while ((first.aliveMembers().empty() || second.aliveMembers().empty() || newest == 0) && now() < deadline)
        std::this_thread::sleep_for(Millis(10));
    BOOST_TEST(first.aliveMembers().size() == 1U);
    BOOST_TEST(second.aliveMembers().size() == 1U);
    BOOST_TEST(newest == 7U);
    second.leave();
    while (!first.aliveMembers().empty() && now() < deadline)
        std::this_thread::sleep_for(Millis(10));
    BOOST_TEST(first.aliveMembers().empty());
    context.stop();
    thread.join();
}
