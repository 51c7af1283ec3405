#include "simulation.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::FleetSimulation;

namespace {

//! Accepted work with capacity for it has to run by then: the time from the end of the traffic, and what a job may be
//! idle after it.
constexpr std::int64_t startBoundMs = 14000;
constexpr std::int64_t idleBoundMs = 3000;

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

} // namespace

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
