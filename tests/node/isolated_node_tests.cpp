//! A node that neither the store nor another node answers.
#include "nodes_fixture.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::StoreFault;

namespace {

struct IsolatedNodeFixture : test::NodesFixture {
    //! Cuts the node off from the store, and ends the other nodes.
    void isolate(Member& isolated)
    {
        isolated.store->setFault(StoreFault::Unresponsive);
        for (auto& [name, member] : members) {
            if (&member != &isolated)
                member.node.reset();
        }
    }

    int statusForUnknownQueue(const Member& asked)
    {
        int status = -1;
        client.send(asked.settings.callerAddress, { "GET", "/unknown/", { { "x-queue-host", "jobs.example" } }, {} },
            now() + Millis(2000),
            [&](std::error_code error, const event_http::Response& response) { status = error ? 0 : response.status; });
        waitUntil(Millis(2500), [&] { return status >= 0; });
        return status;
    }

    static constexpr int noSuchQueue = 500 + static_cast<int>(node::CallStatus::NoSuchQueue);
    static constexpr int notAccepted = 500 + static_cast<int>(node::CallStatus::NotAccepted);
    //! Longer than the time after which the store and the owner count as silent.
    static constexpr Millis longSilence { 4500 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(isolated_nodes, IsolatedNodeFixture)

// Guards against "no such queue" or "unknown key" for a queue or key that was added while the node was cut off.
BOOST_AUTO_TEST_CASE(An_isolated_node_denies_no_queue, *boost::unit_test::label("node"))
{
    auto* isolated = follower();
    BOOST_CHECK_EQUAL(statusForUnknownQueue(*isolated), noSuchQueue);
    isolate(*isolated);
    waitUntil(longSilence, [] { return false; });
    BOOST_CHECK_EQUAL(statusForUnknownQueue(*isolated), notAccepted);
    isolated->store->setFault(StoreFault::None);
    BOOST_CHECK(waitUntil(Millis(5000), [&] { return statusForUnknownQueue(*isolated) == noSuchQueue; }));
}

BOOST_AUTO_TEST_CASE(An_isolated_owner_denies_no_queue, *boost::unit_test::label("node"))
{
    auto* isolated = owner();
    isolate(*isolated);
    waitUntil(longSilence, [] { return false; });
    BOOST_CHECK_EQUAL(statusForUnknownQueue(*isolated), notAccepted);
}

// The owner, the store or another node suffices.
BOOST_AUTO_TEST_CASE(Nodes_in_touch_with_each_other_deny_an_unknown_queue, *boost::unit_test::label("node"))
{
    for (auto& [name, member] : members)
        member.store->setFault(StoreFault::Unresponsive);
    waitUntil(longSilence, [] { return false; });
    for (auto& [name, member] : members)
        BOOST_CHECK_EQUAL(statusForUnknownQueue(member), noSuchQueue);
}

BOOST_AUTO_TEST_SUITE_END()
