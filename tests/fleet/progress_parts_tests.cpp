//! Jobs whose tasks are stored in parts: what a later owner finds at any time, and how much one transaction has.
#include "agatevane/fleet/progress_parts.h"

#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/record.h"
#include "agatevane/fleet/runs.h"
#include "workload.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using fleet::EndKind;

namespace {

constexpr const char* jobId = "00000000000000e1";
constexpr const char* otherId = "00000000000000e2";
constexpr std::size_t maxEntries = 30;
constexpr Millis retention = 2 * fleet::Limits {}.statusRetention;

fleet::JobSpec specOf(std::uint32_t tasks)
{
    auto spec = test::sampleJob(jobId, tasks, 1, 100);
    spec.steps.front().savesCheckpoints = true;
    return spec;
}

//! An owner and the records that the store holds.
struct StoredJobFixture {
    StoredJobFixture() { startOwner(owner, 1); }

    void startOwner(fleet::Fleet& fleet, std::uint32_t tenure) const
    {
        fleet.tenure = tenure;
        auto& worker = fleet.workers["w1"];
        worker.id = "w1";
    }

    void accept(const fleet::JobSpec& spec)
    {
        fleet::submit(owner, spec, test::sampleQueue(), 0, start);
        commitAll();
    }

    //! Ends a run of the task. Returns the write that makes the end durable.
    fleet::CommitSequence endRun(std::uint32_t task, EndKind kind, const std::string& checkpoint)
    {
        fleet::TaskId id { jobId, 0, 0, task };
        auto number = fleet::nextRunNumber(owner, owner.jobs.at(jobId), id);
        return fleet::applyEnd(owner, owner.workers.at("w1"), { id, number }, kind, checkpoint, 0, start);
    }

    fleet::WriteBatch take(std::size_t entries = maxEntries) { return fleet::takeBatch(owner, entries); }

    void apply(const fleet::WriteBatch& batch)
    {
        for (const auto& put : batch.puts)
            stored[put.key] = put.value;
        for (const auto& key : batch.deletes)
            stored.erase(key);
        fleet::applyCommitted(owner, batch);
    }

    void commitAll()
    {
        for (auto batch = take(); !batch.writes.empty(); batch = take())
            apply(batch);
    }

    //! The job as a new owner reads it.
    fleet::Job readJob() const
    {
        auto job = fleet::decodeAcceptance(stored.at(std::string(fleet::acceptancePrefix) + jobId));
        BOOST_REQUIRE(job);
        auto progress = stored.find(std::string(fleet::progressPrefix) + jobId);
        if (progress != stored.end())
            BOOST_REQUIRE(fleet::decodeProgress(progress->second, *job));
        for (const auto& [key, record] : stored) {
            if (auto name = fleet::readPartKey(key))
                BOOST_REQUIRE(fleet::inheritPart(record, name->number, *job));
        }
        return *job;
    }

    std::size_t partsStored() const
    {
        return static_cast<std::size_t>(std::count_if(
            stored.begin(), stored.end(), [](const auto& each) { return each.first.starts_with(fleet::partPrefix); }));
    }

    static const fleet::Task& taskOf(const fleet::Job& job, std::uint32_t index)
    {
        return job.occurrences.front().steps.front().tasks[index];
    }

