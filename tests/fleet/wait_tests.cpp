#include "wait_watch.h"
#include "workload.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::FleetSimulation;
using test::idleBoundMs;
using test::SimulationOptions;
using test::startBoundMs;

namespace {

//! Longer than the tests, and short enough to advance by a percent before the run counts as stuck.
constexpr std::int64_t fullMs = 200000;

//! Two of three racks are full for the whole test: two thirds of the accelerators and few of the cores are in use.
struct FullRacks {
    FullRacks()
    {
        simulation.runUntil(500);
        for (const char* rack : { "r0", "r1" }) {
            auto job = test::sampleJob(std::string("full-") + rack, 4, 8, fullMs);
            job.steps[0].dataRack = rack;
            simulation.submit(job, test::sampleQueue());
        }
        simulation.runUntil(1000);
        BOOST_REQUIRE_EQUAL(simulation.workers().history().size(), 8U);
    }

    //! Time from the submission until the first task runs; nothing if none has run after `startBoundMs` and
    //! `idleBoundMs`.
    std::optional<std::int64_t> measureWait(const fleet::JobSpec& job)
    {
        auto submittedMs = simulation.nowMs();
        simulation.submit(job, test::sampleQueue());
        while (simulation.nowMs() - submittedMs < startBoundMs + idleBoundMs) {
            simulation.runUntil(simulation.nowMs() + test::tickMs);
            if (simulation.workers().history().back().key.first.job == job.id)
                return simulation.nowMs() - submittedMs;
        }
        return std::nullopt;
    }

    FleetSimulation simulation { { .seed = 1 } };
};

//! What goes on until the last fault.
enum class Mix {
    OneOwner, //!< lost and late orders, workers that can't be reached or restart
    Takeovers, //!< the same around changes of owners
    UnreadableRecord, //!< the last owner can't read the record of workers
    MachinesGone //!< one owner; a third of the workers end for good, unseen, while work is under way
};

constexpr std::int64_t cutsEndMs = 24000;
constexpr std::int64_t longestTaskMs = 4000;
constexpr std::int64_t watchIntervalMs = 100;

SimulationOptions optionsOf(Mix mix, std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.maxLeaseMs = 10000;
    options.maxLateMs = 12000;
    options.cancelShare = 0.2;
    options.lostOrderShare = 0.02;
    options.lateOrderShare = 0.1;
    options.latePollShare = 0.01;
    options.cutEveryMs = 2500;
    options.cutFromOwnersShare = 0.6;
    options.restartBehindCutShare = 0.3;
    options.unreachableEveryMs = 5000;
    if (mix == Mix::Takeovers || mix == Mix::UnreadableRecord) {
        options.takeoverEveryMs = 6000;
        options.storeUnavailableMs = 1500;
        options.overlapMs = 5000;
    }
    return options;
}

//! Submits jobs as long as faults begin, and then until the last cut has healed.
void sendTraffic(FleetSimulation& simulation)
{
    constexpr int longestPauseMs = 1400;
    for (int n = 0; simulation.nowMs() < cutsEndMs || simulation.hasFault(); ++n) {
        if (simulation.nowMs() >= cutsEndMs) {
            simulation.stopCuts();
            simulation.stopTakeovers();
        }
        auto queue = test::sampleQueue(static_cast<int>(uniform(simulation.random(), 0, 2)));
        simulation.submit(test::randomJob(simulation.random(), n, longestTaskMs), queue);
        simulation.runUntil(simulation.nowMs() + uniform(simulation.random(), 10, longestPauseMs));
    }
}

void causeLastFault(FleetSimulation& simulation, Mix mix)
{
    simulation.stopFaults();
    if (mix == Mix::Takeovers || mix == Mix::UnreadableRecord)
        simulation.takeOver();
    if (mix == Mix::UnreadableRecord)
        simulation.fleet().earlierWorkers = fleet::EarlierWorkers::Unreadable;
    if (mix == Mix::MachinesGone) {
        for (const char* worker : { "w101", "w104", "w106", "w111" })
            simulation.workers().crash(worker, simulation.nowMs());
    }
}

//! The waits from the last fault until all work that could run must have run.
test::WaitWatch watchAfterLastFault(FleetSimulation& simulation)
{
    test::WaitWatch watch;
    watch.lastFaultMs = simulation.nowMs();
    while (simulation.nowMs() < watch.lastFaultMs + startBoundMs + 2 * idleBoundMs) {
        watchWaits(watch, simulation);
        simulation.runUntil(simulation.nowMs() + watchIntervalMs);
    }
    return watch;
}

test::WaitWatch watchMix(FleetSimulation& simulation, Mix mix)
{
    simulation.runUntil(500);
    sendTraffic(simulation);
    causeLastFault(simulation, mix);
    return watchAfterLastFault(simulation);
}

void checkSeeds(Mix mix, std::uint64_t first, std::uint64_t seeds)
{
    std::int64_t longestMs = 0;
    for (auto seed = first; seed < first + seeds; ++seed) {
        FleetSimulation simulation(optionsOf(mix, seed));
        auto watch = watchMix(simulation, mix);
        longestMs = std::max(longestMs, watch.longestIdleMs);
        for (const auto& [task, reason] : watch.overdue)
            BOOST_ERROR("seed " << seed << ": task " << toString(task) << " could run and does not (" << reason
                                << "); last fault at " << watch.lastFaultMs << " ms");
    }
    BOOST_TEST_MESSAGE("longest wait of a task that could run, after the last fault: " << longestMs << " ms");
    BOOST_CHECK_MESSAGE(longestMs > 0, "no task had to wait, so that nothing was checked");
}

} // namespace

