#include "deployment.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <unistd.h>

//! The cases of docs/OPERATIONS.md: by the commands shown there, and by nothing else, a request's id leads to its
//! cause.
using namespace agatevane;
using test::PlatformDeployment;

namespace {

constexpr const char* jobId = "5c0e7a21d94b36f8";
constexpr const char* otherJobId = "5c0e7a21d94b36f9";

nlohmann::json jobBody(const std::string& payload, int tasks, int accelerators)
{
    nlohmann::json step { { "count", tasks }, { "cpu", 1000 }, { "gpu", accelerators }, { "estimatedMs", 1000 } };
    return { { "specification", payload }, { "steps", nlohmann::json::array({ step }) } };
}

//! Output of agatevanectl.
std::string operate(std::vector<std::string> arguments)
{
    constexpr Millis limit { 5000 };
    test::Process process("agatevanectl", std::move(arguments));
    for (auto end = now() + limit; process.isRunning() && now() < end;)
        ::usleep(10000);
    BOOST_CHECK_MESSAGE(!process.isRunning(), "agatevanectl hangs");
    return process.output();
}

//! Output of `agatevanectl explain`, given the logs of all nodes.
std::string explain(const PlatformDeployment& deployment, const std::string& job)
{
    std::vector<std::string> arguments { "explain", job };
    for (int index = 0; index < deployment.nodeCount(); ++index) {
        auto path = "/tmp/agatevane_log_" + std::to_string(::getpid()) + "_" + std::to_string(index);
        std::ofstream(path) << deployment.logOf(index);
        arguments.push_back(path);
    }
    auto output = operate(arguments);
    for (auto path = arguments.begin() + 2; path != arguments.end(); ++path)
        ::unlink(path->c_str());
    return output;
}

void checkContains(const std::string& text, const std::string& part)
{
    BOOST_CHECK_MESSAGE(text.find(part) != std::string::npos, "no \"" << part << "\" in\n" << text);
}

} // namespace

// Guards against a refusal whose cause, a store without answers, can't be found from the job's id.
BOOST_AUTO_TEST_CASE(A_refused_submission_leads_to_the_silent_store, *boost::unit_test::label("operations"))
{
    PlatformDeployment deployment;
    deployment.postControl("/faults", R"({"down":true})");
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(1, "POST", jobId, jobBody("ms=100", 1, 1)), 503);
    deployment.postControl("/faults", "{}");
    auto output = explain(deployment, jobId);
    checkContains(output, "last answer: submit not_accepted");
    checkContains(output, "commit_unanswered");
}

// Guards against a late job of which nobody can tell that it waited for room, while it waits and afterwards.
BOOST_AUTO_TEST_CASE(A_late_job_leads_to_the_full_fleet, *boost::unit_test::label("operations"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "POST", jobId, jobBody("ms=60000", 4, 8)), 200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "running", Millis(3000)));
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "POST", otherJobId, jobBody("ms=200", 1, 8)), 200);
    for (int index = 0; index < deployment.nodeCount(); ++index) {
        auto entry = "127.0.0.1:" + std::to_string(deployment.metricsPort(index));
        checkContains(operate({ "--entry", entry, "jobs", "show", otherJobId }), "no_room");
        checkContains(operate({ "--entry", entry, "jobs", "list" }), otherJobId);
        checkContains(operate({ "--entry", entry, "fleet" }), "all ");
        checkContains(operate({ "--entry", entry, "workers" }), "usable");
        checkContains(operate({ "--entry", entry, "members" }), "node-" + std::to_string(index));
    }
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "DELETE", jobId), 200);
    BOOST_CHECK(deployment.awaitState(0, otherJobId, "completed", Millis(8000)));
    auto output = explain(deployment, otherJobId);
    checkContains(output, "start_ordered: 1");
    checkContains(output, "job_completed: 1");
    BOOST_CHECK(output.find("preempted") == std::string::npos);
}

// Guards against a failed job of which nobody can tell on which workers its tasks failed.
BOOST_AUTO_TEST_CASE(A_failed_job_leads_to_its_failed_runs, *boost::unit_test::label("operations"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(0, "POST", jobId, jobBody("ms=100 fails=9", 1, 1)), 200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "failed", Millis(15000)));
    auto output = explain(deployment, jobId);
    checkContains(output, "run_ended:failed: 3");
    checkContains(output, "job_failed: 1");
    checkContains(output, "worker=");
}

// Guards against a cancelled job of which nobody can tell who has cancelled it.
BOOST_AUTO_TEST_CASE(A_cancelled_job_leads_to_the_tenant_that_cancelled_it, *boost::unit_test::label("operations"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.submit(0, jobId, 20000), 200);
    BOOST_REQUIRE(deployment.awaitState(0, jobId, "running", Millis(3000)));
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(1, "DELETE", jobId), 200);
    auto output = explain(deployment, jobId);
    checkContains(output, "call=cancel");
    checkContains(output, "tenant=tenant-1");
}

// Guards against a refused key of which nobody can tell which version of the desired state has refused it.
BOOST_AUTO_TEST_CASE(An_unknown_key_leads_to_the_version_in_force, *boost::unit_test::label("operations"))
{
    PlatformDeployment deployment;
    BOOST_CHECK_EQUAL(deployment.sendJobRequest(2, "POST", jobId, jobBody("ms=100", 1, 1), nullptr, "key-2"), 401);
    auto output = explain(deployment, jobId);
    checkContains(output, "status=unknown_key");
    checkContains(output, "desired_revision=");
}

// Guards against the lines of a takeover that are dropped because the new owner writes one for each worker that it
// reads.
BOOST_AUTO_TEST_CASE(The_log_of_a_takeover_is_whole_with_many_workers, *boost::unit_test::label("operations"))
{
    constexpr int workers = 500; // two lines for each are as many as a process writes in a second
    PlatformDeployment deployment({ .nodes = 2, .workers = workers });
    auto before = deployment.owner();
    BOOST_REQUIRE_GE(before, 0);
    deployment.node(before).kill();
    auto after = 1 - before;
    BOOST_REQUIRE(deployment.await(Millis(8000), [&] { return deployment.owner() == after; }));
    auto status = deployment.submit(after, jobId, 200);
    BOOST_REQUIRE_MESSAGE(status == 200, status << "\n" << deployment.logOf(after));
    BOOST_REQUIRE(deployment.awaitState(after, jobId, "completed", Millis(8000)));
    auto log = deployment.logOf(after);
    checkContains(log, R"("event":"fleet_loaded")");
    checkContains(log, R"("event":"job_completed")");
    BOOST_CHECK(log.find("log_lines_dropped") == std::string::npos);
}
