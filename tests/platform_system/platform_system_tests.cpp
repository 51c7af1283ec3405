#include "deployment.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace agatevane;
using test::PlatformDeployment;

namespace {

constexpr const char* jobId = "5c0e7a21d94b36f8";

//! The number of runs of each task that ended successfully.
std::map<std::string, int> successfulRunsByTask(const nlohmann::json& runs)
{
    std::map<std::string, int> counts;
    for (const auto& run : runs)
        counts[run.at("task")] += run.at("how") == "done" ? 1 : 0;
    return counts;
}

void checkEachTaskSucceededOnce(const nlohmann::json& runs, std::size_t tasks)
{
    auto successfulRuns = successfulRunsByTask(runs);
    BOOST_CHECK_EQUAL(successfulRuns.size(), tasks);
    for (const auto& [task, count] : successfulRuns)
        BOOST_CHECK_MESSAGE(count == 1, task << " has " << count << " successful runs");
}

} // namespace

BOOST_AUTO_TEST_CASE(
    An_accepted_job_is_run_and_every_node_reports_it_completed, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.submit(0, jobId, 300), 200);
    BOOST_CHECK_EQUAL(deployment.submit(1, jobId, 300), 200);
    BOOST_CHECK(deployment.awaitState(2, jobId, "completed", Millis(5000)));
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "GET", "", nullptr, nullptr, "key-2"), 401);
    checkEachTaskSucceededOnce(deployment.runs(), 2);
}

BOOST_AUTO_TEST_CASE(
    A_cancelled_job_is_reported_cancelled_and_its_runs_stop, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.submit(0, jobId, 20000), 200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "running", Millis(3000)));
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(1, "DELETE", jobId), 200);
    BOOST_CHECK_EQUAL(deployment.stateOf(2, jobId), "cancelled");
    BOOST_CHECK(deployment.await(Millis(3000), [&] {
        auto runs = deployment.runs();
        return std::all_of(runs.begin(), runs.end(), [](const auto& run) { return run.at("endedMs") >= 0; });
    }));
}

// Guards against jobs that are lost or run twice when their owner is killed.
BOOST_AUTO_TEST_CASE(A_killed_owner_loses_no_job, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.submit(0, jobId, 3500), 200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "running", Millis(3000)));
    auto owner = deployment.owner();
    BOOST_REQUIRE_GE(owner, 0);
    deployment.node(owner).kill();
    BOOST_CHECK(deployment.awaitState((owner + 1) % 3, jobId, "completed", Millis(10000)));
    checkEachTaskSucceededOnce(deployment.runs(), 2);
}

// Guards against accepted jobs that exist only in the memory of processes.
BOOST_AUTO_TEST_CASE(Jobs_survive_the_kill_of_all_nodes, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.submit(0, jobId, 4000), 200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "running", Millis(3000)));
    for (int index = 0; index < 3; ++index)
        deployment.node(index).kill();
    for (int index = 0; index < 3; ++index)
        deployment.startNode(index);
    BOOST_CHECK(deployment.awaitState(1, jobId, "completed", Millis(12000)));
    checkEachTaskSucceededOnce(deployment.runs(), 2);
}

// Guards against a job that is reported as accepted although the store is unavailable, and against a job that runs
// although it was refused.
BOOST_AUTO_TEST_CASE(Without_the_store_no_job_is_accepted_and_none_is_lost, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.submit(0, jobId, 1500), 200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "running", Millis(3000)));
    deployment.postControl("/faults", R"({"down":true})");
    BOOST_CHECK_EQUAL(deployment.submit(1, "00000000000000aa", 100), 503);
    deployment.postControl("/faults", "{}");
    BOOST_CHECK(deployment.awaitState(2, jobId, "completed", Millis(8000)));
    BOOST_CHECK_EQUAL(deployment.stateOf(0, "00000000000000aa"), "410");
    checkEachTaskSucceededOnce(deployment.runs(), 2);
}

// Guards against a request that is cut off or refused because its node is stopping.
BOOST_AUTO_TEST_CASE(
    Requests_are_served_while_the_nodes_are_stopped_in_turn, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    for (int index = 0; index < 3; ++index) {
        auto id = "00000000000000b" + std::to_string(index);
        BOOST_CHECK_EQUAL(deployment.submit((index + 1) % 3, id, 200), 200);
        BOOST_CHECK_EQUAL(deployment.node(index).terminate(), 0);
        BOOST_CHECK(deployment.awaitState((index + 1) % 3, id, "completed", Millis(8000)));
        deployment.startNode(index);
        BOOST_REQUIRE(deployment.await(Millis(8000), [&] { return deployment.stateOf(index, id) == "completed"; }));
    }
}

// Guards against a changed settings file that takes effect only after a signal, and against a malformed one that is
// applied.
BOOST_AUTO_TEST_CASE(A_changed_settings_file_is_applied_without_a_signal, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    deployment.addSetting(0, "bounds.status_s=60");
    auto hasLogged = [&](const std::string& text) {
        return deployment.await(Millis(8000), [&] { return deployment.logOf(0).find(text) != std::string::npos; });
    };
    BOOST_CHECK(hasLogged(R"("event":"reloaded","process":"node-0","cause":"change","applied":true})"));
    deployment.addSetting(0, "bounds.graceS=soon");
    BOOST_CHECK(hasLogged(R"("event":"reloaded","process":"node-0","cause":"change","applied":false})"));
    BOOST_CHECK(hasLogged(R"("event":"settings_wrong")"));
}

// Guards against waves of upkeep that are not carried out, or that lose work which a checkpoint could have saved.
BOOST_AUTO_TEST_CASE(A_wave_of_upkeep_is_completed_while_jobs_run, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    nlohmann::json step { { "count", 4 }, { "cpu", 1000 }, { "gpu", 4 }, { "estimatedMs", 6000 },
        { "enableCheckpoints", true } };
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "POST", jobId,
                          { { "specification", "ms=6000 saves" }, { "steps", nlohmann::json::array({ step }) } }),
        200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "running", Millis(3000)));
    deployment.postControl("/waves", R"({"wave":1,"machines":["m-100","m-101"],"durationS":30,"maximum":1})");
    auto statusOf = [&deployment] { return deployment.readControl("/status").value("status/wave/1", ""); };
    BOOST_CHECK(deployment.await(Millis(2000), [&] { return statusOf() == R"({"state":"running"})"; }));
    BOOST_CHECK(deployment.await(Millis(25000), [&] { return statusOf() == R"({"state":"completed"})"; }));
    auto workers = deployment.readControl("/workers");
    BOOST_CHECK(workers.contains("i-100-1") && workers.contains("i-101-1"));
    BOOST_CHECK(deployment.awaitState(1, jobId, "completed", Millis(15000)));
    // A run that was cut off by the upkeep of its machine would have an empty `how`.
    for (const auto& run : deployment.runs())
        BOOST_CHECK_MESSAGE(run.at("how") != "", run.dump());
}

// Guards against a removed API key that some node still accepts.
BOOST_AUTO_TEST_CASE(A_new_desired_state_takes_effect_at_every_node, *boost::unit_test::label("platform_system"))
{
    PlatformDeployment deployment;
    deployment.putDesiredState(2, { "key-2" });
    BOOST_CHECK(deployment.await(Millis(2500), [&] {
        for (int index = 0; index < 3; ++index) {
            if (deployment.sendJobRequest(index, "GET", "", nullptr, nullptr, "key-1") != 401
                || deployment.sendJobRequest(index, "GET", "", nullptr, nullptr, "key-2") != 200)
                return false;
        }
        return true;
    }));
}
