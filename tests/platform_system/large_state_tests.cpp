#include "deployment.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::PlatformDeployment;

namespace {

//! The largest value that the platform's store accepts.
constexpr std::size_t maxValueBytes = 1024 * 1024;
//! 10 Mbit/s.
constexpr std::uint64_t slowLinkBytesPerSecond = 1'250'000;
//! A change has to be in force this long after it was acknowledged.
constexpr Millis applyBound { 4000 };

struct SlowDeployment {
    SlowDeployment()
    {
        relay.apply("store-*", { .bytesPerSecond = slowLinkBytesPerSecond });
        relay.apply("peer-*", { .bytesPerSecond = slowLinkBytesPerSecond });
    }

    bool hasKeyInForce(int node, const std::string& key)
    {
        return deployment.sendJobRequest(node, "GET", "", nullptr, nullptr, key) == 200;
    }

    standin::Relay relay { "127.0.0.1", 0 };
    PlatformDeployment deployment { { .nodes = 3, .workers = 1, .relay = &relay } };
};

} // namespace

// Guards against a change that is never in force at nodes on slow links, because each attempt to read it ends too soon.
BOOST_FIXTURE_TEST_CASE(A_desired_state_of_the_largest_size_is_in_force_in_time_on_slow_links, SlowDeployment,
    *boost::unit_test::label("platform_system"))
{
    constexpr int versions = 3;
    // So that changes come at several phases of a watch, also near its end.
    constexpr Millis pause { 3700 };
    for (int version = 2; version < 2 + versions; ++version) {
        auto key = "key-" + std::to_string(version);
        deployment.putDesiredState(version, { key }, maxValueBytes);
        auto end = now() + applyBound;
        for (int node = 0; node < deployment.nodeCount(); ++node)
            BOOST_CHECK(deployment.await(elapsed(now(), end), [&] { return hasKeyInForce(node, key); }));
        deployment.await(pause, [] { return false; });
    }
}

// Guards against a large state that never crosses between nodes, and against calls that fail while it does.
BOOST_FIXTURE_TEST_CASE(A_node_without_the_store_receives_a_large_desired_state_while_calls_pass, SlowDeployment,
    *boost::unit_test::label("platform_system"))
{
    auto follower = (deployment.owner() + 1) % deployment.nodeCount();
    relay.apply("store-" + std::to_string(follower), { .isStalled = true });
    deployment.putDesiredState(2, { "key-1", "key-2" }, maxValueBytes);
    auto end = now() + applyBound;
    int failedCalls = 0;
    bool isInForce = false;
    while (!isInForce && now() < end) {
        failedCalls += deployment.stateOf(follower, "00000000000000e1") == "410" ? 0 : 1;
        isInForce = hasKeyInForce(follower, "key-2");
    }
    BOOST_CHECK(isInForce);
    BOOST_CHECK_EQUAL(failedCalls, 0);
}
