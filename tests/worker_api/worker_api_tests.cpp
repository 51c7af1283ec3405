#include "agatevane/worker_api/worker_api.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;

namespace {

WorkerReport sampleReport()
{
    WorkerReport report { .worker = { "w1" },
        .instance = "i1",
        .clockMs = 5,
        .epoch = 3,
        .slots = 8,
        .connections = 64,
        .capacity = { 8, 130, 262144 },
        .rack = { "r1" },
        .dataCentre = { "harju" } };
    report.tasks.push_back({ .job = { "j" },
        .attempt = { "a" },
        .epoch = 3,
        .state = TaskState::Running,
        .accelerators = 8,
        .part = 1,
        .parts = 2,
        .progressMs = 7,
        .checkpointedMs = 6,
        .leaseUntilClockMs = 4000 });
    return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(An_encoded_report_decodes_to_the_same_report, *boost::unit_test::label("codec"))
{
    WorkerReport result;
    auto findings = decode(nlohmann::json(sampleReport()).dump(), result);
    BOOST_TEST(format(findings) == "");
    BOOST_TEST((result == sampleReport()));
}

// Guards against reading a malformed field as zero: the worker would seem to be free and would be overcommitted.
BOOST_AUTO_TEST_CASE(
    A_report_with_a_malformed_task_is_refused_with_the_path_of_the_field, *boost::unit_test::label("codec"))
{
    auto json = nlohmann::json(sampleReport());
    json["tasks"][0]["accelerators"] = "eight";
    json["tasks"][0]["state"] = "lost";
    WorkerReport result;
    auto text = format(decode(json.dump(), result));
    BOOST_TEST(text.find("/tasks/0/accelerators: must be an integer") != std::string::npos);
    BOOST_TEST(text.find("/tasks/0/state") != std::string::npos);
}

RC_BOOST_PROP(decoding_any_text_never_throws, (const std::string& text))
{
    WorkerReport report;
    RC_ASSERT(!decode(text, report).empty());
    RenewCommand renew;
    RC_ASSERT(!decode(text, renew).empty());
}
