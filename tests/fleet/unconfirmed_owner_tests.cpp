//! Decisions of an owner that the store has not confirmed lately, so that another node may be the owner.
#include "answering_fleet.h"

using namespace agatevane;
using test::instantAt;

namespace {

//! The store confirms the ownership until then.
constexpr std::int64_t confirmedUntilMs = 2000;
//! No lease of a start that was sent by `confirmedUntilMs` lasts until then.
constexpr std::int64_t leasesEndedMs = confirmedUntilMs + 7000;

struct UnconfirmedFixture : test::AnsweringFleet {
    UnconfirmedFixture() { fleet.confirmedUntil = instantAt(confirmedUntilMs); }

    void confirmAgain() { fleet.confirmedUntil = Instant::max(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unconfirmed_owners, UnconfirmedFixture)

// Guards against a task that two owners start: the later owner's fencing token is unknown to a worker that has
// restarted, so that the worker carries out the orders of the earlier owner, too.
BOOST_AUTO_TEST_CASE(Nothing_is_started_while_another_node_may_be_the_owner, *boost::unit_test::label("ownership"))
{
    submit(confirmedUntilMs - 100);
    BOOST_CHECK(advance(confirmedUntilMs).starts.empty());
    confirmAgain();
    BOOST_CHECK_EQUAL(advance(confirmedUntilMs + 1000).starts.size(), 1U);
}

// Guards against the same by a start that had been sent before and got no answer.
BOOST_AUTO_TEST_CASE(No_start_is_repeated_while_another_node_may_be_the_owner, *boost::unit_test::label("ownership"))
{
    submit(confirmedUntilMs - 700);
    auto starts = advance(confirmedUntilMs - 600).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    fleet::RunKey key { starts.front().task, starts.front().run };
    fleet::applyStartOutcome(
        fleet, starts.front().worker, key, fleet::OrderOutcome::Unknown, instantAt(confirmedUntilMs - 100));
    BOOST_CHECK(advance(confirmedUntilMs + 100).starts.empty());
    confirmAgain();
    BOOST_CHECK_EQUAL(advance(confirmedUntilMs + 200).starts.size(), 1U);
}

// Guards against members of a gang that are stopped, and against a task that is started again, because the owner takes
// a run for lapsed whose lease the next owner has renewed.
BOOST_AUTO_TEST_CASE(
    No_run_is_taken_for_lapsed_while_another_node_may_be_the_owner, *boost::unit_test::label("ownership"))
{
    auto start = startTask(200);
    confirmStart(start, 230);
    silence(start.worker, confirmedUntilMs);
    BOOST_CHECK(advance(leasesEndedMs).starts.empty());
    BOOST_CHECK_EQUAL(fleet.workers.at(start.worker).runs.size(), 1U);
    confirmAgain();
    auto starts = advance(leasesEndedMs + 100).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_NE(starts.front().worker, start.worker);
}

BOOST_AUTO_TEST_SUITE_END()
