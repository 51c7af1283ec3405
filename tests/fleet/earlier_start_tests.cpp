#include "simulation.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::FleetSimulation;

namespace {

//! A poll finds a run within its interval, and the run's stop takes 150 ms.
constexpr std::int64_t foundAndStoppedMs = 1000;
constexpr const char* jobId = "00000000000000c1";

//! A job was cancelled under an earlier owner, one of whose starts is still on its way.
struct LateEarlierStart {
    LateEarlierStart()
    {
        simulation.runUntil(500);
        auto job = test::sampleJob(jobId, 1, 1, 60000);
        simulation.submit(job, test::sampleQueue());
        simulation.runUntil(1500);
        BOOST_REQUIRE_EQUAL(simulation.workers().history().size(), 1U);
        worker = simulation.workers().history().front().worker;
        late = { worker, {}, { jobId, 0, 0, 0 }, 1, job.payload, {}, {}, std::int64_t { 1 } << 40, 1 };
        simulation.cancel(jobId);
        simulation.runUntil(2500);
        BOOST_REQUIRE_GE(simulation.workers().history().front().endedMs, 0);
        simulation.takeOver();
        tookOverMs = simulation.nowMs();
    }

    void runUntilAfterTakeover(std::int64_t ms) { simulation.runUntil(tookOverMs + ms); }

    //! The worker, which has restarted and forgotten the later owner, carries out the start.
    void carryOutStart()
    {
        BOOST_REQUIRE(simulation.workers().start(late, simulation.nowMs()).outcome == fleet::OrderOutcome::Done);
        BOOST_REQUIRE_EQUAL(simulation.workers().history().size(), 2U);
    }

    bool hasEnded() const { return simulation.workers().history().back().endedMs >= 0; }

    FleetSimulation simulation { { .seed = 21, .workers = 2, .maxLeaseMs = 10000 } };
    fleet::WorkerId worker;
    fleet::StartOrder late;
    std::int64_t tookOverMs = 0;
};

} // namespace

// Guards against a run that nobody polls for: an earlier owner sends starts for 8 s beside its successor, and each may
// be 12 s late, but the successor forgot a worker that is not listed 12.5 s after the takeover.
BOOST_FIXTURE_TEST_CASE(A_start_that_an_earlier_owner_sent_after_the_takeover_is_found, LateEarlierStart,
    *boost::unit_test::label("workers"))
{
    simulation.cutFromStore(worker, tookOverMs + 40000);
    runUntilAfterTakeover(17000);
    simulation.workers().restart(worker, simulation.nowMs());
    runUntilAfterTakeover(17050);
    carryOutStart();
    simulation.runUntil(simulation.nowMs() + foundAndStoppedMs);
    BOOST_CHECK(hasEnded());
}

// Guards against the same on a worker that is listed again, which its owner must poll before it relies on it.
BOOST_FIXTURE_TEST_CASE(A_late_start_on_a_worker_that_is_listed_again_is_found_at_once, LateEarlierStart,
    *boost::unit_test::label("workers"))
{
    simulation.cutFromStore(worker, tookOverMs + 24000);
    runUntilAfterTakeover(22000);
    simulation.workers().restart(worker, simulation.nowMs());
    carryOutStart();
    runUntilAfterTakeover(24000);
    constexpr std::int64_t listInterval = 1000;
    simulation.runUntil(simulation.nowMs() + listInterval + foundAndStoppedMs);
    BOOST_CHECK(hasEnded());
}

// Guards against polls for ever: a worker that is not listed is forgotten once no start can begin there.
BOOST_FIXTURE_TEST_CASE(
    An_unlisted_worker_is_forgotten_after_the_last_late_start, LateEarlierStart, *boost::unit_test::label("workers"))
{
    simulation.cutFromStore(worker, tookOverMs + 40000);
    runUntilAfterTakeover(20000);
    BOOST_CHECK(simulation.fleet().workers.contains(worker));
    runUntilAfterTakeover(22000);
    BOOST_CHECK(!simulation.fleet().workers.contains(worker));
}
