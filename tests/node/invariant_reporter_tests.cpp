#include "node/invariant_reporter.h"

#include "agatevane/fleet/record.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/metrics/process.h"
#include "fakes.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000c7";
constexpr std::int64_t tickMs = 50;

//! A fleet that runs a job of one task, and calls the reporter with each tick.
struct ReporterFixture {
    ReporterFixture()
    {
        auto listing = test::sampleWorker(1);
        fleet::applyFullList(fleet, { listing }, at());
        auto job = fleet::makeJob(test::sampleJob(jobId, 1000), 0);
        job.phase = fleet::JobPhase::Open;
        fleet::inherit(fleet, job, 0, at());
        fleet::orderRun(fleet.jobs.at(jobId), { jobId, 0, 0, 0 }, 1, worker(), at());
        runFor(1000);
        BOOST_REQUIRE_EQUAL(newViolations(), 0U);
    }

    Instant at() const { return Instant(std::chrono::hours(1)) + Millis(nowMs); }
    fleet::Worker& worker() { return fleet.workers.begin()->second; }
    fleet::Step& step() { return fleet.jobs.at(jobId).occurrences[0].steps[0]; }

    void runFor(std::int64_t durationMs)
    {
        for (auto endMs = nowMs + durationMs; nowMs < endMs; nowMs += tickMs)
            reporter.checkIfDue(fleet, at());
    }

    std::uint64_t newViolations()
    {
        auto before = std::exchange(counted, metrics::violationCount());
        return counted - before;
    }

    fleet::Fleet fleet;
    node::InvariantReporter reporter;
    std::int64_t nowMs = 0;
    std::uint64_t counted = metrics::violationCount();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(invariant_reporter, ReporterFixture)

BOOST_AUTO_TEST_CASE(A_violation_is_counted_once_by_its_name, *boost::unit_test::label("node"))
{
    auto& counter = metrics::registry().counter("agatevane_invariant_violations_total",
        "Invariants found broken; 0 in a correct run.", { { "name", "wrong_active_count" } });
    auto before = counter.value();
    ++step().active;
    runFor(5000);
    BOOST_CHECK_EQUAL(newViolations(), 1U);
    BOOST_CHECK_EQUAL(counter.value() - before, 1U);
}

// Guards against checks that take a node's share of the processor.
BOOST_AUTO_TEST_CASE(The_state_is_checked_once_a_second, *boost::unit_test::label("node"))
{
    std::uint64_t found = 0;
    for (int change = 0; change < 100; ++change) {
        step().active = change % 2 == 0 ? 2 : 1;
        runFor(tickMs);
        found += newViolations();
    }
    BOOST_CHECK_LE(found, 5U);
}

// Guards against a breach that is reported because the process itself was held up.
BOOST_AUTO_TEST_CASE(A_process_that_was_held_up_gets_time_to_stop_runs, *boost::unit_test::label("node"))
{
    fleet::PollAnswer answer;
    fleet::RunKey key { { jobId, 0, 0, 0 }, 1 };
    answer.running.push_back({ key, {}, 1, 0 });
    fleet::applyPollAnswer(fleet, worker().id, answer, 0, at());
    fleet::cancel(fleet, jobId, 0, at());
    nowMs += 10000;
    runFor(2000);
    BOOST_CHECK_EQUAL(newViolations(), 0U);
    runFor(3000);
    BOOST_CHECK_EQUAL(newViolations(), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
