#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/expiry.h"

#include "simulation.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::FleetSimulation;

namespace {

void expireRunsOfAll(fleet::Fleet& fleet, Instant at)
{
    fleet::markAllDue(fleet);
    auto workers = fleet::takeDueWorkers(fleet, at);
    fleet::expireRuns(fleet, workers, at);
}

} // namespace

// Guards against runs that are never removed: each unanswered poll postponed the time when the unreachable worker's
// lease expires, so that its tasks waited for ever. Found in scenario trouble-1 with seed 29075683995.
BOOST_AUTO_TEST_CASE(A_task_of_a_crashed_worker_runs_elsewhere_after_the_lease, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 7, .workers = 4 });
    simulation.runUntil(500);
    simulation.submit(test::sampleJob("00000000000000aa", 1, 8, 3000), test::sampleQueue());
    simulation.runUntil(1000);
    BOOST_REQUIRE_EQUAL(simulation.workers().history().size(), 1U);
    simulation.workers().crash(simulation.workers().history().front().worker, simulation.nowMs());
    BOOST_CHECK(simulation.runUntilEnded(15000));
}

// Guards against abandoning runs of a worker that is removed from the list only because the store is unavailable.
BOOST_AUTO_TEST_CASE(A_run_continues_while_its_worker_is_not_listed, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 8, .workers = 4 });
    simulation.runUntil(500);
    simulation.submit(test::sampleJob("00000000000000ab", 1, 1, 2500), test::sampleQueue());
    simulation.runUntil(1000);
    auto worker = simulation.workers().history().front().worker;
    fleet::applyUnlisted(simulation.fleet(), worker);
    BOOST_CHECK(simulation.runUntilEnded(6000));
    BOOST_CHECK_EQUAL(simulation.workers().history().size(), 1U);
}

// Guards against losing work with a worker that had announced that it leaves, and against a task that waits for the
// lease of such a worker before it continues elsewhere.
BOOST_AUTO_TEST_CASE(A_run_that_saves_checkpoints_is_moved_off_a_leaving_worker, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 10, .workers = 4 });
    simulation.runUntil(500);
    auto saving = test::sampleJob("00000000000000a1", 1, 1, 9000);
    saving.steps[0].savesCheckpoints = true;
    saving.payload += " saves";
    simulation.submit(saving, test::sampleQueue());
    simulation.runUntil(1500);
    auto leaving = simulation.workers().history().front().worker;
    simulation.workers().drain(leaving, 4000);
    simulation.runUntil(2500);
    BOOST_CHECK_EQUAL(simulation.workers().history().size(), 1U);
    simulation.runUntil(4000);
    BOOST_REQUIRE_EQUAL(simulation.workers().history().size(), 2U);
    const auto& history = simulation.workers().history();
    BOOST_CHECK(history.front().end == fleet::EndKind::Stopped);
    simulation.workers().crash(leaving, simulation.nowMs());
    // The work takes 9 s, begins at 0.5 s and is moved once; it only ends in time if the finished part is kept.
    BOOST_CHECK(simulation.runUntilEnded(11500));
}

// Guards against a run that continues on a worker that leaves before the run can end, so that its work is lost; and
// against stopping a run that ends in time.
BOOST_AUTO_TEST_CASE(
    A_run_that_cannot_end_before_its_worker_leaves_is_restarted_elsewhere_at_once, *boost::unit_test::label("workers"))
{
    for (bool canEnd : { false, true }) {
        FleetSimulation simulation({ .seed = 10, .workers = 4 });
        simulation.runUntil(500);
        simulation.submit(test::sampleJob("00000000000000a2", 1, 1, 4000), test::sampleQueue());
        simulation.runUntil(2000);
        auto leaving = simulation.workers().history().front().worker;
        simulation.workers().drain(leaving, canEnd ? 5500 : 4000);
        simulation.runUntil(3000);
        BOOST_CHECK_EQUAL(simulation.workers().history().size(), canEnd ? 1U : 2U);
        BOOST_CHECK(simulation.runUntilEnded(7500));
    }
}

// Guards against a task that runs twice because its worker's entry has lapsed: a worker that is cut off from the store
// and from the nodes continues its runs until its lease expires. Found in scenario workers_taken_away_while_cut,
// varied, with seed 495977562564.
BOOST_AUTO_TEST_CASE(
    A_run_on_an_unlisted_unreachable_worker_is_removed_when_the_lease_expires, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 9, .workers = 4 });
    simulation.runUntil(500);
    simulation.submit(test::sampleJob("00000000000000ac", 1, 1, 60000), test::sampleQueue());
    simulation.runUntil(1000);
    auto& fleet = simulation.fleet();
    auto& worker = *fleet::findWorker(fleet, simulation.workers().history().front().worker);
    for (bool isDraining : { false, true }) {
        worker.isDraining = isDraining;
        auto at = Instant(std::chrono::hours(1)) + Millis(1100);
        fleet::applyUnlisted(fleet, worker.id);
        for (int miss = 0; miss < 3; ++miss)
            fleet::applyPollFailure(fleet, worker.id, at);
        expireRunsOfAll(fleet, worker.leaseExpiryBound - Millis(1));
        BOOST_CHECK_EQUAL(worker.runs.size(), 1U);
    }
    auto id = worker.id;
    expireRunsOfAll(fleet, worker.leaseExpiryBound);
    const auto* left = fleet::findWorker(fleet, id);
    BOOST_CHECK(!left || left->runs.empty());
}

