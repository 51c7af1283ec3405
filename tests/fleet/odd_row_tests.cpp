//! Rows of workers' answers that can't be read, among rows that can, and answers that may lack rows.
#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/record.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000c1";
constexpr std::int64_t takeoverMs = 1000;

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

//! The second owner of a fleet of one worker, with one inherited job of two tasks.
struct OddRowFixture {
    OddRowFixture()
    {
        fleet.tenure = fleet.fencingToken = 2;
        fleet.tookOverAt = instantAt(takeoverMs);
        fleet.leasesEndBy = instantAt(takeoverMs * 1000);
        fleet.desired.queues.push_back(test::sampleQueue());
        auto job = fleet::makeJob(test::sampleJob(jobId, 2, 1, 60000), 0);
        job.phase = job.durablePhase = fleet::JobPhase::Open;
        fleet::inherit(fleet, job, takeoverMs, instantAt(takeoverMs));
        fleet::WorkerListing listing;
        listing.id = "w1";
        listing.service = test::sampleQueue().service;
        listing.capacity = { 64000, 128000, 8 };
        listing.incarnation = 1;
        fleet::applyFullList(fleet, { listing }, instantAt(takeoverMs));
        advance(takeoverMs);
    }

    fleet::Orders advance(std::int64_t ms)
    {
        fleet.isPlacementDue = true;
        return fleet::advance(fleet, ms, instantAt(ms));
    }

    void answer(std::int64_t ms, std::vector<fleet::RunningReport> running, std::size_t unreadableRuns,
        std::vector<fleet::EndReport> ended = {})
    {
        fleet::PollAnswer answer { 1, ms, std::move(running), std::move(ended), unreadableRuns };
        worker().pollSentAt = instantAt(ms - 1);
        fleet::applyPollAnswer(fleet, "w1", answer, ms, instantAt(ms));
    }

    //! The worker answers with as many ends as it returns at a time. `running` are the runs that have not ended.
    void answerLackingEnds(std::int64_t ms, std::vector<fleet::RunningReport> running)
    {
        fleet::PollAnswer answer { 1, ms, std::move(running), {}, 0, true };
        worker().pollSentAt = instantAt(ms - 1);
        fleet::applyPollAnswer(fleet, "w1", answer, ms, instantAt(ms));
    }

    void commitAll()
    {
        auto batch = fleet::takeBatch(fleet, fleet.writes.size());
        fleet::applyCommitted(fleet, batch);
    }

    fleet::Worker& worker() { return fleet.workers.at("w1"); }

    fleet::Fleet fleet;
    fleet::TaskId first { jobId, 0, 0, 0 };
    fleet::TaskId second { jobId, 0, 0, 1 };
    fleet::RunKey firstRun { first, 1 };
    fleet::RunKey secondRun { second, 1 };
};

