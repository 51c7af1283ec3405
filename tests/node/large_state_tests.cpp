#include "feed_fixture.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace agatevane;
using test::FeedFixture;

namespace {

const auto* const label = "node";
constexpr std::size_t maxValueBytes = FeedFixture::maxValueBytes;

} // namespace

BOOST_AUTO_TEST_SUITE(large_desired_state)

// Guards against a change that is never in force, because a call ends although its answer is arriving.
BOOST_AUTO_TEST_CASE(A_large_state_is_in_force_in_time_at_each_phase_of_a_watch, *boost::unit_test::label(label))
{
    constexpr std::size_t sizeStep = maxValueBytes / 4;
    for (bool hasPromptWatch : { true, false }) {
        Millis longestWait(hasPromptWatch ? 1000 : 5000);
        for (std::size_t bytes = sizeStep; bytes <= maxValueBytes; bytes += sizeStep) {
            for (auto phase = Millis(0); phase < longestWait; phase += longestWait / 5) {
                FeedFixture fixture;
                fixture.hasPromptWatch = hasPromptWatch;
                fixture.wait(Millis(1500) + phase);
                fixture.put(2, bytes);
                BOOST_CHECK_MESSAGE(
                    fixture.awaitVersion(2), bytes << " bytes, written at phase " << phase.count() << " ms");
            }
        }
    }
}

// Guards against copies that crowd the link: a change crosses it once.
BOOST_AUTO_TEST_CASE(A_change_crosses_the_link_once, *boost::unit_test::label(label))
{
    FeedFixture fixture;
    fixture.wait(Millis(1500));
    auto before = fixture.link.carriedBytes();
    fixture.put(2, maxValueBytes);
    BOOST_CHECK(fixture.awaitVersion(2));
    fixture.wait(Millis(2000));
    constexpr std::size_t encodedBytes = maxValueBytes / 3 * 4;
    BOOST_CHECK_LT(fixture.link.carriedBytes() - before, encodedBytes * 11 / 10);
}

// Guards against limits that leave no time for other traffic and for a slow store.
BOOST_AUTO_TEST_CASE(
    A_large_state_is_in_force_in_time_beside_other_traffic_and_a_slow_store, *boost::unit_test::label(label))
{
    constexpr std::size_t rateBesideCalls = FeedFixture::slowLinkBytesPerSecond / 10 * 7;
    constexpr Millis slowAnswer { 240 };
    FeedFixture fixture(rateBesideCalls, slowAnswer);
    fixture.wait(Millis(2000));
    for (int version = 2; version <= 4; ++version) {
        fixture.put(version, maxValueBytes);
        BOOST_CHECK(fixture.awaitVersion(version));
        fixture.wait(Millis(700));
    }
}

// Guards against a large state that never crosses between nodes.
BOOST_AUTO_TEST_CASE(A_large_state_arrives_from_other_nodes_without_the_store, *boost::unit_test::label(label))
{
    for (auto fault : { test::StoreFault::Unresponsive, test::StoreFault::Refusing }) {
        FeedFixture fixture;
        fixture.wait(Millis(1500));
        fixture.store.setFault(fault);
        fixture.wait(Millis(1000));
        fixture.put(2, maxValueBytes);
        BOOST_CHECK(fixture.awaitVersion(2));
    }
}

// Guards against a node that receives each of many versions, later and later.
BOOST_AUTO_TEST_CASE(A_series_of_large_states_does_not_leave_a_node_behind, *boost::unit_test::label(label))
{
    struct Written {
        std::int64_t version = 0;
        Instant at;
    };
    constexpr Millis pause { 330 };
    constexpr int versions = 30;
    FeedFixture fixture;
    fixture.wait(Millis(1500));
    std::deque<Written> written;
    for (std::int64_t version = 2; version < 2 + versions; ++version) {
        fixture.put(version, maxValueBytes);
        written.push_back({ version, now() });
        fixture.wait(pause);
        while (!written.empty() && now() - written.front().at >= FeedFixture::applyBound) {
            BOOST_CHECK_GE(fixture.versionInForce(), written.front().version);
            written.pop_front();
        }
    }
    BOOST_CHECK(fixture.awaitVersion(1 + versions));
}

BOOST_AUTO_TEST_SUITE_END()
