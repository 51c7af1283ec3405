#include "cluster.h"
#include "sample_jobs.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::test;
using nlohmann::json;

namespace {

//! Number of finished runs of a job; a finished job has one for each part.
int countFinishedParts(Cluster& cluster, const std::string& job)
{
    int finished = 0;
    for (const auto& run : cluster.workerLog("runs")) {
        if (run.at("job") == job && run.at("state") == "finished")
            ++finished;
    }
    return finished;
}

bool isRunning(Cluster& cluster, const std::string& job)
{
    for (const auto& run : cluster.workerLog("runs")) {
        if (run.at("job") == job && run.at("state") == "running")
            return true;
    }
    return false;
}

int nextVmIndex(int index, const Cluster& cluster)
{
    return (index + 1) % static_cast<int>(const_cast<Cluster&>(cluster).vms().size());
}

//! Longest time in milliseconds between the first and the last end of the parts of one attempt of a job.
std::int64_t longestEndGapMs(Cluster& cluster, const std::string& job)
{
    std::map<std::string, std::vector<std::int64_t>> ends;
    for (const auto& run : cluster.workerLog("runs")) {
        if (run.at("job") == job && run.at("endedMs").get<std::int64_t>() >= 0)
            ends[run.at("attempt")].push_back(run.at("endedMs"));
    }
    std::int64_t longest = 0;
    for (const auto& [attempt, times] : ends) {
        auto [first, last] = std::minmax_element(times.begin(), times.end());
        longest = std::max(longest, *last - *first);
    }
    return longest;
}

} // namespace

// Guards against the loss of an accepted job, or of a part of its gang, when the scheduler that owns its data centre is
// killed.
BOOST_AUTO_TEST_CASE(A_killed_owner_loses_no_job_and_splits_no_gang, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    int owner = cluster.ownerOf("harju");
    auto& other = cluster.vms()[static_cast<std::size_t>(nextVmIndex(owner, cluster))];
    auto running = cluster.submitJob(other, gangJob(16, 8));
    BOOST_REQUIRE(!running.empty());
    BOOST_REQUIRE(waitFor([&] { return isRunning(cluster, running); }, Millis(10000)));
    auto queued = cluster.submitJob(other, gangJob(32, 1));
    BOOST_REQUIRE(!queued.empty());

    cluster.vms()[static_cast<std::size_t>(owner)].scheduler->kill();
    auto killedAt = now();
    constexpr Millis serviceGapLimit { 5000 };
    bool isServed = waitFor([&] { return cluster.ownerOf("harju") >= 0; }, Millis(15000));
    auto gap = elapsed(killedAt, now());
    BOOST_TEST_MESSAGE("time without service: " << gap.count() << " ms");
    BOOST_TEST(isServed, cluster.outputs());
    BOOST_TEST(gap.count() <= serviceGapLimit.count());

    BOOST_TEST(cluster.waitForJob(other, running, "finished", Millis(30000)), cluster.outputs());
    BOOST_TEST(cluster.waitForJob(other, queued, "finished", Millis(30000)), cluster.outputs());
    BOOST_TEST(countFinishedParts(cluster, running) == 2);
    BOOST_TEST(countFinishedParts(cluster, queued) == 4);
}

// Guards against a paused owner that acts on outdated state after it resumes.
BOOST_AUTO_TEST_CASE(An_owner_that_was_paused_is_fenced, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    int owner = cluster.ownerOf("harju");
    auto& paused = cluster.vms()[static_cast<std::size_t>(owner)];
    auto& other = cluster.vms()[static_cast<std::size_t>(nextVmIndex(owner, cluster))];
    auto first = cluster.submitJob(other, gangJob(16, 6));
    BOOST_REQUIRE(waitFor([&] { return isRunning(cluster, first); }, Millis(10000)));

    paused.scheduler->pause();
    BOOST_TEST(waitFor(
        [&] {
            auto now = cluster.ownerOf("harju");
            return now >= 0 && now != owner;
        },
        Millis(15000)));
    auto second = cluster.submitJob(other, gangJob(16, 2));
    paused.scheduler->resume();
    BOOST_TEST(cluster.waitForJob(other, first, "finished", Millis(30000)), cluster.outputs());
    BOOST_TEST(cluster.waitForJob(other, second, "finished", Millis(30000)), cluster.outputs());
    BOOST_TEST(countFinishedParts(cluster, first) == 2);
    BOOST_TEST(countFinishedParts(cluster, second) == 2);
    BOOST_TEST(waitFor([&] { return cluster.ownerOf("harju") != owner; }, Millis(5000)));
}

// Guards against one part of a gang that keeps running after another part was lost.
BOOST_AUTO_TEST_CASE(A_part_outlives_a_lost_part_by_six_seconds_at_most, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    auto& vm = cluster.firstVmIn("tartu");
    auto job = cluster.submitJob(vm, gangJob(16, 12));
    BOOST_REQUIRE(waitFor([&] { return isRunning(cluster, job); }, Millis(10000)));
    std::string lost;
    for (const auto& run : cluster.workerLog("runs", "harju")) {
        if (run.at("job") == job)
            lost = run.at("worker");
    }
    cluster.workerControl("harju", lost, "restart", json::object());
    BOOST_TEST(cluster.waitForJob(vm, job, "finished", Millis(45000)), cluster.outputs());
    constexpr std::int64_t boundMs = 6060;
    auto endGapMs = longestEndGapMs(cluster, job);
    BOOST_TEST_MESSAGE("longest time between the ends of parts: " << endGapMs << " ms");
    BOOST_TEST(endGapMs <= boundMs);
    BOOST_TEST(countFinishedParts(cluster, job) == 2);
}

