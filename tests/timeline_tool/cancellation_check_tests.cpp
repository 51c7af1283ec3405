#include "timeline_tool/cancellation_check.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace agatevane;
using timeline_tool::Symptom;
using timeline_tool::SymptomReport;

namespace {

constexpr const char* acceptedAtNode1
    = R"({"time_ms":1000,"event":"call_answered","process":"n1","call":"submit","job":"a","status":"ok","owner":"n9","owner_revision":50})";
constexpr const char* cancelledAtNode1
    = R"({"time_ms":2000,"event":"call_answered","process":"n1","call":"cancel","job":"a","status":"ok","owner":"n9","owner_revision":50})";

std::vector<SymptomReport> check(const std::vector<std::string>& texts)
{
    std::stringstream log;
    for (const auto& text : texts)
        log << text << "\n";
    std::vector<event_log::LogLine> lines;
    event_log::readLog(log, lines);
    return timeline_tool::checkCancellations(std::move(lines), {});
}

const SymptomReport* find(const std::vector<SymptomReport>& reports, Symptom symptom)
{
    auto found = std::find_if(
        reports.begin(), reports.end(), [symptom](const auto& report) { return report.symptom == symptom; });
    return found == reports.end() ? nullptr : &*found;
}

} // namespace

// Guards against a check that overlooks the denial of a cancelled job that another node had accepted.
BOOST_AUTO_TEST_CASE(A_denied_cancellation_of_an_accepted_job_is_found, *boost::unit_test::label("logs"))
{
    auto reports = check({ acceptedAtNode1,
        R"({"time_ms":4500,"event":"call_answered","process":"n2","call":"cancel","job":"a","status":"no_such_job","owner":"n3","owner_revision":20})" });
    const auto* report = find(reports, Symptom::CancellationDenied);
    BOOST_REQUIRE(report);
    BOOST_CHECK_EQUAL(report->ageMs, 3500);
    BOOST_CHECK_EQUAL(report->owner, "n3");
    BOOST_CHECK_EQUAL(nameOf(report->certainty), "two_clocks");
}

// Guards against a check that takes a true denial for a wrong one.
BOOST_AUTO_TEST_CASE(A_denial_before_the_acceptance_is_no_symptom, *boost::unit_test::label("logs"))
{
    auto reports = check({ acceptedAtNode1,
        R"({"time_ms":900,"event":"call_answered","process":"n1","call":"cancel","job":"a","status":"no_such_job"})",
        R"({"time_ms":950,"event":"call_answered","process":"n1","call":"state","job":"b","status":"no_such_job"})" });
    BOOST_CHECK(!find(reports, Symptom::CancellationDenied));
    BOOST_CHECK(!find(reports, Symptom::QueryDenied));
}

// Guards against a check that overlooks an accepted job that is denied to a query.
BOOST_AUTO_TEST_CASE(A_denied_query_of_an_accepted_job_is_found, *boost::unit_test::label("logs"))
{
    auto reports = check({ acceptedAtNode1,
        R"({"time_ms":1500,"event":"call_answered","process":"n1","call":"state","job":"a","status":"no_such_job"})" });
    BOOST_REQUIRE(find(reports, Symptom::QueryDenied));
    BOOST_CHECK_EQUAL(nameOf(find(reports, Symptom::QueryDenied)->certainty), "one_clock");
}

// Guards against a check that overlooks a start after the cancellation was acknowledged.
BOOST_AUTO_TEST_CASE(A_start_after_the_cancellation_is_found, *boost::unit_test::label("logs"))
{
    auto reports = check({ acceptedAtNode1, cancelledAtNode1,
        R"({"time_ms":2600,"event":"start_ordered","process":"n9","job":"a","task":"a.0.0.0","run":2,"worker":"w1"})" });
    const auto* report = find(reports, Symptom::StartAfterCancellation);
    BOOST_REQUIRE(report);
    BOOST_CHECK_EQUAL(report->ageMs, 600);
    BOOST_CHECK_EQUAL(report->run, "a.0.0.0 run 2");
}

// Guards against a check that overlooks a run that nobody knew of.
BOOST_AUTO_TEST_CASE(A_run_of_a_cancelled_job_that_its_owner_did_not_know_is_found, *boost::unit_test::label("logs"))
{
    auto reports = check({ acceptedAtNode1, cancelledAtNode1,
        R"({"time_ms":7000,"event":"run_unwanted","process":"n9","job":"a","task":"a.0.0.0","run":2,"worker":"w1"})" });
    BOOST_REQUIRE(find(reports, Symptom::UnknownRun));
    BOOST_CHECK_EQUAL(find(reports, Symptom::UnknownRun)->ageMs, 5000);
}

