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
//! After this time a new owner no longer waits for workers that have not answered.
constexpr std::int64_t inheritedRunsEndedMs = takeoverMs + 17000;

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

//! The second owner of a fleet of two workers, right after its takeover, with one inherited job of one task.
struct SecondOwnerFixture {
    SecondOwnerFixture()
    {
        fleet.tenure = 2;
        fleet.fencingToken = 2;
        fleet.tookOverAt = instantAt(takeoverMs);
        fleet.desired.queues.push_back(queue);
        auto job = fleet::makeJob(test::sampleJob(jobId, 1, 1, 5000), 0);
        job.phase = job.durablePhase = fleet::JobPhase::Open;
        fleet::inherit(fleet, job, takeoverMs, instantAt(takeoverMs));
        fleet::applyFullList(fleet, { listing("w1"), listing("w2") }, instantAt(takeoverMs));
        advance(takeoverMs);
    }

    static fleet::WorkerListing listing(const std::string& id, std::int64_t incarnation = 1)
    {
        fleet::WorkerListing listing;
        listing.id = id;
        listing.service = test::sampleQueue().service;
        listing.capacity = { 64000, 128000, 8 };
        listing.incarnation = incarnation;
        return listing;
    }

    fleet::Orders advance(std::int64_t ms)
    {
        fleet.isPlacementDue = true;
        return fleet::advance(fleet, ms, instantAt(ms));
    }

    //! The worker answers a poll that was sent just before.
    void answer(const std::string& worker, std::int64_t ms, std::vector<fleet::RunningReport> running,
        std::vector<fleet::EndReport> ended = {})
    {
        fleet::PollAnswer answer;
        answer.incarnation = fleet.workers.at(worker).incarnation;
        answer.clockMs = ms;
        answer.running = std::move(running);
        answer.ended = std::move(ended);
        fleet.workers.at(worker).pollSentAt = instantAt(ms - 1);
        fleet::applyPollAnswer(fleet, worker, answer, ms, instantAt(ms));
    }

    //! Both workers answer, and the start that is ordered then gets no answer until 1600 ms.
    fleet::StartOrder orderUnansweredStart()
    {
        answer("w1", 1010, {});
        answer("w2", 1020, {});
        auto starts = advance(1100).starts;
        BOOST_REQUIRE_EQUAL(starts.size(), 1U);
        auto start = starts.front();
        fleet::applyStartOutcome(
            fleet, start.worker, { start.task, start.run }, fleet::OrderOutcome::Unknown, instantAt(1600));
        return start;
    }

    //! The job is cancelled, and by 1800 ms the worker has answered the stop and reports no run.
    void cancelUntilNoRunIsKnown(const fleet::StartOrder& start)
    {
        fleet::cancel(fleet, jobId, 1700, instantAt(1700));
        BOOST_REQUIRE_EQUAL(advance(1710).stops.size(), 1U);
        fleet::applyStopOutcome(
            fleet, start.worker, { start.task, start.run }, fleet::OrderOutcome::Done, instantAt(1720));
        answer(start.worker, 1800, {});
        BOOST_REQUIRE(fleet.workers.at(start.worker).runs.empty());
    }

    //! Commits all writes, as the store does.
    void commitAll()
    {
        auto batch = fleet::takeBatch(fleet, fleet.writes.size());
        fleet::applyCommitted(fleet, batch);
    }

    const fleet::Step& step() { return fleet::findJob(fleet, jobId)->occurrences[0].steps[0]; }