fleet::EndReport unreadableEnd(std::int64_t number)
{
    return { number, {}, fleet::EndKind::Stopped, {}, false };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(odd_rows, OddRowFixture)

// Guards against a task that runs twice: its run is taken for gone while an unreadable row may be its row.
BOOST_AUTO_TEST_CASE(A_run_missing_beside_an_unreadable_row_is_kept, *boost::unit_test::label("tracking"))
{
    answer(1010, { { firstRun, "", 10 }, { secondRun, "", 10 } }, 0);
    answer(1500, { { firstRun, "", 11 } }, 1);
    BOOST_CHECK(worker().runs.contains(secondRun));
    BOOST_CHECK(!fleet::isUsable(worker(), instantAt(1510)));
    BOOST_CHECK(advance(1600).starts.empty());
    answer(2000, { { firstRun, "", 12 } }, 0);
    BOOST_CHECK(!worker().runs.contains(secondRun));
    BOOST_CHECK(fleet::isUsable(worker(), instantAt(2010)));
}

// Guards against a task that waits for ever for a run that ended behind an unreadable row.
BOOST_AUTO_TEST_CASE(A_run_hidden_for_long_is_stopped_and_then_gone, *boost::unit_test::label("tracking"))
{
    answer(1010, { { firstRun, "", 10 }, { secondRun, "", 10 } }, 0);
    bool isStopped = false;
    for (std::int64_t ms = 1500; ms <= 6500; ms += 500) {
        answer(ms, { { firstRun, "", static_cast<int>(ms / 100) } }, 1);
        for (const auto& stop : advance(ms + 10).stops) {
            BOOST_CHECK(stop.task == second);
            fleet::applyStopOutcome(fleet, "w1", secondRun, fleet::OrderOutcome::Done, instantAt(ms + 20));
            isStopped = true;
        }
    }
    BOOST_CHECK(isStopped);
    BOOST_CHECK(!worker().runs.contains(secondRun));
    BOOST_CHECK(worker().runs.contains(firstRun));
}

// Guards against a task that runs again after it has succeeded: a run whose end was beyond those that its worker
// returns at a time counted as missing.
BOOST_AUTO_TEST_CASE(A_run_missing_in_an_answer_that_may_lack_ends_is_kept, *boost::unit_test::label("tracking"))
{
    answer(1010, { { firstRun, "", 10 }, { secondRun, "", 10 } }, 0);
    answerLackingEnds(1500, { { firstRun, "", 11 } });
    BOOST_CHECK(worker().runs.contains(secondRun));
    BOOST_CHECK(advance(1600).starts.empty());
    answer(2000, { { firstRun, "", 12 } }, 0, { { 501, secondRun, fleet::EndKind::Done, "" } });
    BOOST_CHECK(!worker().runs.contains(secondRun));
    BOOST_CHECK(fleet::findTask(fleet, second)->isDone);
}

// Guards against the same by a run that counts as stalled, and against a worker that is avoided for that.
BOOST_AUTO_TEST_CASE(A_run_whose_end_may_wait_is_not_taken_for_stalled, *boost::unit_test::label("tracking"))
{
    answer(1010, { { firstRun, "", 10 }, { secondRun, "", 10 } }, 0);
    for (std::int64_t ms = 1500; ms <= 6500; ms += 500) {
        answerLackingEnds(ms, { { firstRun, "", static_cast<int>(ms / 100) } });
        BOOST_CHECK(advance(ms + 10).stops.empty());
    }
    BOOST_CHECK(fleet::isUsable(worker(), instantAt(6510)));
}

// Guards against the same after a takeover, also when all earlier leases have ended.
BOOST_AUTO_TEST_CASE(Inherited_tasks_wait_while_their_ends_may_wait_at_a_worker, *boost::unit_test::label("tracking"))
{
    constexpr std::int64_t leasesEndedMs = takeoverMs + 12000;
    answerLackingEnds(1010, {});
    BOOST_CHECK(advance(1100).starts.empty());
    answerLackingEnds(leasesEndedMs, {});
    BOOST_CHECK(advance(leasesEndedMs + 100).starts.empty());
    answer(leasesEndedMs + 500, {}, 0, { { 501, firstRun, fleet::EndKind::Done, "" } });
    auto starts = advance(leasesEndedMs + 600).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK(starts.front().task == second);
}

// Guards against inherited tasks that wait for ever for the ends of a worker that is listed and can't be reached.
BOOST_AUTO_TEST_CASE(Ends_that_may_wait_are_given_up_with_the_leases, *boost::unit_test::label("tracking"))
{
    constexpr std::int64_t leasesEndedMs = takeoverMs + 12000;
    answerLackingEnds(1010, {});
    advance(1100);
    for (int miss = 0; miss < 3; ++miss)
        fleet::applyPollFailure(fleet, "w1", instantAt(1800));
    advance(5000);
    BOOST_CHECK(fleet::mayHaveUnreportedRuns(fleet, instantAt(5000)));
    advance(leasesEndedMs);
    BOOST_CHECK(!fleet::mayHaveUnreportedRuns(fleet, instantAt(leasesEndedMs)));
}

// Guards against an inherited task that starts again although its run may be the one that can't be named, and against a
// run that nobody knows and whose lease is renewed for ever.
BOOST_AUTO_TEST_CASE(A_worker_with_an_unnamed_run_is_not_known_to_be_empty, *boost::unit_test::label("tracking"))
{
    answer(1010, {}, 1);
    BOOST_CHECK(fleet::mayHaveUnreportedRuns(fleet, instantAt(1020)));
    auto orders = advance(1600);
    BOOST_CHECK(orders.starts.empty());
    BOOST_REQUIRE_EQUAL(orders.polls.size(), 1U);
    BOOST_CHECK(!orders.polls.front().leaseUntilMs);
    answer(2000, {}, 0);
    BOOST_CHECK(!fleet::mayHaveUnreportedRuns(fleet, instantAt(2010)));
    BOOST_CHECK_EQUAL(advance(2600).starts.size(), 2U);
}

// Guards against leases of known runs that lapse because one row of their worker can't be read.
BOOST_AUTO_TEST_CASE(A_worker_with_a_hidden_run_keeps_its_lease, *boost::unit_test::label("tracking"))
{
    answer(1010, { { firstRun, "", 10 }, { secondRun, "", 10 } }, 0);
    answer(1500, { { firstRun, "", 11 } }, 1);
    auto orders = advance(1600);
    BOOST_REQUIRE_EQUAL(orders.polls.size(), 1U);
    BOOST_CHECK(orders.polls.front().leaseUntilMs);
}

// Guards against an end that is acknowledged, and so forgotten by its worker, although nobody could read it; and
// against good ends that are not taken because of it.
BOOST_AUTO_TEST_CASE(No_acknowledgement_passes_an_unreadable_end, *boost::unit_test::label("tracking"))
{
    using fleet::EndKind;
    answer(1010, { { firstRun, "", 10 }, { secondRun, "", 10 } }, 0);
    answer(1500, {}, 0, { { 4, firstRun, EndKind::Done, "" }, unreadableEnd(5), { 9, secondRun, EndKind::Done, "" } });
    BOOST_CHECK(fleet::findJob(fleet, jobId)->phase == fleet::JobPhase::Completed);
    commitAll();
    auto orders = advance(2100);
    BOOST_REQUIRE_EQUAL(orders.polls.size(), 1U);
    BOOST_CHECK_EQUAL(orders.polls.front().lastAcknowledgedEnd, 4);
}

// Guards against an unreadable end that is taken for one that was acknowledged before, and so passed.
BOOST_AUTO_TEST_CASE(No_later_acknowledgement_passes_an_unreadable_end, *boost::unit_test::label("tracking"))
{
    using fleet::EndKind;
    answer(1010, { { firstRun, "", 10 }, { secondRun, "", 10 } }, 0);
    answer(1500, { { secondRun, "", 20 } }, 0, { { 10, firstRun, EndKind::Done, "" } });
    commitAll();
    BOOST_REQUIRE_EQUAL(advance(2100).polls.size(), 1U);
    for (std::int64_t ms : { 2200, 2300 })
        answer(ms, {}, 0, { unreadableEnd(1), { 12, secondRun, EndKind::Done, "" } });
    BOOST_CHECK_EQUAL(worker().unacknowledgedEnds.size(), 2U);
    commitAll();
    advance(2900);
    BOOST_CHECK_EQUAL(worker().lastAcknowledgedEnd, 10);
}

// Guards against ends that pile up behind an unreadable one until newer ones no longer fit into an answer.
BOOST_AUTO_TEST_CASE(An_unreadable_end_is_given_up_when_many_wait, *boost::unit_test::label("tracking"))
{
    answer(1010, {}, 0);
    std::vector<fleet::EndReport> ends { unreadableEnd(1) };
    for (std::int64_t number = 2; number <= 250; ++number)
        ends.push_back({ number, { first, 1 }, fleet::EndKind::Stopped, "" });
    answer(1500, {}, 0, ends);
    commitAll();
    auto orders = advance(2100);
    BOOST_REQUIRE_EQUAL(orders.polls.size(), 1U);
    BOOST_CHECK_EQUAL(orders.polls.front().lastAcknowledgedEnd, 250);
}

BOOST_AUTO_TEST_SUITE_END()
