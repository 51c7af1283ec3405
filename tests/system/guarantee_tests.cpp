#include "cluster.h"
#include "sample_jobs.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::test;
using nlohmann::json;

namespace {

//! Submits a job of the workspace "grants", which has no guarantee. Returns its id, or "" if it was not accepted.
std::string submitAsGrants(Cluster& cluster, int accelerators, int seconds)
{
    auto spec = gangJob(accelerators, seconds);
    spec["workspace"] = "grants";
    spec["class"] = "batch";
    auto answer = cluster.request(cluster.firstVmIn("tartu"), "POST", "/v1/jobs", spec.dump(), {}, operatorToken);
    return answer.status == 202 ? json::parse(answer.body).at("id").get<std::string>() : std::string();
}

int countRunningParts(Cluster& cluster)
{
    int running = 0;
    for (const auto& run : cluster.workerLog("runs", "harju"))
        running += run.at("state") == "running" ? 1 : 0;
    return running;
}

} // namespace

// Guards against lent capacity of a guarantee that is not returned in time, and against a guarantee claim that stops
// only a part of a gang.
BOOST_AUTO_TEST_CASE(A_lent_guarantee_is_reclaimed_within_its_deadline, *boost::unit_test::label("guarantee"))
{
    Cluster cluster;
    auto first = submitAsGrants(cluster, 16, 60);
    auto second = submitAsGrants(cluster, 16, 60);
    BOOST_REQUIRE(!first.empty());
    BOOST_REQUIRE(!second.empty());
    BOOST_REQUIRE_MESSAGE(waitFor([&] { return countRunningParts(cluster) == 4; }, Millis(20000)), cluster.outputs());

    auto claimedAt = now();
    auto claim = cluster.submitJob(cluster.firstVmIn("harju"), gangJob(8, 2));
    BOOST_REQUIRE(!claim.empty());
    constexpr Millis reclaimDeadline { 30000 };
    bool isStarted = waitFor(
        [&] {
            for (const auto& run : cluster.workerLog("runs", "harju")) {
                if (run.at("job") == claim)
                    return true;
            }
            return false;
        },
        reclaimDeadline);
    BOOST_TEST(isStarted, cluster.outputs());
    BOOST_TEST_MESSAGE("claim started after " << elapsed(claimedAt, now()).count() << " ms");

    // One gang was stopped as a whole; the other one keeps running.
    std::map<std::string, int> running;
    for (const auto& run : cluster.workerLog("runs", "harju")) {
        if (run.at("state") == "running" && run.at("job") != claim)
            ++running[run.at("job")];
    }
    BOOST_TEST(running.size() == 1U);
    for (const auto& [job, parts] : running)
        BOOST_TEST(parts == 2, job);
}

// Guards against a worker that fails its runs at once, is free again at once and so attracts every job.
BOOST_AUTO_TEST_CASE(Jobs_finish_although_one_worker_fails_everything, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    cluster.workerControl("harju", "harju-w0", "faults", { { "failsAll", true } });
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i)
        jobs.push_back(cluster.submitJob(cluster.firstVmIn("parnu"), gangJob(8, 1)));
    for (const auto& job : jobs) {
        BOOST_REQUIRE(!job.empty());
        BOOST_TEST(cluster.waitForJob(cluster.firstVmIn("harju"), job, "finished", Millis(60000)),
            job << " " << cluster.jobState(cluster.firstVmIn("harju"), job));
    }
}