// Guards against an answer that accepts a job without a durable record, and against a false "not run".
BOOST_AUTO_TEST_CASE(A_store_outage_refuses_new_jobs_and_keeps_accepted_ones, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    auto& vm = cluster.firstVmIn("harju");
    auto running = cluster.submitJob(vm, gangJob(16, 4));
    BOOST_REQUIRE(waitFor([&] { return isRunning(cluster, running); }, Millis(10000)));

    cluster.storeControl({ { "down", true } });
    http::ClientResult refused;
    auto spec = gangJob(8, 1);
    BOOST_TEST(cluster.submitJob(vm, spec, &refused).empty());
    BOOST_TEST(refused.status == 503, refused.body);
    BOOST_TEST(json::parse(refused.body).value("outcome", "") == "not_run", refused.body);
    BOOST_TEST(!http::headerOf(refused.headers, "Retry-After").empty());
    auto runsDuring = cluster.workerLog("runs").size();
    usleep(5000000);
    auto serviceAnswer
        = cluster.request(vm, "POST", "/v1/services/visitdesk/calls", "{}", { { "Agatevane-Idempotent", "true" } });
    BOOST_TEST(serviceAnswer.status == 200, serviceAnswer.body);
    cluster.storeControl({ { "down", false } });

    BOOST_TEST(cluster.waitForJob(vm, running, "finished", Millis(20000)), cluster.outputs());
    BOOST_TEST(cluster.workerLog("runs").size() == runsDuring);
    BOOST_TEST(waitFor([&] { return !cluster.submitJob(vm, spec).empty(); }, Millis(15000)), cluster.outputs());
}

// Guards against a job accepted twice when the answer of its journal write is lost.
BOOST_AUTO_TEST_CASE(A_lost_store_answer_accepts_a_job_once, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    auto& vm = cluster.firstVmIn("harju");
    cluster.storeControl({ { "loseNext", 2 } });
    auto spec = gangJob(8, 1);
    http::Headers key { { "Idempotency-Key", "scan-1" } };
    std::string id;
    http::ClientResult answer;
    bool isAccepted = waitFor(
        [&] {
            answer = cluster.request(vm, "POST", "/v1/jobs", spec.dump(), key);
            if (answer.status == 202)
                id = json::parse(answer.body).at("id");
            return answer.status == 202;
        },
        Millis(30000));
    BOOST_REQUIRE_MESSAGE(isAccepted, answer.status << " " << answer.body << "\n" << cluster.outputs());
    auto repeat = cluster.request(cluster.firstVmIn("tartu"), "POST", "/v1/jobs", spec.dump(), key);
    BOOST_TEST((repeat.status == 200 || repeat.status == 202), repeat.body);
    BOOST_TEST(json::parse(repeat.body).at("id").get<std::string>() == id);
    BOOST_TEST(cluster.waitForJob(vm, id, "finished", Millis(20000)));
    BOOST_TEST(countFinishedParts(cluster, id) == 1);
}

// Guards against a planned replacement that interrupts service for as long as a crash, or stops running work.
BOOST_AUTO_TEST_CASE(A_terminated_scheduler_hands_its_data_centre_over, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    int owner = cluster.ownerOf("harju");
    auto& leaving = cluster.vms()[static_cast<std::size_t>(owner)];
    auto& other = cluster.vms()[static_cast<std::size_t>(nextVmIndex(owner, cluster))];
    auto job = cluster.submitJob(other, gangJob(16, 6));
    BOOST_REQUIRE(waitFor([&] { return isRunning(cluster, job); }, Millis(10000)));
    BOOST_TEST(leaving.scheduler->terminate() == 0, leaving.scheduler->output());
    auto endedAt = now();
    BOOST_TEST(waitFor([&] { return cluster.ownerOf("harju") >= 0; }, Millis(5000)), cluster.outputs());
    BOOST_TEST_MESSAGE("new owner found " << elapsed(endedAt, now()).count() << " ms after the exit");
    BOOST_TEST(cluster.waitForJob(other, job, "finished", Millis(30000)), cluster.outputs());
    BOOST_TEST(countFinishedParts(cluster, job) == 2);
    BOOST_TEST(cluster.workerLog("runs", "harju").size() == 2U);
}

// Guards against a slow store that is treated as unavailable, and against late answers of the store that are applied
// twice.
BOOST_AUTO_TEST_CASE(A_slow_store_delays_acceptance_and_loses_nothing, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    auto& vm = cluster.firstVmIn("harju");
    cluster.storeControl({ { "slowMs", 800 } });
    http::ClientResult answer;
    auto job = cluster.submitJob(vm, gangJob(16, 1), &answer);
    BOOST_REQUIRE_MESSAGE(!job.empty(), answer.status << answer.body);
    BOOST_TEST(cluster.waitForJob(vm, job, "finished", Millis(30000)), cluster.outputs());
    BOOST_TEST(countFinishedParts(cluster, job) == 2);
}
