#include "tests/soak/ledger.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane::soak;

// Guards against checks that never fail: the histories here violate an invariant each, and the check has to find it.

namespace {

constexpr const char* jobId = "0000000000000001";

Ledger acceptedJob()
{
    Ledger ledger;
    auto& job = ledger.jobs[jobId];
    job.acceleratorsPerTask = 5;
    job.firstSentMs = 100;
    job.acceptedMs = 120;
    return ledger;
}

RunEntry runOf(std::uint32_t number, std::int64_t beganMs, std::int64_t endedMs, const std::string& outcome)
{
    RunEntry run;
    run.job = jobId;
    run.task = std::string(jobId) + ".0.0.0";
    run.number = number;
    run.worker = "i-100";
    run.beganMs = beganMs;
    run.endedMs = endedMs;
    run.outcome = outcome;
    return run;
}

std::size_t violationCount(Ledger ledger, const std::vector<RunEntry>& runs)
{
    checkRuns(ledger, runs);
    return ledger.violations.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(A_correct_history_has_no_violation)
{
    BOOST_CHECK_EQUAL(violationCount(acceptedJob(), { runOf(1, 200, 300, "stopped"), runOf(2, 300, 400, "done") }), 0U);
}

BOOST_AUTO_TEST_CASE(Overlapping_runs_of_a_task_are_a_violation)
{
    auto second = runOf(2, 250, 400, "done");
    second.worker = "i-101";
    BOOST_CHECK_EQUAL(violationCount(acceptedJob(), { runOf(1, 200, 300, "stopped"), second }), 1U);
}

BOOST_AUTO_TEST_CASE(A_run_after_an_acknowledged_end_is_a_violation)
{
    auto done = runOf(1, 200, 300, "done");
    BOOST_CHECK_EQUAL(violationCount(acceptedJob(), { done, runOf(2, 300, 400, "done") }), 0U);
    done.isEndAcknowledged = true;
    BOOST_CHECK_EQUAL(violationCount(acceptedJob(), { done, runOf(2, 300, 400, "done") }), 1U);
}

BOOST_AUTO_TEST_CASE(Using_more_accelerators_than_a_worker_has_is_a_violation)
{
    auto other = runOf(1, 250, 400, "done");
    other.task = std::string(jobId) + ".0.0.1";
    BOOST_CHECK_EQUAL(violationCount(acceptedJob(), { runOf(1, 200, 300, "done"), other }), 1U);
}

BOOST_AUTO_TEST_CASE(A_run_of_a_refused_unknown_or_cancelled_job_is_a_violation)
{
    auto refused = acceptedJob();
    refused.jobs[jobId].acceptedMs = -1;
    refused.jobs[jobId].isGivenUp = true;
    BOOST_CHECK_EQUAL(violationCount(refused, { runOf(1, 200, 300, "done") }), 1U);
    BOOST_CHECK_EQUAL(violationCount(Ledger(), { runOf(1, 200, 300, "done") }), 1U);
    auto cancelled = acceptedJob();
    cancelled.jobs[jobId].cancelAckedMs = 500;
    BOOST_CHECK_EQUAL(violationCount(cancelled, { runOf(1, 3600, 3700, "stopped") }), 1U);
}

BOOST_AUTO_TEST_CASE(Contradictory_job_states_are_violations)
{
    auto ledger = acceptedJob();
    recordState(ledger, jobId, { 410, "", 1000, 1001 });
    BOOST_CHECK(ledger.violations.empty());
    recordState(ledger, jobId, { 410, "", 4000, 4001 });
    recordState(ledger, jobId, { 200, "completed", 4090, 4100 });
    recordState(ledger, jobId, { 200, "running", 4050, 4150 });
    BOOST_CHECK_EQUAL(ledger.violations.size(), 1U);
    recordState(ledger, jobId, { 200, "running", 4200, 4201 });
    recordState(ledger, jobId, { 200, "cancelled", 4300, 4301 });
    BOOST_CHECK_EQUAL(ledger.violations.size(), 4U);
    BOOST_CHECK_EQUAL(ledger.jobs[jobId].endedMs, 4100);
}

BOOST_AUTO_TEST_CASE(A_job_reported_completed_without_its_tasks_done_is_a_violation)
{
    auto ledger = acceptedJob();
    ledger.jobs[jobId].state = "completed";
    BOOST_CHECK_EQUAL(violationCount(ledger, { runOf(1, 200, 300, "failed") }), 1U);
}
