//! Records that the store refuses for good, while it takes others.
#include "agatevane/metrics/registry.h"
#include "owner_fixture.h"

using namespace agatevane;
using node::CallKind;
using node::CallStatus;
using test::StoreFault;

namespace {

constexpr const char* refusedId = "00000000000000ab";
constexpr std::int64_t shortMs = 200;

std::string idOf(int number)
{
    return "00000000000000c" + std::to_string(number);
}

double refusedRecords(const char* effect)
{
    return metrics::registry()
        .counter("agatevane_records_refused_total", "Records that the store refuses while it takes others",
            { { "effect", effect } })
        .value();
}

struct RefusedRecordFixture : test::OwnerFixture {
    bool awaitCompletion(const std::string& id)
    {
        return waitUntil(Millis(3000), [&] { return stateOf(id) == fleet::VisibleState::Completed; });
    }

    void wait(Millis time)
    {
        waitUntil(time, [] { return false; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(refused_records, RefusedRecordFixture)

// Guards against one job whose progress the store refuses, and which keeps the changes of all jobs from being stored.
BOOST_AUTO_TEST_CASE(Progress_that_the_store_refuses_holds_up_no_other_job, *boost::unit_test::label("node"))
{
    submitAs({}, refusedId);
    for (int number = 0; number < 8; ++number)
        BOOST_REQUIRE(
            callThrough(test::sampleQueue(), {}, CallKind::Submit, idOf(number), 1500).status == CallStatus::Ok);
    store.refuseKeys(std::string(fleet::progressPrefix) + refusedId);
    auto refusedBefore = refusedRecords("delayed");
    auto cancelled = call(CallKind::Cancel, refusedId);
    for (int number = 0; number < 8; ++number)
        BOOST_CHECK(awaitCompletion(idOf(number)));
    BOOST_CHECK(callThrough(test::sampleQueue(), {}, CallKind::Submit, idOf(9), shortMs).status == CallStatus::Ok);
    BOOST_CHECK_GT(refusedRecords("delayed"), refusedBefore);
    BOOST_REQUIRE(owner->oldestPendingChange());
    // It is stored once the store takes it.
    BOOST_CHECK(stateOf(refusedId) != fleet::VisibleState::Cancelled);
    store.refuseKeys({});
    BOOST_CHECK(waitUntil(Millis(7000), [this] { return stateOf(refusedId) == fleet::VisibleState::Cancelled; }));
    BOOST_CHECK(waitUntil(Millis(1000), [this] { return !owner->oldestPendingChange(); }));
}

// Guards against submissions that get no answer, or an answer that leaves open whether they are accepted, because the
// store refuses the record of one.
BOOST_AUTO_TEST_CASE(A_submission_that_the_store_refuses_is_refused_alone, *boost::unit_test::label("node"))
{
    store.refuseKeys(std::string(fleet::acceptancePrefix) + refusedId);
    std::optional<node::CallerAnswer> refused;
    std::vector<std::optional<node::CallerAnswer>> others(5);
    for (int number = 0; number < 5; ++number) {
        submit(idOf(number), shortMs, others[static_cast<std::size_t>(number)]);
        if (number == 2)
            submit(refusedId, shortMs, refused);
    }
    BOOST_REQUIRE(waitUntil(Millis(2000), [&refused] { return refused.has_value(); }));
    BOOST_CHECK(refused->status == CallStatus::Malformed);
    for (auto& answer : others) {
        BOOST_REQUIRE(waitUntil(Millis(1000), [&answer] { return answer.has_value(); }));
        BOOST_CHECK(answer->status == CallStatus::Ok);
    }
    BOOST_CHECK(!fleet::findJob(owner->fleet(), refusedId));
}

// Guards against records that are given up although the store refuses everything for a while.
BOOST_AUTO_TEST_CASE(A_store_that_refuses_everything_costs_no_record, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> first;
    submit(idOf(1), shortMs, first);
    BOOST_REQUIRE(waitUntil(Millis(1000), [&first] { return first.has_value(); }));
    store.setFault(StoreFault::RefusingForGood);
    std::optional<node::CallerAnswer> second;
    submit(idOf(2), shortMs, second);
    wait(Millis(1500));
    BOOST_REQUIRE(second);
    BOOST_CHECK(second->status == CallStatus::NotAccepted);
    BOOST_CHECK(stateOf(idOf(1)) != fleet::VisibleState::Completed);
    store.setFault(StoreFault::None);
    BOOST_CHECK(awaitCompletion(idOf(1)));
}

// Guards against starts that wait for ever, and changes that are not stored, because the store refuses the record of
// workers for a while.
BOOST_AUTO_TEST_CASE(A_refused_record_of_workers_holds_up_no_job, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> answer;
    submit(idOf(1), 1000, answer);
    BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return answer && !workerModel.history().empty(); }));
    store.refuseKeys(node::knownWorkersKey);
    workerModel.addWorker(test::sampleWorker(3), test::modelTimeMs());
    list(workerModel.listings(test::modelTimeMs()).back());
    BOOST_CHECK(awaitCompletion(idOf(1)));
    BOOST_CHECK(callThrough(test::sampleQueue(), {}, CallKind::Submit, idOf(2), shortMs).status == CallStatus::Ok);
    store.refuseKeys({});
    BOOST_CHECK(waitUntil(Millis(7000), [this] {
        const auto* worker = fleet::findWorker(owner->fleet(), "w3");
        return worker && worker->hasAnsweredPoll && !worker->awaitsNaming;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
