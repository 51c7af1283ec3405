//! Jobs whose progress is longer than a value of the store.
#include "agatevane/fleet/progress_parts.h"
#include "owner_fixture.h"
#include <map>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000ab";
constexpr const char* smallJobId = "00000000000000c1";
constexpr std::int64_t smallJobMs = 200;

struct LargeJobFixture : test::OwnerFixture {
    //! The first run of each task fails, so that its checkpoint is needed by the next, which waits for some seconds.
    //! The workers run 256 tasks at a time.
    void submitLarge(std::uint32_t tasks, std::int64_t taskMs, std::size_t checkpointBytes)
    {
        auto job = test::sampleJob(jobId, taskMs);
        job.payload += " fails=1 saves=" + std::to_string(checkpointBytes);
        job.steps.front().count = tasks;
        job.steps.front().need = { 500, 10, 0 };
        job.steps.front().savesCheckpoints = true;
        std::optional<node::CallerAnswer> answer;
        owner->call({ node::CallKind::Submit, jobId, job }, test::sampleQueue(), {}, now() + Millis(3000),
            [&answer](node::CallerAnswer received) { answer = std::move(received); });
        BOOST_REQUIRE(waitUntil(Millis(3000), [&answer] { return answer.has_value(); }));
        BOOST_REQUIRE(answer->status == node::CallStatus::Ok);
    }

    void wait(Millis time)
    {
        waitUntil(time, [] { return false; });
    }

    //! Failed runs whose ends the owner knows.
    std::size_t failedRuns() const
    {
        std::size_t failed = 0;
        for (const auto& task : fleet::findJob(owner->fleet(), jobId)->occurrences.front().steps.front().tasks)
            failed += task.failedRuns.size();
        return failed;
    }

    bool awaitCompletion(const std::string& id, Millis limit)
    {
        return waitUntil(limit, [&] { return stateOf(id) == fleet::VisibleState::Completed; });
    }

    void checkThatSmallJobCompletes()
    {
        auto answer = callThrough(test::sampleQueue(), {}, node::CallKind::Submit, smallJobId, smallJobMs);
        BOOST_CHECK(answer.status == node::CallStatus::Ok);
        BOOST_CHECK(awaitCompletion(smallJobId, Millis(10000)));
    }

    //! Tasks that ran again although they had succeeded.
    std::size_t repeatedTasks() const
    {
        std::map<fleet::TaskId, int> successes;
        for (const auto& run : workerModel.history())
            successes[run.key.first] += run.end == fleet::EndKind::Done ? 1 : 0;
        return static_cast<std::size_t>(
            std::count_if(successes.begin(), successes.end(), [](const auto& each) { return each.second > 1; }));
    }

    std::size_t storedParts() { return kvModel.list(fleet::partPrefix, test::modelTimeMs()).items.size(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(large_jobs, LargeJobFixture)

// Guards against a job whose progress the store does not take, and which keeps the changes of all jobs from being
// stored.
BOOST_AUTO_TEST_CASE(Other_jobs_go_on_beside_a_job_with_much_progress, *boost::unit_test::label("node"))
{
    constexpr std::uint32_t tasks = 256;
    constexpr std::size_t checkpointBytes = 4500;
    submitLarge(tasks, 800, checkpointBytes);
    BOOST_REQUIRE(waitUntil(Millis(5000), [this] { return failedRuns() == tasks; }));
    checkThatSmallJobCompletes();
    BOOST_CHECK(awaitCompletion(jobId, Millis(15000)));
    BOOST_CHECK_EQUAL(repeatedTasks(), 0U);
    BOOST_CHECK_EQUAL(kvModel.longestRefusedValue(), 0U);
}

// Guards against the same by a single checkpoint that no value can hold.
BOOST_AUTO_TEST_CASE(Other_jobs_go_on_beside_a_task_with_a_long_checkpoint, *boost::unit_test::label("node"))
{
    constexpr std::size_t checkpointBytes = 1'100'000;
    constexpr std::uint32_t tasks = 3;
    submitLarge(tasks, 800, checkpointBytes);
    BOOST_REQUIRE(waitUntil(Millis(5000), [this] { return failedRuns() == tasks; }));
    checkThatSmallJobCompletes();
    BOOST_CHECK(awaitCompletion(jobId, Millis(15000)));
    BOOST_CHECK_EQUAL(kvModel.longestRefusedValue(), 0U);
}

// Guards against tasks that run again because a later owner does not find all parts of a job's progress.
BOOST_AUTO_TEST_CASE(A_large_job_ends_although_the_owner_changes_again_and_again, *boost::unit_test::label("node"))
{
    constexpr std::uint32_t tasks = 500;
    constexpr std::size_t checkpointBytes = 3000;
    constexpr std::uint32_t lastTenure = 6;
    submitLarge(tasks, 2000, checkpointBytes);
    for (std::uint32_t tenure = 2; tenure <= lastTenure; ++tenure) {
        wait(Millis(900));
        owner->stop();
        electOwner(tenure);
    }
    BOOST_CHECK(awaitCompletion(jobId, Millis(20000)));
    BOOST_CHECK_EQUAL(repeatedTasks(), 0U);
    BOOST_CHECK_EQUAL(kvModel.longestRefusedValue(), 0U);
}

// Guards against parts that stay in the store for ever, or that a later job with the same id finds.
BOOST_AUTO_TEST_CASE(The_parts_of_an_ended_job_are_removed, *boost::unit_test::label("node"))
{
    submitLarge(100, 800, 3000);
    BOOST_REQUIRE(waitUntil(Millis(5000), [this] { return storedParts() > 0; }));
    BOOST_REQUIRE(awaitCompletion(jobId, Millis(15000)));
    BOOST_CHECK(waitUntil(Millis(12000), [this] { return storedParts() == 0; }));
    BOOST_CHECK(stateOf(jobId) == fleet::VisibleState::Completed);
}

// Guards against a job that is accepted although no record can hold it.
BOOST_AUTO_TEST_CASE(A_job_that_no_record_can_hold_is_refused_at_once, *boost::unit_test::label("node"))
{
    auto job = test::sampleJob(jobId, 100);
    job.steps.front().image = std::string(limits.maxValueBytes, 'x');
    std::optional<node::CallerAnswer> answer;
    owner->call({ node::CallKind::Submit, jobId, job }, test::sampleQueue(), {}, now() + Millis(1000),
        [&answer](node::CallerAnswer received) { answer = std::move(received); });
    BOOST_REQUIRE(answer);
    BOOST_CHECK(answer->status == node::CallStatus::Malformed);
    checkThatSmallJobCompletes();
}

BOOST_AUTO_TEST_SUITE_END()