// Guards against a check that takes the end of an owner's memory for a wrong denial.
BOOST_AUTO_TEST_CASE(A_denial_of_a_job_that_ended_long_ago_is_no_symptom, *boost::unit_test::label("logs"))
{
    constexpr const char* completed = R"({"time_ms":3000,"event":"job_completed","process":"n9","job":"a"})";
    auto late = check({ acceptedAtNode1, completed,
        R"({"time_ms":123001,"event":"call_answered","process":"n1","call":"state","job":"a","status":"no_such_job"})" });
    BOOST_CHECK(!find(late, Symptom::QueryDenied));
    auto early = check({ acceptedAtNode1, completed,
        R"({"time_ms":123000,"event":"call_answered","process":"n1","call":"state","job":"a","status":"no_such_job"})" });
    BOOST_CHECK(find(early, Symptom::QueryDenied));
}

// Guards against a check that calls it a fault that a tenant cannot see the jobs of others, or hides such denials.
BOOST_AUTO_TEST_CASE(A_denial_to_another_tenant_is_listed_apart, *boost::unit_test::label("logs"))
{
    std::string accepted
        = R"({"time_ms":1,"event":"call_answered","process":"n1","call":"submit","job":"a","status":"ok","queue":"q","tenant":"t"})";
    auto denial = [](const std::string& queue, const std::string& tenant) {
        return R"({"time_ms":9,"event":"call_answered","process":"n1","call":"cancel","job":"a","status":"no_such_job","queue":")"
            + queue + R"(","tenant":")" + tenant + R"("})";
    };
    BOOST_CHECK(find(check({ accepted, denial("p", "u") }), Symptom::DeniedToOther));
    BOOST_CHECK(!find(check({ accepted, denial("p", "u") }), Symptom::CancellationDenied));
    BOOST_CHECK(find(check({ accepted, denial("p", "t") }), Symptom::CancellationDenied));
    BOOST_CHECK(find(check({ accepted, denial("q", "u") }), Symptom::CancellationDenied));
}

// Guards against a check that overlooks a run that ends late, or cannot say what it waited for.
BOOST_AUTO_TEST_CASE(A_run_that_ends_late_is_listed_with_its_waits, *boost::unit_test::label("logs"))
{
    auto reports = check({ acceptedAtNode1, cancelledAtNode1,
        R"({"time_ms":3000,"event":"ownership_gained","process":"n5","tenure":2,"revision":60})",
        R"({"time_ms":3400,"event":"fleet_loaded","process":"n5","tenure":2})",
        R"({"time_ms":3900,"event":"stop_ordered","process":"n5","job":"a","task":"a.0.0.0","run":2,"worker":"w1","reason":"job_ended"})",
        R"({"time_ms":6201,"event":"run_ended","process":"n5","job":"a","task":"a.0.0.0","run":2,"worker":"w1"})" });
    const auto* report = find(reports, Symptom::LongRun);
    BOOST_REQUIRE(report);
    BOOST_CHECK_EQUAL(report->ageMs, 4201);
    BOOST_CHECK_EQUAL(report->worker, "w1");
    BOOST_CHECK_EQUAL(report->detail,
        "waited for: owner 1000 ms, loading 400 ms, stop order 500 ms, run_ended 2301 ms; stop ordered at 1900 ms "
        "(job_ended)");
    BOOST_CHECK(!find(reports, Symptom::RunNotEnded));
}

// Guards against a check that calls a run late that ended within its bound.
BOOST_AUTO_TEST_CASE(A_run_that_ends_within_the_bound_is_no_symptom, *boost::unit_test::label("logs"))
{
    auto reports = check({ acceptedAtNode1, cancelledAtNode1,
        R"({"time_ms":6200,"event":"run_missing","process":"n9","job":"a","task":"a.0.0.0","run":2,"worker":"w1"})" });
    BOOST_CHECK(reports.empty());
}

