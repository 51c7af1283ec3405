//! Decisions of an owner that the store has not confirmed lately, so that another node may be the owner.
#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000c8";
constexpr std::size_t maxEntries = 30;
//! The store confirms the ownership until then.
constexpr std::int64_t confirmedUntilMs = 2000;
//! No lease of a start that was sent by `confirmedUntilMs` lasts until then.
constexpr std::int64_t leasesEndedMs = confirmedUntilMs + 7000;

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

//! One owner, two workers that answer, and one job of one task.
struct UnconfirmedFixture {
    UnconfirmedFixture()
    {
        fleet.tenure = fleet.fencingToken = 1;
        fleet.tookOverAt = instantAt(0);
        fleet.desired.queues.push_back(queue);
        fleet::applyFullList(fleet, { listing("w1"), listing("w2") }, instantAt(0));
        advance(0);
        answer("w1", 100);
        answer("w2", 100);
        fleet.confirmedUntil = instantAt(confirmedUntilMs);
    }

    static fleet::WorkerListing listing(const std::string& id)
    {
        fleet::WorkerListing listing;
        listing.id = id;
        listing.service = test::sampleQueue().service;
        listing.capacity = { 64000, 128000, 8 };
        listing.incarnation = 1;
        return listing;
    }

    void submit(std::int64_t ms)
    {
        fleet::submit(fleet, test::sampleJob(jobId, 1, 1, 60000), queue, ms, instantAt(ms));
        auto batch = fleet::takeBatch(fleet, maxEntries);
        fleet::applyCommitted(fleet, batch.lastSequence());
    }

    fleet::Orders advance(std::int64_t ms)
    {
        fleet.isPlacementDue = true;
        return fleet::advance(fleet, ms, instantAt(ms));
    }

    //! The worker answers a poll that was sent just before.
    void answer(const fleet::WorkerId& worker, std::int64_t ms, std::vector<fleet::RunningReport> running = {},
        std::int64_t incarnation = 1)
    {
        fleet::PollAnswer answer;
        answer.incarnation = incarnation;
        answer.clockMs = ms;
        answer.running = std::move(running);
        fleet.workers.at(worker).pollSentAt = instantAt(ms - 1);
        fleet::applyPollAnswer(fleet, worker, answer, ms, instantAt(ms));
    }

    //! The worker answers no poll any more.
    void silence(const fleet::WorkerId& worker, std::int64_t ms)
    {
        for (int miss = 0; miss < 3; ++miss)
            fleet::applyPollFailure(fleet, worker, instantAt(ms));
    }

    //! Starts the task while the ownership is confirmed, and confirms the start.
    fleet::StartOrder startTask()
    {
        submit(200);
        auto starts = advance(210).starts;
        BOOST_REQUIRE_EQUAL(starts.size(), 1U);
        auto start = starts.front();
        fleet::applyStartOutcome(
            fleet, start.worker, { start.task, start.run }, fleet::OrderOutcome::Done, instantAt(230));
        return start;
    }

    void confirmAgain() { fleet.confirmedUntil = Instant::max(); }

    desired_state::Queue queue = test::sampleQueue();
    fleet::Fleet fleet;
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
    auto start = startTask();
    silence(start.worker, confirmedUntilMs);
    BOOST_CHECK(advance(leasesEndedMs).starts.empty());
    BOOST_CHECK_EQUAL(fleet.workers.at(start.worker).runs.size(), 1U);
    confirmAgain();
    auto starts = advance(leasesEndedMs + 100).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_NE(starts.front().worker, start.worker);
}

BOOST_AUTO_TEST_SUITE_END()
