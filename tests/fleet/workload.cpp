#include "workload.h"

#include <boost/test/unit_test.hpp>

namespace agatevane::test {

namespace {

    //! Faults stop this long after the last submission, so that the longest tasks end too.
    constexpr std::int64_t faultsGoOnMs = 60000;
    //! After the jobs have ended, runs of cancelled jobs have to end within this time too.
    constexpr std::int64_t lastRunsMs = 15000;

} // namespace

fleet::JobSpec randomJob(Random& random, int number, std::int64_t longestTaskMs)
{
    auto id = toHex(static_cast<std::uint64_t>(number) + 1);
    auto durationMs = uniform(random, 300, longestTaskMs);
    auto job = sampleJob(id, static_cast<std::uint32_t>(uniform(random, 1, 6)), uniform(random, 0, 8), durationMs);
    auto& step = job.steps.front();
    step.estimatedMs = durationMs * uniform(random, 5, 20) / 10;
    if (uniform(random, 0, 2) == 0) {
        step.isGang = true;
        step.isTightlyCoupled = uniform(random, 0, 1) == 0;
        step.count = std::min<std::uint32_t>(step.count, 4);
        job.payload += " gang=" + std::to_string(step.count);
    } else if (uniform(random, 0, 3) == 0) {
        step.maxPerWorker = 1;
    }
    if (uniform(random, 0, 3) == 0) {
        step.savesCheckpoints = true;
        job.payload += " saves";
    }
    if (uniform(random, 0, 4) == 0)
        step.requiredLabel = "a";
    if (uniform(random, 0, 4) == 0)
        step.dataRack = "r1";
    if (uniform(random, 0, 5) == 0 && !step.isGang) {
        fleet::StepSpec second = step;
        second.after = { 0 };
        job.steps.push_back(second);
    }
    return job;
}

void runWorkload(const SimulationOptions& options, int jobs, std::int64_t endMs)
{
    FleetSimulation simulation(options);
    simulation.runUntil(500);
    for (int n = 0; n < jobs; ++n) {
        auto queue = sampleQueue(static_cast<int>(uniform(simulation.random(), 0, 2)));
        simulation.submit(randomJob(simulation.random(), n, options.longestTaskMs), queue);
        simulation.runUntil(simulation.nowMs() + uniform(simulation.random(), 10, 400));
    }
    if (options.cancelShare > 0) {
        simulation.runUntil(simulation.nowMs() + faultsGoOnMs);
        simulation.stopFaults();
    }
    bool haveAllEnded = simulation.runUntilEnded(endMs);
    if (options.cancelShare > 0)
        simulation.runUntil(simulation.nowMs() + lastRunsMs);
    simulation.checkHistory();
    BOOST_TEST_MESSAGE("seed " << options.seed << ": " << simulation.countRunsAfterDone()
                               << " runs after their task was known to be done, mean job time "
                               << simulation.meanJobMs() << " ms");
    for (const auto& violation : simulation.violations())
        BOOST_ERROR(violation);
    BOOST_CHECK_MESSAGE(haveAllEnded,
        "seed " << options.seed << ": " << simulation.openJobs().size() << " jobs have not ended, the first is "
                << (haveAllEnded ? "" : simulation.openJobs().front()));
}

} // namespace agatevane::test