// Guards against a check that overlooks a run that is alive when the logs end.
BOOST_AUTO_TEST_CASE(A_run_without_an_end_is_found, *boost::unit_test::label("logs"))
{
    const std::string stop
        = R"({"time_ms":2100,"event":"stop_ordered","process":"n9","job":"a","task":"a.0.0.0","run":2,"worker":"w1"})";
    auto at = [](int timeMs, const std::string& event) {
        return R"({"time_ms":)" + std::to_string(timeMs) + R"(,"event":")" + event
            + R"(","process":"n9","worker":"w1","tenure":7,"revision":70})";
    };
    auto alive = check({ acceptedAtNode1, cancelledAtNode1, stop, at(8000, "worker_listed") });
    BOOST_REQUIRE(find(alive, Symptom::RunNotEnded));
    BOOST_CHECK_EQUAL(find(alive, Symptom::RunNotEnded)->ageMs, 6000);
    BOOST_CHECK(!find(check({ acceptedAtNode1, cancelledAtNode1, stop, at(6200, "x") }), Symptom::RunNotEnded));
    BOOST_CHECK(
        !find(check({ acceptedAtNode1, cancelledAtNode1, stop, at(8000, "worker_removed") }), Symptom::RunNotEnded));
    // The line on the end may be among those that were dropped.
    auto lossy = check({ acceptedAtNode1, cancelledAtNode1, stop, at(8000, "log_lines_dropped") });
    BOOST_CHECK(!find(lossy, Symptom::RunNotEnded));
    BOOST_CHECK(find(lossy, Symptom::EndNotLogged));
    auto lossySuccessor = check(
        { R"({"time_ms":500,"event":"ownership_gained","process":"n5","tenure":7,"revision":5})", acceptedAtNode1,
            cancelledAtNode1, stop, R"({"time_ms":8000,"event":"log_lines_dropped","process":"n5","total":9})" });
    BOOST_CHECK(!find(lossySuccessor, Symptom::RunNotEnded));
    BOOST_CHECK(find(lossySuccessor, Symptom::EndNotLogged));
    // A later owner would have reported the run, but only once it has loaded the fleet.
    auto elected = at(8000, "ownership_gained");
    BOOST_CHECK(find(check({ acceptedAtNode1, cancelledAtNode1, stop, elected }), Symptom::RunNotEnded));
    auto loaded = at(8100, "fleet_loaded");
    BOOST_CHECK(!find(check({ acceptedAtNode1, cancelledAtNode1, stop, elected, loaded }), Symptom::RunNotEnded));
}

// Guards against a check that takes the order of an owner that doesn't know of a run's end for a sign of life.
BOOST_AUTO_TEST_CASE(A_stop_order_after_the_end_is_no_sign_of_life, *boost::unit_test::label("logs"))
{
    auto at = [](int timeMs, const std::string& event, const std::string& process) {
        return R"({"time_ms":)" + std::to_string(timeMs) + R"(,"event":")" + event + R"(","process":")" + process
            + R"(","job":"a","task":"a.0.0.0","run":2,"worker":"w1"})";
    };
    auto late = R"({"time_ms":9000,"event":"x","process":"n1"})";
    auto gone = check(
        { acceptedAtNode1, cancelledAtNode1, at(2500, "run_ended", "n5"), at(6900, "stop_ordered", "n9"), late });
    BOOST_CHECK(gone.empty());
    // A worker's report is one.
    auto back = check(
        { acceptedAtNode1, cancelledAtNode1, at(2500, "run_lost", "n5"), at(6900, "run_unwanted", "n5"), late });
    BOOST_CHECK(find(back, Symptom::RunNotEnded));
}

// Guards against a check without power where no denial is wrong: an owner that goes on and answers beside its
// successor.
BOOST_AUTO_TEST_CASE(Facts_that_a_replaced_owner_tells_are_found, *boost::unit_test::label("logs"))
{
    auto answer = [](int timeMs, const std::string& status) {
        return R"({"time_ms":)" + std::to_string(timeMs)
            + R"(,"event":"call_answered","process":"n1","call":"cancel","job":"b","owner":"n9","owner_revision":50,"status":")"
            + status + R"("})";
    };
    auto reports = check({ R"({"time_ms":1000,"event":"ownership_gained","process":"n5","tenure":2,"revision":60})",
        answer(999, "no_such_job"), answer(1500, "no_such_job"), answer(1600, "ok"), answer(1700, "not_known"),
        R"({"time_ms":4000,"event":"ownership_lost","process":"n9","tenure":1,"reason":"replaced"})" });
    BOOST_CHECK_EQUAL(reports.size(), 3);
    BOOST_REQUIRE(find(reports, Symptom::DenialOfReplacedOwner));
    BOOST_CHECK_EQUAL(find(reports, Symptom::DenialOfReplacedOwner)->ageMs, 500);
    BOOST_REQUIRE(find(reports, Symptom::AnswerOfReplacedOwner));
    BOOST_CHECK_EQUAL(find(reports, Symptom::AnswerOfReplacedOwner)->ageMs, 600);
    BOOST_REQUIRE(find(reports, Symptom::TwoOwners));
    BOOST_CHECK_EQUAL(find(reports, Symptom::TwoOwners)->ageMs, 3000);
    BOOST_CHECK_EQUAL(find(reports, Symptom::TwoOwners)->detail, "replaced");
}

