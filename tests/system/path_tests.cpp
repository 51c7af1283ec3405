#include "cluster.h"
#include "sample_jobs.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::test;
using nlohmann::json;

// Guards against faults of the path of a request or job that appear only between separate processes.
BOOST_AUTO_TEST_CASE(A_request_and_a_gang_are_served_end_to_end, *boost::unit_test::label("path"))
{
    Cluster cluster;
    auto& vm = cluster.firstVmIn("harju");

    auto serviceAnswer = cluster.request(vm, "POST", "/v1/services/visitdesk/calls",
        R"({"durationMs": 20, "answerBytes": 1000})", { { "Agatevane-Idempotent", "true" } });
    BOOST_TEST(!serviceAnswer.error);
    BOOST_TEST(serviceAnswer.status == 200, serviceAnswer.body << cluster.outputs());
    BOOST_TEST(json::parse(serviceAnswer.body).at("service") == "visitdesk");

    // The job is submitted through another region's VM, so that the entry has to find the owner.
    http::ClientResult answer;
    auto id = cluster.submitJob(cluster.firstVmIn("parnu"), gangJob(16, 2), &answer);
    BOOST_REQUIRE_MESSAGE(!id.empty(), answer.status << " " << answer.body << cluster.outputs());
    BOOST_TEST(cluster.waitForJob(vm, id, "finished", Millis(20000)), cluster.jobState(vm, id) << cluster.outputs());

    auto runs = cluster.workerLog("runs", "harju");
    BOOST_TEST(runs.size() == 2U);
    for (const auto& run : runs) {
        BOOST_TEST(run.at("job").get<std::string>() == id);
        BOOST_TEST(run.at("state").get<std::string>() == "finished");
    }
}