    fleet::Fleet owner;
    std::map<std::string, std::string> stored;
    Instant start = Instant(std::chrono::hours(100));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(progress_parts, StoredJobFixture)

// Guards against an end that is acknowledged although a later owner would not find it: then the task runs again.
RC_BOOST_FIXTURE_PROP(
    A_later_owner_finds_each_committed_end, StoredJobFixture, (const std::vector<std::uint16_t>& events))
{
    constexpr std::uint32_t tasks = 90;
    constexpr std::size_t longestCheckpoint = 3000;
    constexpr std::size_t shortValue = 2000;
    owner.limits.maxValueBytes = shortValue;
    accept(specOf(tasks));
    std::map<std::uint32_t, fleet::CommitSequence> doneBy;
    std::map<std::uint32_t, std::uint32_t> failures;
    for (auto event : events) {
        std::uint32_t task = event % tasks;
        auto* job = fleet::findJob(owner, jobId);
        bool isOpen = job->phase == fleet::JobPhase::Open && !taskOf(*job, task).isDone;
        auto kind = event % 7 < 2 ? EndKind::Done : EndKind::Stopped;
        if (isOpen && event % 3 != 0) {
            auto sequence = endRun(task, kind, std::string(event % longestCheckpoint, 'x'));
            if (kind == EndKind::Done)
                doneBy[task] = sequence;
        }
        auto batch = take(1 + event % maxEntries);
        for (const auto& put : batch.puts)
            RC_ASSERT(put.value.size() <= owner.limits.maxValueBytes);
        bool isApplied = event % 5 != 0;
        isApplied ? apply(batch) : fleet::returnBatch(owner, batch);
        auto read = readJob();
        for (const auto& [done, sequence] : doneBy)
            RC_ASSERT(!fleet::isCommitted(owner, sequence) || taskOf(read, done).isDone
                || read.phase != fleet::JobPhase::Open);
    }
    commitAll();
    auto read = readJob();
    RC_ASSERT(read.phase == fleet::findJob(owner, jobId)->phase);
    for (const auto& [done, sequence] : doneBy) {
        RC_ASSERT(fleet::isCommitted(owner, sequence));
        RC_ASSERT(read.phase != fleet::JobPhase::Open || taskOf(read, done).isDone);
    }
}

// Guards against tasks that a new build runs again because it does not find what an earlier build has stored.
BOOST_AUTO_TEST_CASE(The_long_record_of_an_earlier_build_is_read_and_split, *boost::unit_test::label("jobs"))
{
    constexpr std::uint32_t tasks = 300;
    accept(specOf(tasks));
    auto& job = owner.jobs.at(jobId);
    for (auto& task : job.occurrences.front().steps.front().tasks) {
        task.highestRun = 1;
        task.checkpoint = std::string(1000, 'x');
    }
    for (std::uint32_t index = 0; index < tasks; index += 2)
        job.occurrences.front().steps.front().tasks[index].isDone = true;
    stored[std::string(fleet::progressPrefix) + jobId] = fleet::encodeProgress(job);
    owner.jobs.clear();
    fleet::inherit(owner, readJob(), 0, start);
    endRun(1, EndKind::Stopped, "saved");
    int transactions = 0;
    for (auto batch = take(); !batch.writes.empty(); batch = take()) {
        apply(batch);
        ++transactions;
        auto read = readJob();
        for (std::uint32_t index = 0; index < tasks; index += 2)
            BOOST_REQUIRE(taskOf(read, index).isDone);
    }
    BOOST_CHECK_GT(transactions, 1);
    BOOST_CHECK_LT(stored.at(std::string(fleet::progressPrefix) + jobId).size(), 100U);
    BOOST_CHECK_EQUAL(taskOf(readJob(), 1).checkpoint, "saved");
    BOOST_CHECK_EQUAL(taskOf(readJob(), 3).checkpoint.size(), 1000U);
}

// Guards against a megabyte that is written for each end of a task, and a transaction that a slow link does not carry.
BOOST_AUTO_TEST_CASE(One_transaction_has_few_bytes, *boost::unit_test::label("jobs"))
{
    constexpr std::uint32_t tasks = 400;
    accept(specOf(tasks));
    for (std::uint32_t task = 0; task < tasks; ++task)
        endRun(task, EndKind::Stopped, std::string(9000, 'x'));
    auto bytesOf = [](const fleet::WriteBatch& batch) {
        std::size_t bytes = 0;
        for (const auto& put : batch.puts)
            bytes += put.value.size();
        return bytes;
    };
    for (auto batch = take(); !batch.writes.empty(); batch = take()) {
        BOOST_CHECK_LE(bytesOf(batch), fleet::BatchLimits {}.bytes);
        apply(batch);
    }
    BOOST_CHECK_EQUAL(taskOf(readJob(), tasks - 1).checkpoint.size(), 9000U);
    endRun(0, EndKind::Stopped, std::string(10, 'y'));
    BOOST_CHECK_LE(bytesOf(take()), 16 * 9100U);
}

// Guards against changes of other jobs that wait until all parts of a large job are stored.
BOOST_AUTO_TEST_CASE(Other_writes_go_between_the_parts_of_a_job, *boost::unit_test::label("jobs"))
{
    constexpr std::uint32_t tasks = 2000;
    accept(specOf(tasks));
    for (std::uint32_t task = 0; task < tasks; ++task)
        endRun(task, EndKind::Stopped, std::string(100, 'x'));
    auto other = fleet::submit(owner, test::sampleJob(otherId, 1, 1, 100), test::sampleQueue(), 0, start);
    apply(take());
    apply(take());
    BOOST_CHECK(fleet::isCommitted(owner, other));
    BOOST_CHECK(!fleet::isCommitted(owner, owner.jobs.at(jobId).lastSequence));
    commitAll();
    BOOST_CHECK(fleet::isCommitted(owner, owner.jobs.at(jobId).lastSequence));
}

// Guards against a job that changes all the time, so that none of its ends is ever acknowledged.
BOOST_AUTO_TEST_CASE(A_write_in_parts_ends_although_further_tasks_change, *boost::unit_test::label("jobs"))
{
    constexpr std::uint32_t tasks = 2000;
    accept(specOf(tasks));
    for (std::uint32_t task = 0; task < tasks; ++task)
        endRun(task, EndKind::Stopped, std::string(100, 'x'));
    auto sequence = owner.jobs.at(jobId).lastSequence;
    int transactions = 0;
    for (; !fleet::isCommitted(owner, sequence) && transactions < 10; ++transactions) {
        apply(take());
        for (std::uint32_t task = 0; task < tasks; ++task)
            endRun(task, EndKind::Stopped, std::string(100, 'y'));
    }
    BOOST_CHECK_LE(transactions, 5);
}

// Guards against parts that outlive their job: a later job with the same id would take over its progress.
BOOST_AUTO_TEST_CASE(The_parts_of_a_job_are_removed_before_the_job_is_forgotten, *boost::unit_test::label("jobs"))
{
    constexpr std::uint32_t tasks = 1000;
    accept(specOf(tasks));
    for (std::uint32_t task = 0; task < tasks; ++task)
        endRun(task, EndKind::Stopped, std::string(100, 'x'));
    commitAll();
    BOOST_REQUIRE_GT(partsStored(), maxEntries);
    fleet::cancel(owner, jobId, 0, start);
    commitAll();
    auto end = start + retention;
    fleet::pruneEnded(owner, retention.count(), end);
    BOOST_REQUIRE(fleet::findJob(owner, jobId));
    apply(take());
    fleet::pruneEnded(owner, retention.count(), end);
    BOOST_CHECK(fleet::findJob(owner, jobId));
    commitAll();
    BOOST_CHECK_EQUAL(partsStored(), 0U);
    fleet::pruneEnded(owner, retention.count(), end);
    BOOST_CHECK(!fleet::findJob(owner, jobId));
    commitAll();
    // What is left is the record of the queue.
    BOOST_CHECK_EQUAL(stored.size(), 1U);
}

// Guards against a record that grows with each failed run, without end, and a failure that counts twice.
BOOST_AUTO_TEST_CASE(A_task_that_fails_again_and_again_has_a_short_record, *boost::unit_test::label("jobs"))
{
    accept(specOf(1));
    owner.jobs.at(jobId).policy.maxAttempts = 10000;
    for (int run = 0; run < 5000; ++run) {
        endRun(0, EndKind::Failed, {});
    }
    commitAll();
    auto read = readJob();
    BOOST_CHECK_EQUAL(taskOf(read, 0).failures, 5000U);
    BOOST_CHECK_LT(stored.at(fleet::partKey(jobId, 0)).size(), 1000U);
    BOOST_CHECK_EQUAL(taskOf(owner.jobs.at(jobId), 0).failedOn.size(), 1U);
    auto reported = taskOf(owner.jobs.at(jobId), 0).failedRuns.back();
    for (auto run : { reported, fleet::RunNumber { 1 } })
        fleet::applyEnd(owner, owner.workers.at("w1"), { { jobId, 0, 0, 0 }, run }, EndKind::Failed, {}, 0, start);
    BOOST_CHECK_EQUAL(taskOf(owner.jobs.at(jobId), 0).failures, 5000U);
}

BOOST_AUTO_TEST_CASE(A_lasting_task_that_fails_again_and_again_has_one_short_record, *boost::unit_test::label("jobs"))
{
    auto spec = specOf(1);
    spec.steps.front().isContinuous = true;
    accept(spec);
    for (int run = 0; run < 5000; ++run) {
        endRun(0, EndKind::Failed, {});
        commitAll();
    }
    BOOST_CHECK_EQUAL(partsStored(), 0U);
    BOOST_CHECK_LT(stored.at(std::string(fleet::progressPrefix) + jobId).size(), 1000U);
}

// Guards against an owner of an earlier build that takes the tasks of a split job for tasks without progress.
BOOST_AUTO_TEST_CASE(An_earlier_build_takes_a_split_job_for_one_of_a_later_build, *boost::unit_test::label("jobs"))
{
    constexpr std::uint8_t newestOfEarlierBuild = 1;
    accept(specOf(300));
    for (std::uint32_t task = 0; task < 300; ++task)
        endRun(task, EndKind::Stopped, std::string(1000, 'x'));
    commitAll();
    auto record = stored.at(std::string(fleet::progressPrefix) + jobId);
    BOOST_CHECK_GT(static_cast<std::uint8_t>(record.front()), newestOfEarlierBuild);
    fleet::cancel(owner, jobId, 0, start);
    commitAll();
    record = stored.at(std::string(fleet::progressPrefix) + jobId);
    BOOST_CHECK_GT(static_cast<std::uint8_t>(record.front()), newestOfEarlierBuild);
}

RC_BOOST_PROP(Arbitrary_parts_are_decoded_or_rejected, (const std::string& bytes, std::uint32_t number))
{
    auto job = fleet::makeJob(specOf(100), 0);
    job.phase = fleet::JobPhase::Open;
    job.parts.areUsed = true;
    fleet::inheritPart(bytes, number, job);
    fleet::readPartKey(bytes);
    fleet::readPartKey(fleet::partPrefix + bytes);
}

BOOST_AUTO_TEST_SUITE_END()
