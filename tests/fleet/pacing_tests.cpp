#include "simulation.h"

#include "agatevane/fleet/pacing.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::FleetSimulation;

namespace {

constexpr std::int64_t targetMs = 100;
//! Longest time for which fillers may keep a task over its target.
constexpr std::int64_t maxOverTargetMs = 4000;

fleet::JobSpec servingJob(const fleet::JobId& id, std::uint32_t count)
{
    auto job = test::sampleJob(id, count, 1, 600000);
    job.payload += " tail=60";
    job.steps[0].tailLatencyTargetMs = targetMs;
    job.steps[0].isContinuous = true;
    return job;
}

fleet::JobSpec fillerJob(const fleet::JobId& id, std::uint32_t count, std::int64_t durationMs, int disturbanceMs)
{
    auto job = test::sampleJob(id, count, 0, durationMs);
    job.payload += " disturbs=" + std::to_string(disturbanceMs);
    job.steps[0].isFiller = true;
    return job;
}

//! How long tasks on workers with running fillers exceeded their tail latency target during a simulation.
struct Interference {
    std::int64_t longestMs = 0; //!< longest time in a row on one worker
    double share = 0; //!< share of the time of all workers
};

Interference measureInterference(FleetSimulation& simulation, std::int64_t endMs)
{
    std::map<fleet::WorkerId, std::int64_t> overTargetSince;
    Interference interference;
    std::int64_t samples = 0;
    std::int64_t overTarget = 0;
    while (simulation.nowMs() < endMs) {
        simulation.runUntil(simulation.nowMs() + 20);
        for (const auto& listing : simulation.workers().listings(simulation.nowMs())) {
            const auto& id = listing.id;
            bool isOverTarget
                = simulation.workers().worstTailLatency(id) > targetMs && simulation.workers().fillerPace(id) > 0;
            auto begin = overTargetSince.try_emplace(id, simulation.nowMs()).first;
            if (!isOverTarget)
                begin->second = simulation.nowMs();
            interference.longestMs = std::max(interference.longestMs, simulation.nowMs() - begin->second);
            ++samples;
            overTarget += isOverTarget ? 1 : 0;
        }
    }
    interference.share = static_cast<double>(overTarget) / static_cast<double>(std::max<std::int64_t>(1, samples));
    return interference;
}

} // namespace

// Guards against fillers that keep tasks on the same worker over their target.
BOOST_AUTO_TEST_CASE(Fillers_are_slowed_while_a_task_beside_them_is_over_its_target, *boost::unit_test::label("pacing"))
{
    FleetSimulation simulation({ .seed = 21, .workers = 2 });
    simulation.runUntil(500);
    simulation.submit(servingJob("00000000000000ba", 8), test::sampleQueue());
    simulation.submit(fillerJob("00000000000000bb", 2, 600000, 90), test::sampleQueue(2));
    BOOST_CHECK_LT(measureInterference(simulation, 20000).longestMs, maxOverTargetMs);
    BOOST_CHECK_GT(simulation.fleet().fillerSlowdowns, 0U);
}

// Guards against fillers that keep tasks over their target when orders are lost and owners change: a new owner does not
// know the present pace.
BOOST_AUTO_TEST_CASE(Fillers_are_slowed_across_owners_and_lost_orders, *boost::unit_test::label("pacing"))
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimulation simulation({ .seed = seed, .workers = 2, .lostOrderShare = 0.05, .takeoverEveryMs = 5000 });
        simulation.runUntil(500);
        simulation.submit(servingJob("00000000000000ba", 8), test::sampleQueue());
        simulation.submit(fillerJob("00000000000000bb", 2, 600000, 90), test::sampleQueue(2));
        BOOST_CHECK_LT(measureInterference(simulation, 30000).longestMs, maxOverTargetMs);
    }
}

// Guards against a pace that oscillates: after each increase, the tasks that serve users exceed their target again.
BOOST_AUTO_TEST_CASE(The_pace_of_fillers_settles_where_the_target_is_met, *boost::unit_test::label("pacing"))
{
    FleetSimulation simulation({ .seed = 24, .workers = 1 });
    simulation.runUntil(500);
    simulation.submit(servingJob("00000000000000ca", 1), test::sampleQueue());
    simulation.submit(fillerJob("00000000000000cb", 1, 600000, 300), test::sampleQueue(2));
    simulation.runUntil(4000);
    auto interference = measureInterference(simulation, 30000);
    BOOST_CHECK_LT(interference.share, 0.05);
    BOOST_CHECK_GT(simulation.workers().fillerPace("w100"), 0);
}

// Guards against fillers that stay slow, and never end, although they interfere with no task.
BOOST_AUTO_TEST_CASE(Fillers_run_at_full_pace_where_they_do_not_interfere, *boost::unit_test::label("pacing"))
{
    FleetSimulation simulation({ .seed = 22, .workers = 4 });
    simulation.runUntil(500);
    simulation.submit(servingJob("00000000000000bc", 1), test::sampleQueue());
    simulation.submit(fillerJob("00000000000000bd", 3, 3000, 90), test::sampleQueue(2));
    simulation.runUntil(6000);
    BOOST_CHECK(simulation.stateOf("00000000000000bd") == fleet::VisibleState::Completed);
    BOOST_CHECK_EQUAL(simulation.fleet().fillerSlowdowns, 0U);
}

// Guards against stopping a filler as stuck while its pace is set to 0.
BOOST_AUTO_TEST_CASE(A_filler_with_pace_zero_is_not_treated_as_stuck, *boost::unit_test::label("pacing"))
{
    FleetSimulation simulation({ .seed = 23, .workers = 1 });
    simulation.runUntil(500);
    simulation.submit(servingJob("00000000000000be", 1), test::sampleQueue());
    simulation.submit(fillerJob("00000000000000bf", 1, 600000, 900), test::sampleQueue(2));
    simulation.runUntil(30000);
    for (const auto& record : simulation.workers().history())
        BOOST_CHECK(!record.end || *record.end != fleet::EndKind::Stopped);
}