    desired_state::Queue queue = test::sampleQueue();
    fleet::Fleet fleet;
    fleet::TaskId task { jobId, 0, 0, 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tracking, SecondOwnerFixture)

// Guards against a run that continues after its job was cancelled: the end of a later run, reported by another worker,
// hid the run from the cancellation.
BOOST_AUTO_TEST_CASE(
    A_cancelled_job_is_stopped_although_a_later_run_has_ended_elsewhere, *boost::unit_test::label("tracking"))
{
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    answer("w2", 1020, {}, { { 1, { task, 2 }, fleet::EndKind::Stopped, "" } });
    fleet::cancel(fleet, jobId, 1100, instantAt(1100));
    auto orders = advance(1200);
    BOOST_REQUIRE_EQUAL(orders.stops.size(), 1U);
    BOOST_CHECK_EQUAL(orders.stops.front().worker, "w1");
    BOOST_CHECK_EQUAL(orders.stops.front().run, 1U);
}

// Guards against a task that never runs again: the end of its run no longer freed it, because another worker had
// reported the end of a later run.
BOOST_AUTO_TEST_CASE(A_task_is_free_again_when_its_adopted_run_ends, *boost::unit_test::label("tracking"))
{
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    answer("w2", 1020, {}, { { 1, { task, 2 }, fleet::EndKind::Stopped, "" } });
    answer("w1", 1500, {}, { { 1, { task, 1 }, fleet::EndKind::Stopped, "" } });
    BOOST_CHECK_EQUAL(step().active, 0U);
    BOOST_CHECK_EQUAL(advance(1600).starts.size(), 1U);
}

// Guards against a task that runs again after an end that was acknowledged: the end of an earlier run, reported late,
// was acknowledged and ignored.
BOOST_AUTO_TEST_CASE(An_acknowledged_end_of_an_earlier_run_completes_the_task, *boost::unit_test::label("tracking"))
{
    answer("w2", 1020, {});
    auto orders = advance(inheritedRunsEndedMs);
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    answer("w1", inheritedRunsEndedMs + 10, {}, { { 1, { task, 1 }, fleet::EndKind::Done, "" } });
    BOOST_CHECK(fleet::findTask(fleet, task)->isDone);
    orders = advance(inheritedRunsEndedMs + 20);
    BOOST_REQUIRE_EQUAL(orders.stops.size(), 1U);
    BOOST_CHECK_EQUAL(orders.stops.front().worker, "w2");
}

// Guards against a run that continues after its stop was confirmed: the stop was never sent again, although each poll
// reported the run.
BOOST_AUTO_TEST_CASE(A_stop_is_repeated_while_the_worker_still_reports_the_run, *boost::unit_test::label("tracking"))
{
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    fleet::cancel(fleet, jobId, 1100, instantAt(1100));
    BOOST_REQUIRE_EQUAL(advance(1110).stops.size(), 1U);
    fleet::applyStopOutcome(fleet, "w1", { task, 1 }, fleet::OrderOutcome::Done, instantAt(1120));
    answer("w1", 1200, { { { task, 1 }, "", 11 } });
    BOOST_CHECK(advance(1210).stops.empty());
    answer("w1", 2200, { { { task, 1 }, "", 20 } });
    BOOST_CHECK_EQUAL(advance(2210).stops.size(), 1U);
}

// Guards against a late start that nobody stops: the owner had forgotten the unanswered start together with the worker,
// which had left the list, when a new incarnation carried it out.
BOOST_AUTO_TEST_CASE(
    An_unanswered_start_is_remembered_while_its_worker_is_not_listed, *boost::unit_test::label("tracking"))
{
    auto start = orderUnansweredStart();
    // The worker can't be reached any more, and its entry lapses; its lease expires.
    for (int miss = 0; miss < 3; ++miss)
        fleet::applyPollFailure(fleet, start.worker, instantAt(2000));
    fleet::applyUnlisted(fleet, start.worker);
    advance(8500);
    BOOST_REQUIRE(!fleet::findWorker(fleet, start.worker) || fleet.workers.at(start.worker).runs.empty());
    // A new incarnation under the same id may still carry out the start, so it has to be told to refuse it.
    fleet::applyListing(fleet, listing(start.worker, 2), instantAt(9000));
    auto orders = advance(9010);
    BOOST_REQUIRE_EQUAL(orders.stops.size(), 1U);
    BOOST_CHECK_EQUAL(orders.stops.front().worker, start.worker);
    BOOST_CHECK_EQUAL(orders.stops.front().run, start.run);
}

// Guards against a task that runs twice: it was started again while a run of it that nobody wanted was being stopped.
BOOST_AUTO_TEST_CASE(
    A_task_is_not_started_again_before_its_unwanted_run_has_ended, *boost::unit_test::label("tracking"))
{
    answer("w1", 1010, { { { task, 2 }, "", 10 } });
    answer("w2", 1020, { { { task, 1 }, "", 10 } });
    answer("w1", 1100, {}, { { 1, { task, 2 }, fleet::EndKind::Stopped, "" } });
    BOOST_CHECK(advance(1110).starts.empty());
    answer("w2", 1300, {}, { { 1, { task, 1 }, fleet::EndKind::Stopped, "" } });
    BOOST_CHECK_EQUAL(advance(1310).starts.size(), 1U);
}

// Guards against a task that runs twice: its lease had passed on a worker that did not answer, and a new incarnation of
// that worker carried the start out after the task had been started elsewhere.
BOOST_AUTO_TEST_CASE(
    A_task_is_not_started_again_while_a_silent_worker_may_start_it, *boost::unit_test::label("tracking"))
{
    auto start = orderUnansweredStart();
    for (int miss = 0; miss < 3; ++miss)
        fleet::applyPollFailure(fleet, start.worker, instantAt(2000));
    BOOST_CHECK(advance(8500).starts.empty());
    BOOST_REQUIRE(fleet.workers.at(start.worker).runs.empty());
    BOOST_CHECK(advance(1600 + fleet::lateOrderBound.count() - 10).starts.empty());
    auto starts = advance(1600 + fleet::lateOrderBound.count()).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_NE(starts.front().worker, start.worker);
}

// Guards against a task that serves users and is missing for longer than 9 s after its last run: a start of it on a
// worker that crashed had no answer.
BOOST_AUTO_TEST_CASE(
    A_task_that_lasts_does_not_wait_for_a_start_without_an_answer, *boost::unit_test::label("tracking"))
{
    fleet.jobs.at(jobId).spec.steps.front().isContinuous = true;
    auto start = orderUnansweredStart();
    for (int miss = 0; miss < 3; ++miss)
        fleet::applyPollFailure(fleet, start.worker, instantAt(2000));
    auto starts = advance(1100 + 9000).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_NE(starts.front().worker, start.worker);
}

// Guards against a task that runs twice on one worker: a new incarnation had carried out an earlier start of the task
// late, and got the start of the present run before the earlier one had been stopped.
BOOST_AUTO_TEST_CASE(
    A_start_is_not_repeated_to_a_new_incarnation_that_has_an_earlier_run, *boost::unit_test::label("tracking"))
{
    fleet::applyUnlisted(fleet, "w2");
    answer("w1", 1010, {});
    answer("w2", 1020, {});
    auto first = advance(1100).starts.at(0);
    fleet::RunKey firstKey { first.task, first.run };
    fleet::applyStartOutcome(fleet, "w1", firstKey, fleet::OrderOutcome::Unknown, instantAt(1600));
    fleet::stopTaskRuns(fleet, *fleet::findJob(fleet, jobId), task, instantAt(1610), "test");
    advance(1610);
    fleet::applyStopOutcome(fleet, "w1", firstKey, fleet::OrderOutcome::Done, instantAt(1620));
    answer("w1", 1800, {});
    auto second = advance(1810).starts.at(0);
    fleet::applyStartOutcome(fleet, "w1", { second.task, second.run }, fleet::OrderOutcome::Done, instantAt(1820));
    fleet::applyListing(fleet, listing("w1", 2), instantAt(2000));
    answer("w1", 2010, { { firstKey, "", 1 } });
    auto orders = advance(2020);
    BOOST_CHECK(orders.starts.empty());
    BOOST_REQUIRE_EQUAL(orders.stops.size(), 1U);
    BOOST_CHECK_EQUAL(orders.stops.front().run, first.run);
    answer("w1", 2300, {}, { { 1, firstKey, fleet::EndKind::Stopped, "" } });
    auto starts = advance(2310).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_EQUAL(starts.front().run, second.run);
}

// Guards against a late start that nobody sees: a new incarnation that the store does not list yet carried it out, and
// the worker was not polled any more, because no run was known there.
BOOST_AUTO_TEST_CASE(
    A_worker_is_polled_while_it_may_carry_out_an_unanswered_start, *boost::unit_test::label("tracking"))
{
    auto start = orderUnansweredStart();
    cancelUntilNoRunIsKnown(start);
    auto isPolled = [&](std::int64_t ms) {
        auto orders = advance(ms);
        return std::any_of(orders.polls.begin(), orders.polls.end(),
            [&start](const fleet::PollOrder& poll) { return poll.worker == start.worker; });
    };
    BOOST_CHECK(isPolled(4000));
    answer(start.worker, 4010, {});
    // The start is not carried out any more after this.
    BOOST_CHECK(!isPolled(1600 + fleet::lateOrderBound.count()));
}

// Guards against a late start that is stopped only after a second: the restart of a worker without a known run was seen
// that late, and a new incarnation carries out late starts until it has got their stops.
BOOST_AUTO_TEST_CASE(
    A_worker_that_may_carry_out_a_late_start_is_polled_several_times_a_second, *boost::unit_test::label("tracking"))
{
    auto start = orderUnansweredStart();
    cancelUntilNoRunIsKnown(start);
    auto polls = advance(1800 + 250).polls;
    BOOST_CHECK(std::any_of(
        polls.begin(), polls.end(), [&start](const fleet::PollOrder& poll) { return poll.worker == start.worker; }));
}

// Guards against a start of an earlier owner that nobody sees: a new incarnation, which knows no fencing token and was
// not listed yet, carried it out after the task had been done elsewhere. Found by the soak test with seed 502.
BOOST_AUTO_TEST_CASE(
    An_unlisted_worker_is_polled_while_it_may_carry_out_an_earlier_owners_start, *boost::unit_test::label("tracking"))
{
    answer("w1", 1010, {});
    answer("w2", 1020, {});
    fleet::applyUnlisted(fleet, "w1");
    auto isPolled = [this](std::int64_t ms) {
        auto polls = advance(ms).polls;
        return std::any_of(
            polls.begin(), polls.end(), [](const fleet::PollOrder& poll) { return poll.worker == "w1"; });
    };
    BOOST_CHECK(isPolled(2100));
    answer("w1", 2110, {});
    BOOST_CHECK(!isPolled(2200));
    BOOST_CHECK(isPolled(takeoverMs + 12400));
    answer("w1", takeoverMs + 12410, {});
    // With leases of 6 s, the earlier owner may send a start 6.7 s after the takeover, which may be 12.5 s late.
    BOOST_CHECK(isPolled(takeoverMs + 19200));
    answer("w1", takeoverMs + 19210, {});
    advance(takeoverMs + 20700);
    BOOST_CHECK(!fleet::findWorker(fleet, "w1"));
}

// Guards against a run that goes on after it was considered lost: workers may grant longer leases than the owner asks
// for, and an order for an earlier incarnation's clock had given the longest.
BOOST_AUTO_TEST_CASE(
    A_run_that_the_owner_has_not_started_may_hold_the_longest_lease, *boost::unit_test::label("tracking"))
{
    fleet.limits.maxLease = Millis(10000);
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    advance(1020);
    for (int miss = 0; miss < 3; ++miss)
        fleet::applyPollFailure(fleet, "w1", instantAt(2000));
    advance(1010 + 9900);
    BOOST_CHECK_EQUAL(fleet.workers.at("w1").runs.size(), 1U);
    advance(1010 + 10400);
    BOOST_CHECK(fleet.workers.at("w1").runs.empty());
}

// Guards against a task that runs twice: a poll for the clock of the earlier incarnation gave a new one, which had no
// run yet, the longest lease, and the owner took a later run there for ended by its own.
BOOST_AUTO_TEST_CASE(
    A_poll_for_an_earlier_incarnation_may_give_the_longest_lease_to_later_runs, *boost::unit_test::label("tracking"))
{
    fleet.limits.maxLease = Millis(10000);
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    answer("w2", 1010, {});
    fleet::applyUnlisted(fleet, "w2");
    advance(1020);
    fleet::applyListing(fleet, listing("w1", 2), instantAt(1025));
    answer("w1", 1030, {});
    auto start = advance(1040).starts.at(0);
    fleet::applyStartOutcome(fleet, "w1", { start.task, start.run }, fleet::OrderOutcome::Done, instantAt(1050));
    for (int miss = 0; miss < 3; ++miss)
        fleet::applyPollFailure(fleet, "w1", instantAt(2000));
    advance(1030 + 9900);
    BOOST_CHECK_EQUAL(fleet.workers.at("w1").runs.size(), 1U);
    advance(1030 + 10400);
    BOOST_CHECK(!fleet::findWorker(fleet, "w1") || fleet.workers.at("w1").runs.empty());
}

// Guards against a task that runs again after it has succeeded: a new incarnation, whose ends are numbered from 1
// again, took the number of the earlier incarnation's last end for its own, and its ends were forgotten unseen.
BOOST_AUTO_TEST_CASE(A_poll_does_not_repeat_an_acknowledgement_that_was_received, *boost::unit_test::label("tracking"))
{
    auto acknowledgedBy = [this](std::int64_t ms) {
        auto polls = advance(ms).polls;
        auto poll = std::find_if(
            polls.begin(), polls.end(), [](const fleet::PollOrder& each) { return each.worker == "w1"; });
        return poll == polls.end() ? -1 : poll->lastAcknowledgedEnd;
    };
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    answer("w1", 1500, {}, { { 1, { task, 1 }, fleet::EndKind::Stopped, "" } });
    commitAll();
    fleet::scheduleAcknowledgements(fleet, instantAt(1510));
    BOOST_CHECK_EQUAL(acknowledgedBy(1510), 1);
    // The poll is lost, and the worker lists the end again.
    fleet::applyPollFailure(fleet, "w1", instantAt(2000));
    BOOST_CHECK_EQUAL(acknowledgedBy(2300), 0);
    answer("w1", 2310, {}, { { 1, { task, 1 }, fleet::EndKind::Stopped, "" } });
    BOOST_CHECK_EQUAL(acknowledgedBy(2320), 1);
    // A run keeps the worker polled.
    answer("w1", 2330, { { { { "00000000000000ff", 0, 0, 0 }, 1 }, "", 5 } });
    BOOST_CHECK_EQUAL(acknowledgedBy(2340), 0);
}

// Guards against a task that runs again after it has succeeded: a poll that acknowledged an end waited at the worker's
// next incarnation, and the end of a run there was forgotten unseen.
BOOST_AUTO_TEST_CASE(A_poll_that_acknowledges_an_end_does_not_wait, *boost::unit_test::label("tracking"))
{
    auto pollAt = [this](std::int64_t ms) {
        for (const auto& poll : advance(ms).polls) {
            if (poll.worker == "w1")
                return poll;
        }
        return fleet::PollOrder {};
    };
    fleet::RunKey otherRun { { "00000000000000ff", 0, 0, 0 }, 1 };
    answer("w1", 1010, { { { task, 1 }, "", 10 } }, { { 1, otherRun, fleet::EndKind::Stopped, "" } });
    auto poll = pollAt(1020);
    BOOST_CHECK_EQUAL(poll.lastAcknowledgedEnd, 1);
    BOOST_CHECK_EQUAL(poll.wait.count(), 0);
    answer("w1", 1030, { { { task, 1 }, "", 10 } });
    poll = pollAt(1040);
    BOOST_CHECK_EQUAL(poll.lastAcknowledgedEnd, 0);
    BOOST_CHECK_EQUAL(poll.wait.count(), 1000);
}

// Guards against leases that an owner renews although it may have been replaced: a later owner that could not reach the
// worker ran the task elsewhere.
BOOST_AUTO_TEST_CASE(No_lease_ends_after_the_owner_steps_down, *boost::unit_test::label("tracking"))
{
    auto leaseUntil = [this](std::int64_t ms) {
        auto polls = advance(ms).polls;
        auto poll = std::find_if(
            polls.begin(), polls.end(), [](const fleet::PollOrder& each) { return each.worker == "w1"; });
        return poll == polls.end() ? 0 : poll->leaseUntilMs.value_or(0);
    };
    fleet.leasesEndBy = instantAt(9000);
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    BOOST_CHECK_EQUAL(leaseUntil(1010), 1010 + fleet.limits.leaseDuration.count());
    answer("w1", 5000, { { { task, 1 }, "", 20 } });
    BOOST_CHECK_EQUAL(leaseUntil(5000), 9000);
    answer("w1", 9500, { { { task, 1 }, "", 30 } });
    BOOST_CHECK_LE(leaseUntil(9500), 9500);
}

// Guards against runs that lapse although the store has confirmed the owner again: the poll that would have renewed the
// lease waited on the worker beyond the lease's end.
BOOST_AUTO_TEST_CASE(Polls_wait_only_shortly_while_leases_are_about_to_end, *boost::unit_test::label("tracking"))
{
    fleet.leasesEndBy = instantAt(9000);
    answer("w1", 1010, { { { task, 1 }, "", 10 } });
    advance(1010);
    for (std::int64_t ms : { 5000, 7000 }) {
        answer("w1", ms, { { { task, 1 }, "", 20 } });
        auto polls = advance(ms).polls;
        auto poll = std::find_if(
            polls.begin(), polls.end(), [](const fleet::PollOrder& each) { return each.worker == "w1"; });
        BOOST_REQUIRE(poll != polls.end());
        BOOST_CHECK_EQUAL(poll->wait.count(), ms == 5000 ? 1000 : 250);
    }
}

// Guards against starts by an owner that was paused, before it learns that it was replaced.
BOOST_AUTO_TEST_CASE(Nothing_is_started_shortly_before_the_owner_steps_down, *boost::unit_test::label("tracking"))
{
    answer("w1", 1010, {});
    answer("w2", 1020, {});
    fleet.leasesEndBy = instantAt(4000);
    BOOST_CHECK(advance(2100).starts.empty());
    BOOST_CHECK(advance(5000).starts.empty());
    fleet.leasesEndBy = instantAt(13000);
    BOOST_CHECK_EQUAL(advance(5010).starts.size(), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
