#include "nodes_fixture.h"
#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using node::CallStatus;
using test::StoreFault;

namespace {

constexpr const char* jobId = "00000000000000d1";

int statusOf(CallStatus status)
{
    return 500 + static_cast<int>(status);
}

//! Nodes whose process ends when they have stopped.
struct StoppingFixture : test::NodesFixture {
    //! Status of a call to a follower that is held by the owner while the follower stops, with little time for it; 0:
    //! there was no answer.
    int statusOfCallHeldAtStop(const std::string& method)
    {
        auto* asked = follower();
        asked->settings.shutdownGrace = Millis(2000);
        asked->node->reload(asked->settings);
        awaitIdleStore();
        owner()->store->setFault(StoreFault::LosesAnswers);
        node::Timer timer(context);
        timer.arm(Millis(300), [this, asked] { asked->node->stop([this, asked] { end(*asked); }); });
        std::string reason;
        auto status = sendRequest(*asked, method, jobId, &reason, {}, Millis(3500));
        BOOST_CHECK_EQUAL(reason, "the node stops");
        waitUntil(Millis(2500), [asked] { return !asked->node; });
        return status;
    }

    //! A submission that waits behind another write is refused instead of held.
    void awaitIdleStore()
    {
        auto* store = owner()->store.get();
        int commits = 0;
        do {
            commits = store->commits();
        } while (waitUntil(Millis(400), [&] { return store->commits() != commits; }));
    }

    void end(Member& member)
    {
        asio::post(context, [&member] { member.node.reset(); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stops, StoppingFixture)

// Guards against requests that end without an answer: each event that ends or moves a node's work comes while the
// record of a submission is on its way to the store.
BOOST_AUTO_TEST_CASE(A_held_call_is_answered_when_its_node_stops, *boost::unit_test::label("node"))
{
    auto* asked = owner();
    BOOST_CHECK_GE(statusOfHeldCall(*asked, [asked] { asked->node->stop([] {}); }), 200);
}

BOOST_AUTO_TEST_CASE(A_held_call_is_answered_when_the_node_that_passed_it_on_stops, *boost::unit_test::label("node"))
{
    auto* asked = follower();
    BOOST_CHECK_GE(statusOfHeldCall(*asked, [asked] { asked->node->stop([] {}); }), 200);
}

BOOST_AUTO_TEST_CASE(A_held_call_is_answered_when_the_owner_stops, *boost::unit_test::label("node"))
{
    auto* current = owner();
    BOOST_CHECK_GE(statusOfHeldCall(*follower(), [current] { current->node->stop([] {}); }), 200);
}

BOOST_AUTO_TEST_CASE(A_held_call_is_answered_when_its_owner_is_replaced, *boost::unit_test::label("node"))
{
    auto* current = owner();
    BOOST_CHECK_GE(statusOfHeldCall(*current, [&] { endOwnerLease(); }), 200);
}

BOOST_AUTO_TEST_CASE(A_held_call_is_answered_when_settings_and_queues_change, *boost::unit_test::label("node"))
{
    auto* asked = follower();
    auto status = statusOfHeldCall(*asked, [&] {
        for (auto& [name, member] : members)
            member.node->reload(member.settings);
        putDesiredState("2");
    });
    BOOST_CHECK_GE(status, 200);
}

// Guards against a call that ends without an answer: a node cut off the calls that another node still held at the end
// of the time for its shutdown.
BOOST_AUTO_TEST_CASE(A_cancellation_held_longer_than_the_shutdown_is_answered, *boost::unit_test::label("node"))
{
    BOOST_REQUIRE_EQUAL(sendRequest(*owner(), "POST", jobId, nullptr, "20000"), 200);
    BOOST_CHECK_EQUAL(statusOfCallHeldAtStop("DELETE"), statusOf(CallStatus::NotAccepted));
}

// As above, for a submission, which may have been accepted.
BOOST_AUTO_TEST_CASE(
    A_submission_held_longer_than_the_shutdown_is_answered_as_unknown, *boost::unit_test::label("node"))
{
    BOOST_CHECK_EQUAL(statusOfCallHeldAtStop("POST"), statusOf(CallStatus::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
