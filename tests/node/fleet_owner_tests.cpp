#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::StoreFault;

namespace {

//! One owner with its store and two workers.
struct OwnerFixture {
    OwnerFixture()
        : store(context, kvModel)
        , workers(context, workerModel)
        , translation(test::plainTranslation())
    {
        for (int n = 1; n <= 2; ++n) {
            workerModel.addWorker(test::sampleWorker(n), modelMillisNow());
            auto listing = workerModel.listings(test::modelMillis()).back();
            kvModel.commit({ {}, { { "workers/" + listing.id, net::encode(listing), 0 } }, {} }, modelMillisNow());
        }
        seat(1);
    }

    static std::int64_t modelMillisNow() { return test::modelMillis(); }

    //! Makes a new owner, as an election would.
    void seat(std::uint32_t tenure)
    {
        auto current = kvModel.get(node::commitKey, modelMillisNow());
        kv::Revision before = current.items.empty() ? 0 : current.items.front().revision;
        auto result
            = kvModel.commit({ { { node::commitKey, before } },
                                 { { node::commitKey, net::encode(node::CommitRecord { tenure, "seat" }), 0 } }, {} },
                modelMillisNow());
        desired_state::DesiredState desired;
        desired.queues.push_back(test::sampleQueue());
        owner = std::make_unique<node::FleetOwner>(node::FleetOwner::Environment { context, store, workers, translation,
                                                       [this](std::string_view reason) { deposed = reason; } },
            fleet::Limits {}, tenure, result.revision, desired);
        owner->start();
        BOOST_REQUIRE(test::runUntil(context, Millis(2000), [this] { return owner->isReady(); }));
    }

    void submit(const std::string& id, std::int64_t durationMs, std::optional<node::CallerAnswer>& answer,
        Millis patience = Millis(3000))
    {
        node::CallerRequest request { node::CallKind::Submit, id, test::sampleJob(id, durationMs) };
        owner->call(request, test::sampleQueue(), {}, now() + patience,
            [&answer](node::CallerAnswer given) { answer = std::move(given); });
    }

    bool await(Millis limit, const std::function<bool()>& condition)
    {
        return test::runUntil(context, limit, condition);
    }

    std::optional<fleet::VisibleState> stateOf(const std::string& id)
    {
        return fleet::visibleState(owner->fleet(), id, "queue");
    }

    asio::io_context context;
    standin::KvModel kvModel;
    standin::WorkerModel workerModel;
    test::FakeStore store;
    test::FakeWorkers workers;
    node::Translation translation;
    std::unique_ptr<node::FleetOwner> owner;
    std::string deposed;
};

constexpr const char* jobId = "00000000000000c1";

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_owner, OwnerFixture)

BOOST_AUTO_TEST_CASE(An_accepted_job_runs_and_is_completed, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> answer;
    submit(jobId, 100, answer);
    BOOST_REQUIRE(await(Millis(1000), [&] { return answer.has_value(); }));
    BOOST_CHECK(answer->status == node::CallStatus::Ok);
    BOOST_CHECK(await(Millis(2000), [&] { return stateOf(jobId) == fleet::VisibleState::Completed; }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

// Guards against a job that is told to be accepted and is not stored: two calls waited for one record, the first gave
// up and withdrew it, the second was answered by the next commit (LOST in trouble-3 --seed 1074413583321 of tuuletoke).
BOOST_AUTO_TEST_CASE(A_submission_that_another_call_awaits_is_not_withdrawn, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> blocker;
    std::optional<node::CallerAnswer> first;
    std::optional<node::CallerAnswer> second;
    store.setFault(StoreFault::Silent);
    submit("00000000000000c0", 100, blocker);
    await(Millis(50), [] { return false; });
    submit(jobId, 100, first);
    await(Millis(600), [] { return false; });
    submit(jobId, 100, second);
    await(Millis(300), [] { return false; });
    BOOST_CHECK(!first);
    store.setFault(StoreFault::None);
    BOOST_REQUIRE(await(Millis(3000), [&] { return second.has_value(); }));
    if (second->status == node::CallStatus::Ok)
        BOOST_CHECK(!kvModel.get(fleet::acceptancePrefix + std::string(jobId), modelMillisNow()).items.empty());
    BOOST_CHECK(await(Millis(3000), [&] { return stateOf(jobId) == fleet::VisibleState::Completed; }));
}

// Guards against a refusal that comes only when the caller's time is over, and against one that is not true.
BOOST_AUTO_TEST_CASE(A_submission_during_an_outage_is_refused_early_and_never_runs, *boost::unit_test::label("node"))
{
    store.setFault(StoreFault::Refusing);
    std::optional<node::CallerAnswer> answer;
    submit(jobId, 100, answer);
    BOOST_REQUIRE(await(Millis(1500), [&] { return answer.has_value(); }));
    BOOST_CHECK(answer->status == node::CallStatus::NotAccepted);
    store.setFault(StoreFault::None);
    await(Millis(500), [] { return false; });
    BOOST_CHECK(!stateOf(jobId));
    BOOST_CHECK(workerModel.history().empty());
}

// Guards against a second acceptance, or a refusal, of a job whose first commit was applied without an answer.
BOOST_AUTO_TEST_CASE(A_lost_answer_of_the_store_accepts_the_job_once, *boost::unit_test::label("node"))
{
    store.setFault(StoreFault::LosesAnswers);
    std::optional<node::CallerAnswer> answer;
    submit(jobId, 100, answer);
    await(Millis(300), [] { return false; });
    BOOST_CHECK(!answer);
    store.setFault(StoreFault::None);
    BOOST_REQUIRE(await(Millis(3000), [&] { return answer.has_value(); }));
    BOOST_CHECK(answer->status == node::CallStatus::Ok);
    BOOST_CHECK(deposed.empty());
    BOOST_CHECK(await(Millis(2000), [&] { return stateOf(jobId) == fleet::VisibleState::Completed; }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

// Guards against writes of an owner that has been replaced.
BOOST_AUTO_TEST_CASE(A_replaced_owner_accepts_nothing, *boost::unit_test::label("node"))
{
    auto commit = kvModel.get(node::commitKey, modelMillisNow()).items.front();
    kvModel.commit({ { { node::commitKey, commit.revision } },
                       { { node::commitKey, net::encode(node::CommitRecord { 2, "other" }), 0 } }, {} },
        modelMillisNow());
    std::optional<node::CallerAnswer> answer;
    submit(jobId, 100, answer);
    BOOST_CHECK(await(Millis(1000), [&] { return !deposed.empty(); }));
    BOOST_CHECK(!answer);
    owner->stop();
    BOOST_REQUIRE(answer);
    BOOST_CHECK(answer->status != node::CallStatus::Ok);
}

// Guards against work that is lost or run twice when all processes are killed and started again.
BOOST_AUTO_TEST_CASE(A_new_owner_adopts_what_runs, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> answer;
    submit(jobId, 800, answer);
    BOOST_REQUIRE(await(Millis(1000), [&] { return !workerModel.history().empty(); }));
    await(Millis(100), [] { return false; });
    owner.reset();
    seat(2);
    BOOST_CHECK(await(Millis(3000), [&] { return stateOf(jobId) == fleet::VisibleState::Completed; }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
