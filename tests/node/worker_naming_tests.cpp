//! The stored record of workers, which names a worker before its first start.
#include "node/committer.h"
#include "owner_fixture.h"

using namespace agatevane;
using test::OwnerFixture;
using test::StoreFault;

namespace {

constexpr const char* jobId = "00000000000000c1";
constexpr const char* rareLabel = "rare";

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_naming, OwnerFixture)

// Guards against a task that runs twice: a later owner does not wait for a worker that no record names, although the
// earlier owner had started a run there.
BOOST_AUTO_TEST_CASE(A_worker_gets_no_start_before_a_stored_record_names_it, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> answer;
    auto spec = test::sampleJob(jobId, 100);
    spec.steps.front().requiredLabel = rareLabel;
    owner->call({ node::CallKind::Submit, jobId, spec }, test::sampleQueue(), {}, now() + Millis(1000),
        [&answer](node::CallerAnswer received) { answer = std::move(received); });
    BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return answer.has_value(); }));
    auto listing = test::sampleWorker(3);
    listing.labels = { rareLabel, "r1" };
    workerModel.addWorker(listing, test::modelTimeMs());
    list(workerModel.listing(listing.id));
    BOOST_REQUIRE(waitUntil(Millis(2000), [&] { return owner->fleet().workers.contains("w3"); }));
    store.setFault(StoreFault::Refusing);
    waitUntil(Millis(600), [] { return false; });
    BOOST_CHECK(workerModel.history().empty());
    store.setFault(StoreFault::None);
    BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return !workerModel.history().empty(); }));
    std::vector<fleet::WorkerListing> named;
    BOOST_REQUIRE(net::decode(stored(node::knownWorkersKey).value_or(""), named));
    BOOST_CHECK(std::any_of(named.begin(), named.end(), [](const auto& each) { return each.id == "w3"; }));
}

// Guards against inherited work that waits for 7 s after each takeover for an entry behind which nobody answers.
BOOST_AUTO_TEST_CASE(
    A_new_owner_starts_inherited_work_beside_an_entry_that_never_answers, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> answer;
    auto odd = test::sampleWorker(3);
    workers.silence(odd.id);
    list(odd);
    BOOST_REQUIRE(waitUntil(Millis(2000), [&] { return owner->fleet().workers.contains(odd.id); }));
    submit(jobId, 1000, answer);
    BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return answer.has_value(); }));
    // The job is accepted, and the owner ends before its task is done.
    owner->stop();
    auto began = workerModel.history().size();
    workerModel.restart("w1", test::modelTimeMs());
    workerModel.restart("w2", test::modelTimeMs());
    for (const auto& listing : workerModel.listings(test::modelTimeMs()))
        list(listing);
    electOwner(2);
    auto tookOverAt = now();
    BOOST_CHECK(waitUntil(Millis(3000), [&] { return workerModel.history().size() > began; }));
    BOOST_TEST_MESSAGE("first start " << elapsed(tookOverAt, now()).count() << " ms after the owner was ready");
}

// Guards against starts after a takeover that wait for the store: the inherited record already names the workers.
BOOST_AUTO_TEST_CASE(A_new_owner_starts_new_work_on_inherited_workers_at_once, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> answer;
    submit(jobId, 100, answer);
    BOOST_REQUIRE(waitUntil(Millis(2000), [&] { return stateOf(jobId) == fleet::VisibleState::Completed; }));
    owner->stop();
    auto record = stored(node::knownWorkersKey);
    electOwner(2);
    auto tookOverAt = now();
    answer.reset();
    submit("00000000000000c2", 100, answer);
    BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return workerModel.history().size() == 2; }));
    BOOST_TEST_MESSAGE("first start " << elapsed(tookOverAt, now()).count() << " ms after the owner was ready");
    BOOST_CHECK(record == stored(node::knownWorkersKey));
}

BOOST_AUTO_TEST_SUITE_END()
