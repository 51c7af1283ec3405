//! Entries under workers' ids that another program has written.
#include "owner_fixture.h"

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000f1";
constexpr const char* laterJobId = "00000000000000f2";
constexpr std::int64_t longMs = 4000;

struct ForeignEntryFixture : test::OwnerFixture {
    //! The entry of a worker that would have started just now.
    fleet::WorkerListing foreignEntry(const std::string& worker, const std::string& service)
    {
        auto listing = workerModel.listing(worker);
        listing.service = service;
        listing.address.port = 1;
        listing.incarnation += 1'000'000;
        return listing;
    }

    void wait(Millis time)
    {
        waitUntil(time, [] { return false; });
    }

    //! A job with a task on each worker.
    void submitWide(const std::string& id, std::int64_t taskMs)
    {
        auto job = test::sampleJob(id, taskMs);
        job.steps.front().count = 2;
        job.steps.front().need = { 64000, 1000, 8 };
        std::optional<node::CallerAnswer> answer;
        owner->call({ node::CallKind::Submit, id, job }, test::sampleQueue(), {}, now() + Millis(3000),
            [&answer](node::CallerAnswer received) { answer = std::move(received); });
        BOOST_REQUIRE(waitUntil(Millis(3000), [&answer] { return answer.has_value(); }));
    }

    bool awaitCompletion(const std::string& id)
    {
        return waitUntil(Millis(8000), [&] { return stateOf(id) == fleet::VisibleState::Completed; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(foreign_entries, ForeignEntryFixture)

// Guards against work of a sound worker that runs again elsewhere, and a worker that is never used again, because
// another program has written an entry with a later start and an unknown service under the worker's id.
BOOST_AUTO_TEST_CASE(An_entry_with_an_unnamed_service_ends_no_run, *boost::unit_test::label("node"))
{
    submitWide(jobId, longMs);
    BOOST_REQUIRE(waitUntil(Millis(2000), [this] { return workerModel.history().size() == 2; }));
    wait(Millis(300));
    list(foreignEntry("w1", "no-such-service"));
    wait(Millis(1000));
    list(workerModel.listing("w1"));
    BOOST_CHECK(awaitCompletion(jobId));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 2U);
    submitWide(laterJobId, 100);
    BOOST_CHECK(awaitCompletion(laterJobId));
}

// Guards against the same after a takeover, where the worker is not known yet.
BOOST_AUTO_TEST_CASE(A_new_owner_takes_no_entry_with_an_unnamed_service, *boost::unit_test::label("node"))
{
    owner->stop();
    list(foreignEntry("w1", "no-such-service"));
    electOwner(2);
    wait(Millis(300));
    BOOST_CHECK_EQUAL(owner->ignoredEntries(), 1U);
    list(workerModel.listing("w1"));
    submitWide(jobId, 100);
    BOOST_CHECK(awaitCompletion(jobId));
    BOOST_CHECK_EQUAL(owner->ignoredEntries(), 0U);
}

// Guards against accepted jobs that wait for ever because the desired state no longer names their service.
BOOST_AUTO_TEST_CASE(Workers_of_a_removed_service_finish_its_jobs, *boost::unit_test::label("node"))
{
    submitWide(jobId, 500);
    desired_state::DesiredState desired;
    desired.services.push_back({ "another", false });
    owner->applyDesiredState(desired);
    list(workerModel.listing("w1"));
    list(workerModel.listing("w2"));
    BOOST_CHECK(awaitCompletion(jobId));
}

// Guards against workers that are not used although a later version of the desired state names their service.
BOOST_AUTO_TEST_CASE(A_worker_is_used_once_its_service_is_named, *boost::unit_test::label("node"))
{
    auto worker = test::sampleWorker(3);
    worker.service = "another";
    workerModel.addWorker(worker, test::modelTimeMs());
    list(workerModel.listing("w3"));
    wait(Millis(300));
    BOOST_CHECK(!fleet::findWorker(owner->fleet(), "w3"));
    desired_state::DesiredState desired;
    desired.queues.push_back(test::sampleQueue());
    desired.services.push_back({ "another", false });
    owner->applyDesiredState(desired);
    list(workerModel.listing("w3"));
    BOOST_CHECK(waitUntil(Millis(1000), [this] { return fleet::findWorker(owner->fleet(), "w3") != nullptr; }));
}

BOOST_AUTO_TEST_SUITE_END()