// Guards against a task that runs twice after a takeover because its worker's entry has lapsed: the earlier owner,
// which the store does not confirm any more, may still reach the worker and renew its lease.
BOOST_AUTO_TEST_CASE(A_new_owner_waits_for_the_leases_of_earlier_owners, *boost::unit_test::label("workers"))
{
    fleet::Fleet fleet;
    fleet.tookOverAt = Instant(std::chrono::hours(1));
    fleet::WorkerListing listing;
    listing.id = "w1";
    listing.incarnation = 1;
    fleet::applyListing(fleet, listing, fleet.tookOverAt);
    fleet::applyUnlisted(fleet, listing.id);
    for (int miss = 0; miss < 3; ++miss)
        fleet::applyPollFailure(fleet, listing.id, fleet.tookOverAt);
    // The earlier owner's leases end 8 s after the store's last confirmation, on a clock that is 2 % slow and with a
    // margin of 100 ms; its lease in the store ended 1.5 s after that confirmation, before the takeover.
    const Millis earlierLeases { 8160 + 100 - 1500 };
    BOOST_CHECK(fleet::mayHaveUnreportedRuns(fleet, fleet.tookOverAt + earlierLeases));
    BOOST_CHECK(!fleet::mayHaveUnreportedRuns(fleet, fleet.tookOverAt + Millis(7000)));
    fleet.limits.maxLease = Millis(10000);
    BOOST_CHECK(fleet::mayHaveUnreportedRuns(fleet, fleet.tookOverAt + Millis(10200)));
    BOOST_CHECK(!fleet::mayHaveUnreportedRuns(fleet, fleet.tookOverAt + Millis(10400)));
}

// Guards against inherited tasks that wait for long because a worker of an out-of-date list never answers. Continuous
// jobs were lost this way after all machines had lost power.
BOOST_AUTO_TEST_CASE(A_new_owner_does_not_wait_long_for_a_crashed_worker, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 11, .workers = 4, .takeoverEveryMs = 2000 });
    simulation.runUntil(500);
    simulation.submit(test::sampleJob("00000000000000ad", 1, 8, 60000), test::sampleQueue());
    simulation.runUntil(1500);
    BOOST_REQUIRE_EQUAL(simulation.workers().history().size(), 1U);
    auto crashed = simulation.workers().history().front().worker;
    simulation.workers().crash(crashed, simulation.nowMs());
    simulation.runUntil(2001);
    // The earlier owner's stored list still contains the crashed worker.
    fleet::WorkerListing listing;
    listing.id = crashed;
    listing.incarnation = 1;
    for (bool isListed : { true, false }) {
        fleet::applyListing(simulation.fleet(), listing, Instant(std::chrono::hours(1)) + Millis(2001));
        if (!isListed)
            fleet::applyUnlisted(simulation.fleet(), crashed);
        BOOST_CHECK(fleet::mayHaveUnreportedRuns(simulation.fleet(), Instant(std::chrono::hours(1)) + Millis(2010)));
    }
    simulation.stopTakeovers();
    simulation.runUntil(2000 + 7300);
    BOOST_CHECK_EQUAL(simulation.workers().history().size(), 2U);
}

// Guards against a task that runs a second time elsewhere: its run is wrongly removed because the worker restarted just
// before the run started there. Found by the soak test with seed 39.
BOOST_AUTO_TEST_CASE(A_run_started_by_a_new_incarnation_of_its_worker_continues, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 12, .workers = 2 });
    simulation.runUntil(1010);
    simulation.workers().restart("w100", simulation.nowMs());
    simulation.workers().restart("w101", simulation.nowMs());
    simulation.submit(test::sampleJob("00000000000000ae", 1, 1, 1500), test::sampleQueue());
    BOOST_CHECK(simulation.runUntilEnded(6000));
    BOOST_CHECK_EQUAL(simulation.workers().history().size(), 1U);
}

