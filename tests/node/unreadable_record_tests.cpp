//! What a new owner does about stored records that it can't read.
#include "agatevane/fleet/record.h"
#include "node/committer.h"
#include "owner_fixture.h"

using namespace agatevane;
using test::OwnerFixture;

namespace {

constexpr const char* jobId = "00000000000000c1";
const std::string acceptanceKey = std::string(fleet::acceptancePrefix) + jobId;
const std::string progressKey = std::string(fleet::progressPrefix) + jobId;

std::string truncated(const std::string& record)
{
    return record.substr(0, record.size() / 2);
}

std::string withTrailingBytes(const std::string& record)
{
    return record + "xy";
}

std::string ofNewerVersion(const std::string& record)
{
    return "\x03" + record.substr(1) + "further fields";
}

//! The acceptance of another job under this job's key.
std::string ofOtherJob(const std::string&)
{
    return fleet::encodeAcceptance(fleet::makeJob(test::sampleJob("00000000000000ff", 1000), 0));
}

//! Progress of a job with two tasks.
std::string ofOtherShape(const std::string&)
{
    auto spec = test::sampleJob(jobId, 1000);
    spec.steps.front().count = 2;
    auto job = fleet::makeJob(spec, 0);
    job.phase = fleet::JobPhase::Open;
    return fleet::encodeProgress(job);
}

std::string empty(const std::string&)
{
    return {};
}

using Damage = std::string (*)(const std::string&);

//! A job of one task of 1.5 s runs under the first owner.
struct UnreadableFixture : OwnerFixture {
    UnreadableFixture()
    {
        std::optional<node::CallerAnswer> answer;
        submit(jobId, 1500, answer);
        BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return answer && !workerModel.history().empty(); }));
        wait(Millis(100));
        owner->stop();
    }

    void wait(Millis time)
    {
        waitUntil(time, [] { return false; });
    }

    std::string damage(const std::string& key, Damage change)
    {
        put(key, change(stored(key).value_or("")));
        return stored(key).value();
    }

    //! Neither denies nor accepts the job, changes none of its records and leaves its run alone.
    void checkThatJobIsHeld()
    {
        auto acceptance = stored(acceptanceKey);
        auto progress = stored(progressKey);
        electOwner(2);
        wait(Millis(300));
        for (auto kind : { node::CallKind::QueryState, node::CallKind::Cancel, node::CallKind::Submit }) {
            auto answer = call(kind, jobId);
            BOOST_REQUIRE(answer);
            BOOST_CHECK(answer->status
                == (kind == node::CallKind::Submit ? node::CallStatus::OutcomeUnknown : node::CallStatus::NotAccepted));
        }
        wait(Millis(2000));
        BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
        BOOST_CHECK(workerModel.history().front().end == fleet::EndKind::Done);
        BOOST_CHECK(stored(acceptanceKey) == acceptance);
        BOOST_CHECK(stored(progressKey) == progress);
        BOOST_CHECK(ownershipLostReason.empty());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unreadable_records, UnreadableFixture)

// Guards against an accepted job that is denied, whose cancellation counts as acknowledged while its run goes on, or
// whose id is accepted again, because its record can't be read.
BOOST_AUTO_TEST_CASE(A_job_whose_acceptance_is_truncated_is_held, *boost::unit_test::label("node"))
{
    damage(acceptanceKey, truncated);
    checkThatJobIsHeld();
}

BOOST_AUTO_TEST_CASE(A_job_whose_acceptance_has_trailing_bytes_is_held, *boost::unit_test::label("node"))
{
    damage(acceptanceKey, withTrailingBytes);
    checkThatJobIsHeld();
}

BOOST_AUTO_TEST_CASE(A_job_whose_acceptance_is_empty_is_held, *boost::unit_test::label("node"))
{
    damage(acceptanceKey, empty);
    checkThatJobIsHeld();
}

BOOST_AUTO_TEST_CASE(A_job_whose_acceptance_names_another_job_is_held, *boost::unit_test::label("node"))
{
    damage(acceptanceKey, ofOtherJob);
    checkThatJobIsHeld();
    BOOST_CHECK(!stateOf("00000000000000ff"));
}

// Guards against a task that runs again although it may have run: only the job's progress can't be read.
BOOST_AUTO_TEST_CASE(A_job_whose_progress_is_truncated_is_held, *boost::unit_test::label("node"))
{
    put(progressKey, ofOtherShape({}));
    damage(progressKey, truncated);
    checkThatJobIsHeld();
}

BOOST_AUTO_TEST_CASE(A_job_whose_progress_does_not_fit_its_specification_is_held, *boost::unit_test::label("node"))
{
    put(progressKey, ofOtherShape({}));
    checkThatJobIsHeld();
}

BOOST_AUTO_TEST_CASE(A_job_with_progress_and_no_acceptance_is_held, *boost::unit_test::label("node"))
{
    auto acceptance = stored(acceptanceKey).value();
    put(progressKey, ofOtherShape({}));
    kvModel.commit({ {}, {}, { acceptanceKey } }, test::modelTimeMs());
    checkThatJobIsHeld();
}

// Guards against an end that is acknowledged by an owner that can't store it: a later build has written the record,
// and its node is still to use the end.
BOOST_AUTO_TEST_CASE(
    The_end_of_a_job_that_a_later_build_has_written_is_not_acknowledged, *boost::unit_test::label("node"))
{
    auto acceptance = stored(acceptanceKey).value();
    damage(acceptanceKey, ofNewerVersion);
    checkThatJobIsHeld();
    BOOST_CHECK(!workerModel.history().front().wasAcknowledgedInTime);
    // The build that can read it becomes the owner.
    owner->stop();
    put(acceptanceKey, acceptance);
    electOwner(3);
    BOOST_CHECK(waitUntil(Millis(2000), [&] { return stateOf(jobId) == fleet::VisibleState::Completed; }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

// Guards against a task that runs twice: the worker of its run was forgotten with a record that can't be read.
BOOST_AUTO_TEST_CASE(
    Nothing_is_started_while_the_workers_of_earlier_runs_are_not_known, *boost::unit_test::label("node"))
{
    auto runsOn = workerModel.history().front().worker;
    kvModel.commit({ {}, {}, { "workers/" + runsOn } }, test::modelTimeMs());
    auto record = damage(node::knownWorkersKey, truncated);
    electOwner(2);
    wait(Millis(1000));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
    BOOST_CHECK(stored(node::knownWorkersKey) == record);
    auto answer = call(node::CallKind::QueryState, jobId);
    BOOST_REQUIRE(answer);
    BOOST_CHECK(answer->status == node::CallStatus::Ok);
}

BOOST_AUTO_TEST_SUITE_END()
