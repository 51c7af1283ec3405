//! Calls that wait at an owner whose ownership ends before the store has confirmed them.
#include "nodes_fixture.h"
#include "owner_fixture.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::StoreFault;

namespace {

constexpr const char* jobId = "00000000000000e1";
//! Time after which a call has reached the owner, and its record the store.
constexpr Millis settleTime { 300 };
constexpr Millis ampleTime { 3900 };

struct HeldCallFixture : test::NodesFixture {
    HeldCallFixture()
    {
        // The records of the takeover are stored, so that the next call's record is sent at once.
        waitUntil(settleTime, [] { return false; });
    }

    //! Status of a call that waits for the store at the owner when `event` happens.
    int statusAcross(const Member& asked, const std::string& method, std::function<void()> event)
    {
        node::Timer timer(context);
        timer.arm(settleTime, std::move(event));
        return sendRequest(asked, method, jobId, nullptr, {}, ampleTime);
    }

    bool isShownAs(const Member& asked, fleet::VisibleState state)
    {
        std::string shown;
        return sendRequest(asked, "GET", jobId, &shown) == 200 && shown == std::to_string(static_cast<int>(state));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(held_calls, HeldCallFixture)

// Guards against callers that are told "unknown" although they have time left, because the owner that held their calls
// was replaced.
BOOST_AUTO_TEST_CASE(A_held_submission_is_accepted_by_the_next_owner, *boost::unit_test::label("node"))
{
    auto* replaced = owner();
    replaced->store->setFault(StoreFault::Unresponsive);
    BOOST_CHECK_EQUAL(statusAcross(*replaced, "POST", [&] { endOwnerLease(); }), 200);
    BOOST_CHECK(!replaced->node->isOwner());
    BOOST_CHECK(waitUntil(Millis(3000), [&] { return isShownAs(*replaced, fleet::VisibleState::Completed); }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

BOOST_AUTO_TEST_CASE(A_submission_held_for_another_node_is_accepted_by_the_next_owner, *boost::unit_test::label("node"))
{
    auto* replaced = owner();
    auto* asked = follower();
    replaced->store->setFault(StoreFault::Unresponsive);
    BOOST_CHECK_EQUAL(statusAcross(*asked, "POST", [&] { endOwnerLease(); }), 200);
    BOOST_CHECK(!replaced->node->isOwner());
}

// The record is stored already; only the answer of the store is missing.
BOOST_AUTO_TEST_CASE(A_stored_submission_is_confirmed_by_the_next_owner, *boost::unit_test::label("node"))
{
    auto* stopping = owner();
    stopping->store->setFault(StoreFault::LosesAnswers);
    auto commitsBefore = stopping->store->commits();
    BOOST_CHECK_EQUAL(statusAcross(*stopping, "POST", [stopping] { stopping->node->stop([] {}); }), 200);
    BOOST_CHECK_GT(stopping->store->commits(), commitsBefore);
    BOOST_REQUIRE(waitUntil(Millis(3000), [this] { return owner() != nullptr; }));
    BOOST_CHECK(waitUntil(Millis(3000), [&] { return isShownAs(*owner(), fleet::VisibleState::Completed); }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

// Guards against a stopping node that learns of no next owner because the store does not answer it.
BOOST_AUTO_TEST_CASE(
    A_stopping_node_that_the_store_does_not_answer_finds_the_next_owner, *boost::unit_test::label("node"))
{
    auto* stopping = owner();
    stopping->store->setFault(StoreFault::Unresponsive);
    auto endOwnership = [&] {
        endOwnerLease();
        stopping->node->stop([] {});
    };
    BOOST_CHECK_EQUAL(statusAcross(*stopping, "POST", endOwnership), 200);
}

BOOST_AUTO_TEST_CASE(A_held_cancellation_is_stored_by_the_next_owner, *boost::unit_test::label("node"))
{
    auto* replaced = owner();
    BOOST_REQUIRE_EQUAL(sendRequest(*replaced, "POST", jobId, nullptr, "20000"), 200);
    replaced->store->setFault(StoreFault::Unresponsive);
    BOOST_CHECK_EQUAL(statusAcross(*replaced, "DELETE", [&] { endOwnerLease(); }), 200);
    BOOST_CHECK(isShownAs(*replaced, fleet::VisibleState::Cancelled));
}

// Guards against a refusal, which says that the job never runs, of a submission that an owner which was replaced since
// may have stored.
BOOST_AUTO_TEST_CASE(A_held_submission_without_a_next_owner_is_answered_as_unknown, *boost::unit_test::label("node"))
{
    auto* stopping = owner();
    for (auto& [name, member] : members)
        member.store->setFault(&member == stopping ? StoreFault::LosesAnswers : StoreFault::Refusing);
    auto status = statusAcross(*stopping, "POST", [stopping] { stopping->node->stop([] {}); });
    BOOST_CHECK_EQUAL(status, 500 + static_cast<int>(node::CallStatus::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(held_calls_of_one_owner, test::OwnerFixture)

// Guards against a submission that the next owner refuses as unknown although its record was never sent to the store.
BOOST_AUTO_TEST_CASE(
    Only_a_submission_that_was_sent_to_the_store_may_have_had_an_effect, *boost::unit_test::label("node"))
{
    waitUntil(settleTime, [] { return false; });
    store.setFault(StoreFault::Unresponsive);
    std::optional<node::CallerAnswer> sent;
    std::optional<node::CallerAnswer> queued;
    submit(jobId, 100, sent);
    waitUntil(Millis(50), [] { return false; });
    submit("00000000000000e2", 100, queued);
    waitUntil(Millis(50), [] { return false; });
    owner->stop();
    BOOST_REQUIRE(sent && queued);
    BOOST_CHECK(sent->status == node::CallStatus::OwnershipEnded);
    BOOST_CHECK(queued->status == node::CallStatus::WrongNode);
}

BOOST_AUTO_TEST_SUITE_END()
