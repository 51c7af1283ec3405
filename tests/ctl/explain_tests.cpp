#include "ctl/explain.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace agatevane;

namespace {

std::vector<event_log::LogLine> sampleLines()
{
    std::istringstream log(
        R"({"time_ms":9000,"event":"ownership_gained","process":"n2","tenure":3})"
        "\n"
        R"({"time_ms":10000,"event":"call_answered","process":"n1","call":"submit","job":"a","status":"ok","reason":"","owner":"n2"})"
        "\n"
        "glog says something\n"
        R"({"time_ms":10020,"event":"start_ordered","process":"n2","job":"a","task":"a.0.0.0","worker":"w1"})"
        "\n"
        R"({"time_ms":10030,"event":"start_ordered","process":"n2","job":"b","task":"b.0.0.0","worker":"w2"})"
        "\n"
        R"({"time_ms":10500,"event":"worker_silent","process":"n2","worker":"w1"})"
        "\n"
        R"({"time_ms":10501,"event":"worker_silent","process":"n2","worker":"w2"})"
        "\n"
        R"({"time_ms":10510,"event":"lease_lost","process":"n3"})"
        "\n"
        R"({"time_ms":11000,"event":"run_ended","process":"n2","job":"a","task":"a.0.0.0","worker":"w1","how":"failed"})"
        "\n"
        R"({"time_ms":30000,"event":"ownership_lost","process":"n2"})"
        "\n");
    std::vector<event_log::LogLine> lines;
    BOOST_CHECK_EQUAL(event_log::readLog(log, lines), 1);
    return lines;
}

} // namespace

// Guards against an explanation that leaves out the job's worker or owner, or that includes the workers of other jobs
// and unrelated processes.
BOOST_AUTO_TEST_CASE(
    An_explanation_has_the_lines_about_the_job_its_workers_and_its_owner, *boost::unit_test::label("explain"))
{
    auto explanation = ctl::explain(sampleLines(), "a");
    std::vector<std::string> events;
    for (const auto& line : explanation.lines)
        events.push_back(line.line.event);
    const std::vector<std::string> expected { "ownership_gained", "call_answered", "start_ordered", "worker_silent",
        "run_ended" };
    BOOST_CHECK_EQUAL_COLLECTIONS(events.begin(), events.end(), expected.begin(), expected.end());
    BOOST_CHECK_EQUAL(explanation.lastAnswer, "submit ok");
    BOOST_CHECK_EQUAL(explanation.counts.at("run_ended:failed"), 1);
}

// Guards against explaining a job with the lines of other jobs.
BOOST_AUTO_TEST_CASE(A_job_without_log_lines_has_no_explanation, *boost::unit_test::label("explain"))
{
    BOOST_CHECK(ctl::explain(sampleLines(), "c").lines.empty());
}