// Guards against a check that overlooks facts that an owner told without the store's confirmation.
BOOST_AUTO_TEST_CASE(Unconfirmed_facts_are_found, *boost::unit_test::label("logs"))
{
    auto reports = check(
        { R"({"time_ms":1,"event":"call_answered","process":"n1","call":"cancel","job":"b","status":"no_such_job","owner_confirmed":false,"confirmed_age_ms":700})",
            R"({"time_ms":2,"event":"call_answered","process":"n1","call":"cancel","job":"b","status":"no_such_job","owner_confirmed":true,"confirmed_age_ms":90})",
            R"({"time_ms":3,"event":"call_answered","process":"n1","call":"cancel","job":"b","status":"not_known","owner_confirmed":false})" });
    BOOST_REQUIRE_EQUAL(reports.size(), 1);
    BOOST_CHECK_EQUAL(nameOf(reports[0].symptom), "unconfirmed_answer");
    BOOST_CHECK_EQUAL(reports[0].ageMs, 700);
}

// Guards against ages that look sure although a machine's clock was set back between the lines.
BOOST_AUTO_TEST_CASE(A_clock_that_was_set_back_makes_a_finding_unsure, *boost::unit_test::label("logs"))
{
    auto reports = check({ R"({"time_ms":9000,"event":"started","process":"n1"})", acceptedAtNode1,
        R"({"time_ms":1500,"event":"call_answered","process":"n1","call":"state","job":"a","status":"no_such_job"})" });
    BOOST_REQUIRE(find(reports, Symptom::QueryDenied));
    BOOST_CHECK_EQUAL(nameOf(find(reports, Symptom::QueryDenied)->certainty), "stepped_clock");
    BOOST_CHECK(!timeline_tool::isSureFault(*find(reports, Symptom::QueryDenied)));
    auto text = timeline_tool::formatSymptoms(reports, 1);
    BOOST_CHECK(text.find("query_denied 1, 1 of them on clocks that were set back\n") != std::string::npos);
}

// Guards against doubts about a clock only because threads wrote their lines in another order.
BOOST_AUTO_TEST_CASE(Lines_that_are_a_little_out_of_order_are_no_clock_step, *boost::unit_test::label("logs"))
{
    auto denialAfter = [](const std::string& started) {
        auto reports = check({ acceptedAtNode1, started,
            R"({"time_ms":1500,"event":"call_answered","process":"n1","call":"state","job":"a","status":"no_such_job"})" });
        BOOST_REQUIRE(find(reports, Symptom::QueryDenied));
        return timeline_tool::isSureFault(*find(reports, Symptom::QueryDenied));
    };
    BOOST_CHECK(denialAfter(R"({"time_ms":1549,"event":"started","process":"n1"})"));
    BOOST_CHECK(!denialAfter(R"({"time_ms":1550,"event":"started","process":"n1"})"));
}

// Guards against an exit code that alarms for what happens in any failover.
BOOST_AUTO_TEST_CASE(Steps_before_a_fault_are_no_faults, *boost::unit_test::label("logs"))
{
    BOOST_CHECK(timeline_tool::isFault(Symptom::CancellationDenied));
    BOOST_CHECK(timeline_tool::isFault(Symptom::RunNotEnded));
    BOOST_CHECK(!timeline_tool::isFault(Symptom::TwoOwners));
    BOOST_CHECK(!timeline_tool::isFault(Symptom::UnknownRun));
}

// Guards against a report that hides how many more there are, or prints them all.
BOOST_AUTO_TEST_CASE(The_text_has_all_counts_and_the_worst_reports, *boost::unit_test::label("logs"))
{
    std::vector<std::string> log { acceptedAtNode1, cancelledAtNode1 };
    for (int run = 1; run <= 3; ++run)
        log.push_back(R"({"time_ms":)" + std::to_string(2000 + run)
            + R"(,"event":"start_ordered","process":"n9","task":"a.0.0.0","worker":"w1","run":)" + std::to_string(run)
            + "}");
    auto text = timeline_tool::formatSymptoms(check(log), 2);
    BOOST_CHECK(text.find("fault  start_after_cancellation 3\n") != std::string::npos);
    BOOST_CHECK(text.find("step   two_owners 0\n") != std::string::npos);
    BOOST_CHECK(text.find("2003  start_after_cancellation  age_ms=3 two_clocks process=n9 job=a run=\"a.0.0.0 run 3\"")
        != std::string::npos);
    BOOST_CHECK(text.find("a.0.0.0 run 1") == std::string::npos);
}