// Guards against an order that a new incarnation of the worker carries out late, after the task was run elsewhere.
// Found by the soak test with seed 50.
BOOST_AUTO_TEST_CASE(A_late_order_to_a_restarted_worker_runs_no_task_twice, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 13, .workers = 2 });
    simulation.runUntil(500);
    auto& fleet = simulation.fleet();
    auto at = [&simulation] { return Instant(std::chrono::hours(1)) + Millis(simulation.nowMs()); };
    auto job = test::sampleJob("00000000000000af", 1, 1, 700);
    simulation.submit(job, test::sampleQueue());
    while (simulation.workers().history().empty())
        simulation.runUntil(simulation.nowMs() + 1);
    // The order is in flight when the worker restarts, and is never answered.
    auto first = simulation.workers().history().front();
    simulation.workers().restart(first.worker, simulation.nowMs());
    fleet::applyStartOutcome(fleet, first.worker, first.key, fleet::OrderOutcome::Unknown, at());
    simulation.runUntil(simulation.nowMs() + 400);
    fleet::StartOrder late { first.worker, {}, first.key.first, first.key.second, job.payload, {}, {}, 100000, 1 };
    simulation.workers().start(late, simulation.nowMs());
    BOOST_CHECK(simulation.runUntilEnded(8000));
    simulation.runUntil(simulation.nowMs() + 3000);
    simulation.checkHistory();
    BOOST_CHECK(simulation.violations().empty());
    for (const auto& record : simulation.workers().history())
        BOOST_TEST_MESSAGE(record.worker << " " << record.key.second << " " << record.beganMs << "-" << record.endedMs);
    BOOST_CHECK_LE(simulation.workers().history().size(), 2U);
}

// Guards against a second run of a task that is done: the worker refuses a repeated start because the run has ended,
// and only its list of ends reports how. Found by the soak test with seeds 14 and 16.
BOOST_AUTO_TEST_CASE(A_start_refused_as_outdated_waits_for_the_end_of_its_run, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 14, .workers = 2 });
    simulation.runUntil(500);
    simulation.submit(test::sampleJob("00000000000000b1", 1, 1, 200), test::sampleQueue());
    while (simulation.workers().history().empty())
        simulation.runUntil(simulation.nowMs() + 1);
    auto first = simulation.workers().history().front();
    fleet::applyStartOutcome(simulation.fleet(), first.worker, first.key, fleet::OrderOutcome::Outdated,
        Instant(std::chrono::hours(1)) + Millis(simulation.nowMs()));
    BOOST_CHECK(simulation.runUntilEnded(4000));
    BOOST_CHECK_EQUAL(simulation.workers().history().size(), 1U);
}

// Guards against ends that a restarted worker drops although no poll has reported them: its ends are numbered from 1
// again, and a poll with the earlier incarnation's number acknowledges them. Found by the soak test with seed 12.
BOOST_AUTO_TEST_CASE(A_poll_after_a_missed_poll_acknowledges_no_ends, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 15, .workers = 1 });
    simulation.runUntil(500);
    simulation.submit(test::sampleJob("00000000000000b2", 1, 1, 100), test::sampleQueue());
    BOOST_REQUIRE(simulation.runUntilEnded(3000));
    simulation.submit(test::sampleJob("00000000000000b3", 1, 1, 5000), test::sampleQueue());
    simulation.runUntil(simulation.nowMs() + 500);
    auto& fleet = simulation.fleet();
    auto at = Instant(std::chrono::hours(1)) + Millis(simulation.nowMs());
    BOOST_REQUIRE_EQUAL(fleet.workers.at("w100").lastAcknowledgedEnd, 1);
    fleet::applyPollFailure(fleet, "w100", at);
    fleet::Orders orders;
    fleet::emitPolls(fleet, fleet::takeDueWorkers(fleet, at + Millis(1000)), at + Millis(1000), orders);
    BOOST_REQUIRE_EQUAL(orders.polls.size(), 1U);
    BOOST_CHECK_EQUAL(orders.polls.front().lastAcknowledgedEnd, 0);
    BOOST_CHECK(orders.polls.front().wait == Millis(0));
}

// Guards against a worker on which runs fail at once, so that it looks idle and attracts all waiting work.
BOOST_AUTO_TEST_CASE(A_worker_on_which_every_run_fails_does_not_fail_the_jobs, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 9, .workers = 6 });
    simulation.workers().setFailing("w100", true);
    simulation.runUntil(500);
    for (int n = 0; n < 12; ++n)
        simulation.submit(test::sampleJob(toHex(static_cast<std::uint64_t>(n) + 1), 2, 1, 500), test::sampleQueue());
    BOOST_CHECK(simulation.runUntilEnded(60000));
    for (int n = 0; n < 12; ++n)
        BOOST_CHECK(simulation.stateOf(toHex(static_cast<std::uint64_t>(n) + 1)) == fleet::VisibleState::Completed);
}

// Guards against a gang that is blocked by one member without progress.
BOOST_AUTO_TEST_CASE(A_run_without_progress_is_stopped, *boost::unit_test::label("workers"))
{
    FleetSimulation simulation({ .seed = 10, .workers = 4 });
    simulation.runUntil(500);
    auto job = test::sampleJob("00000000000000ac", 1, 1, 1000);
    job.payload += " hangs";
    simulation.submit(job, test::sampleQueue());
    simulation.runUntil(7000);
    BOOST_CHECK_GE(simulation.workers().history().size(), 2U);
    BOOST_CHECK(simulation.workers().history().front().end == fleet::EndKind::Stopped);
}