// Guards against work that waits too long for workers that were lost, restarted or answered late.
BOOST_AUTO_TEST_CASE(
    Work_that_could_run_is_started_within_the_bound_after_the_last_fault, *boost::unit_test::label("waits"))
{
    checkSeeds(Mix::OneOwner, 1, 25);
}

// Guards against an owner that waits too long for what its predecessors may have started.
BOOST_AUTO_TEST_CASE(
    Work_that_could_run_is_started_within_the_bound_after_a_takeover, *boost::unit_test::label("waits"))
{
    checkSeeds(Mix::Takeovers, 101, 25);
}

// Guards against an owner that waits for ever because it can't tell where earlier runs may be.
BOOST_AUTO_TEST_CASE(
    Work_that_could_run_is_started_although_the_record_of_workers_is_unreadable, *boost::unit_test::label("waits"))
{
    checkSeeds(Mix::UnreadableRecord, 201, 25);
}

// Guards against work that waits too long for machines that are gone.
BOOST_AUTO_TEST_CASE(
    Work_that_could_run_is_started_within_the_bound_after_machines_are_gone, *boost::unit_test::label("waits"))
{
    checkSeeds(Mix::MachinesGone, 301, 25);
}

// Guards against work that is kept on a machine that restarted and is gone for longer than a late order could start it.
BOOST_AUTO_TEST_CASE(
    Work_of_a_gone_machine_waits_only_while_an_unanswered_start_may_be_late, *boost::unit_test::label("waits"))
{
    for (std::uint64_t seed : { 428, 433, 472 })
        checkSeeds(Mix::MachinesGone, seed, 1);
}

// Guards against the same where the start was sent shortly before the restart.
BOOST_AUTO_TEST_CASE(Work_of_a_machine_that_restarted_and_is_gone_runs_elsewhere_within_the_bound,
    *boost::unit_test::label("waits") * boost::unit_test::disabled())
{
    checkSeeds(Mix::MachinesGone, 421, 1);
}

// Guards against a check that overlooks a wait: an owner that waits 30 s for earlier leases is found.
BOOST_AUTO_TEST_CASE(A_wait_beyond_the_bound_is_found, *boost::unit_test::label("waits"))
{
    FleetSimulation simulation(optionsOf(Mix::UnreadableRecord, 201));
    simulation.runUntil(500);
    sendTraffic(simulation);
    causeLastFault(simulation, Mix::UnreadableRecord);
    simulation.fleet().limits.earlierLeaseTimeout = Millis(30000);
    BOOST_CHECK(!watchAfterLastFault(simulation).overdue.empty());
}

// Guards against work that waits for its full preferred rack for as long as half of the accelerators are in use,
// although other racks are free.
BOOST_FIXTURE_TEST_CASE(
    Work_does_not_wait_for_its_full_rack_without_limit, FullRacks, *boost::unit_test::label("waits"))
{
    auto job = test::sampleJob("near-data", 1, 4, 2000);
    job.steps[0].dataRack = "r1";
    auto waitMs = measureWait(job);
    BOOST_REQUIRE_MESSAGE(waitMs, "the task has not started");
    BOOST_CHECK_LE(*waitMs, startBoundMs);
}

// Guards against a gang that waits for a rack of its own, which no rack can offer, while the capacity is free
// elsewhere.
BOOST_FIXTURE_TEST_CASE(
    A_gang_that_fits_on_no_rack_is_spread_over_several, FullRacks, *boost::unit_test::label("waits"))
{
    auto gang = test::sampleJob("wide", 9, 0, 2000);
    gang.steps[0].need.milliCores = 32000;
    gang.steps[0].isGang = gang.steps[0].isTightlyCoupled = true;
    gang.payload += " gang=9";
    auto waitMs = measureWait(gang);
    BOOST_REQUIRE_MESSAGE(waitMs, "the gang has not started");
    BOOST_CHECK_LE(*waitMs, startBoundMs);
}

// Guards against tasks that serve users and wait for their rack while the fleet is full: they are missed at once.
BOOST_FIXTURE_TEST_CASE(A_continuous_task_waits_shortly_for_its_full_rack, FullRacks, *boost::unit_test::label("waits"))
{
    auto job = test::sampleJob("serving", 1, 4, 600000);
    job.steps[0].dataRack = "r1";
    job.steps[0].isContinuous = true;
    auto waitMs = measureWait(job);
    BOOST_REQUIRE_MESSAGE(waitMs, "the task has not started");
    BOOST_CHECK_LE(*waitMs, idleBoundMs);
}
