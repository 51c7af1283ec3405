#include "tests/soak/ledger.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane::soak;

// A check that can't fail proves nothing: each of these histories breaks one promise.

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

RunEntry runOf(std::uint32_t number, std::int64_t beganMs, std::int64_t endedMs, const std::string& how)
{
    RunEntry run;
    run.job = jobId;
    run.task = std::string(jobId) + ".0.0.0";
    run.number = number;
    run.worker = "i-100";
    run.beganMs = beganMs;
    run.endedMs = endedMs;
    run.how = how;
    return run;
}

std::size_t breachesOf(Ledger ledger, const std::vector<RunEntry>& runs)
{
    checkRuns(ledger, runs);
    return ledger.breaches.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(A_history_that_keeps_all_promises_has_no_breach)
{
    BOOST_CHECK_EQUAL(breachesOf(acceptedJob(), { runOf(1, 200, 300, "stopped"), runOf(2, 300, 400, "done") }), 0U);
}

BOOST_AUTO_TEST_CASE(Two_runs_of_a_task_at_a_time_are_a_breach)
{
    auto second = runOf(2, 250, 400, "done");
    second.worker = "i-101";
    BOOST_CHECK_EQUAL(breachesOf(acceptedJob(), { runOf(1, 200, 300, "stopped"), second }), 1U);
}

BOOST_AUTO_TEST_CASE(A_run_after_a_noted_end_is_a_breach)
{
    auto done = runOf(1, 200, 300, "done");
    BOOST_CHECK_EQUAL(breachesOf(acceptedJob(), { done, runOf(2, 300, 400, "done") }), 0U);
    done.isNoted = true;
    BOOST_CHECK_EQUAL(breachesOf(acceptedJob(), { done, runOf(2, 300, 400, "done") }), 1U);
}

BOOST_AUTO_TEST_CASE(A_worker_beyond_its_room_is_a_breach)
{
    auto other = runOf(1, 250, 400, "done");
    other.task = std::string(jobId) + ".0.0.1";
    BOOST_CHECK_EQUAL(breachesOf(acceptedJob(), { runOf(1, 200, 300, "done"), other }), 1U);
}

BOOST_AUTO_TEST_CASE(A_run_of_a_refused_unknown_or_cancelled_job_is_a_breach)
{
    auto refused = acceptedJob();
    refused.jobs[jobId].acceptedMs = -1;
    refused.jobs[jobId].isGivenUp = true;
    BOOST_CHECK_EQUAL(breachesOf(refused, { runOf(1, 200, 300, "done") }), 1U);
    BOOST_CHECK_EQUAL(breachesOf(Ledger(), { runOf(1, 200, 300, "done") }), 1U);
    auto cancelled = acceptedJob();
    cancelled.jobs[jobId].cancelAckedMs = 500;
    BOOST_CHECK_EQUAL(breachesOf(cancelled, { runOf(1, 3600, 3700, "stopped") }), 1U);
}

BOOST_AUTO_TEST_CASE(Wrong_states_are_breaches)
{
    auto ledger = acceptedJob();
    noteState(ledger, jobId, { 410, "", 1000, 1001 });
    BOOST_CHECK(ledger.breaches.empty());
    noteState(ledger, jobId, { 410, "", 4000, 4001 });
    noteState(ledger, jobId, { 200, "completed", 4090, 4100 });
    noteState(ledger, jobId, { 200, "running", 4050, 4150 });
    BOOST_CHECK_EQUAL(ledger.breaches.size(), 1U);
    noteState(ledger, jobId, { 200, "running", 4200, 4201 });
    noteState(ledger, jobId, { 200, "cancelled", 4300, 4301 });
    BOOST_CHECK_EQUAL(ledger.breaches.size(), 4U);
    BOOST_CHECK_EQUAL(ledger.jobs[jobId].endedMs, 4100);
}

BOOST_AUTO_TEST_CASE(A_job_shown_completed_without_its_tasks_done_is_a_breach)
{
    auto ledger = acceptedJob();
    ledger.jobs[jobId].state = "completed";
    BOOST_CHECK_EQUAL(breachesOf(ledger, { runOf(1, 200, 300, "failed") }), 1U);
}
