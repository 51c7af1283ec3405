//! Learned run times across a change of the owner.
#include "node/run_time_recorder.h"

#include "agatevane/metrics/registry.h"
#include "agatevane/run_times/record.h"
#include "owner_fixture.h"

using namespace agatevane;
using test::OwnerFixture;

namespace {

//! Owners of a fleet whose stops are costly.
struct RecorderFixture : OwnerFixture {
    RecorderFixture()
    {
        owner->stop();
        limits.stopDuration = Millis(900);
    }

    static run_times::Model sampleModel()
    {
        run_times::Model model;
        for (int n = 0; n < 20; ++n) {
            run_times::Sample sample;
            run_times::setDuration(model, { "queue", "", 1000 }, sample, 2500, bootNow());
        }
        return model;
    }

    std::size_t queuesLearned() const { return owner->fleet().runTimes.model.queues.size(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_time_record, RecorderFixture)

// Guards against an owner that begins without what the one before it has learned.
BOOST_AUTO_TEST_CASE(A_successor_goes_on_with_the_learned_run_times, *boost::unit_test::label("node"))
{
    electOwner(2);
    BOOST_CHECK_EQUAL(queuesLearned(), 0U);
    std::optional<node::CallerAnswer> answer;
    submit("00000000000000d1", 300, answer);
    BOOST_REQUIRE(waitUntil(Millis(3000), [&] { return stored(node::runTimesKey).has_value(); }));
    owner->stop();
    electOwner(3);
    BOOST_CHECK_EQUAL(queuesLearned(), 1U);
}

// Guards against an estimate that a successor does not use although the record holds it.
BOOST_AUTO_TEST_CASE(A_successor_expects_what_the_record_says, *boost::unit_test::label("node"))
{
    put(node::runTimesKey, run_times::encodeModel(sampleModel()));
    electOwner(2);
    auto estimate = run_times::estimate(owner->fleet().runTimes.model, { "queue", "new", 1000 });
    BOOST_CHECK(estimate.source == run_times::Source::Queue);
    BOOST_CHECK_CLOSE(static_cast<double>(run_times::quantileMs(estimate, 0.5)), 2500.0, 10);
}

// Guards against an owner that does not serve, or decides by wrong times, because the record is damaged; the next
// sample replaces the record.
BOOST_AUTO_TEST_CASE(A_record_that_cannot_be_read_is_ignored, *boost::unit_test::label("node"))
{
    auto& unreadable = metrics::registry().counter("agatevane_records_unreadable_total",
        "Reads of stored records that this build can't decode", { { "fault", "damaged" } });
    auto before = unreadable.value();
    auto record = run_times::encodeModel(sampleModel());
    put(node::runTimesKey, record.substr(0, record.size() / 2));
    electOwner(2);
    BOOST_CHECK_EQUAL(queuesLearned(), 0U);
    BOOST_CHECK_EQUAL(unreadable.value(), before + 1);
    std::optional<node::CallerAnswer> answer;
    submit("00000000000000d2", 300, answer);
    BOOST_CHECK(waitUntil(Millis(3000),
        [&] { return run_times::decodeModel(stored(node::runTimesKey).value(), bootNow()).has_value(); }));
}

// Guards against other decisions, and another key in the store, where stops are cheap.
BOOST_AUTO_TEST_CASE(Nothing_is_learned_or_read_where_stops_are_cheap, *boost::unit_test::label("node"))
{
    auto record = run_times::encodeModel(sampleModel());
    put(node::runTimesKey, record);
    limits = {};
    electOwner(2);
    std::optional<node::CallerAnswer> answer;
    submit("00000000000000d3", 300, answer);
    BOOST_REQUIRE(
        waitUntil(Millis(3000), [&] { return stateOf("00000000000000d3") == fleet::VisibleState::Completed; }));
    waitUntil(Millis(200), [] { return false; });
    BOOST_CHECK_EQUAL(queuesLearned(), 0U);
    BOOST_CHECK(stored(node::runTimesKey) == record);
}

// Guards against a write for each run that ends, and against a change that is never stored.
BOOST_AUTO_TEST_CASE(The_record_is_written_at_most_once_in_five_seconds, *boost::unit_test::label("node"))
{
    fleet::Fleet fleet;
    node::Committer committer(
        context, store, fleet, owner->commitRevision(), { [] {}, [](auto) {}, [] { return true; } });
    node::RunTimeRecorder recorder(fleet, committer);
    auto save = [&](Instant at) {
        recorder.saveIfDue(at);
        committer.commitPending();
        waitUntil(Millis(50), [] { return false; });
        return stored(node::runTimesKey);
    };
    auto at = bootNow();
    BOOST_CHECK(!save(at));
    fleet.runTimes.model = sampleModel();
    auto first = save(at);
    BOOST_REQUIRE(first);
    run_times::Sample sample;
    run_times::setDuration(fleet.runTimes.model, { "queue", "", 1000 }, sample, 9000, at);
    BOOST_CHECK(save(at + Millis(4999)) == first);
    BOOST_CHECK(save(at + Millis(5000)) != first);
}

// Guards against metrics that do not count a finished run, or count it again.
BOOST_AUTO_TEST_CASE(Each_finished_run_is_counted_once, *boost::unit_test::label("node"))
{
    fleet::Fleet fleet;
    node::Committer committer(context, store, fleet, owner->commitRevision(), {});
    node::RunTimeRecorder recorder(fleet, committer);
    auto countOf = [](const std::string& name) {
        auto text = metrics::registry().render();
        auto found = text.find("\n" + name + "_count ");
        return found == std::string::npos ? 0 : std::stoi(text.substr(found + name.size() + 8));
    };
    auto expectedBefore = countOf("agatevane_run_time_to_expected_ratio");
    auto declaredBefore = countOf("agatevane_run_time_to_declared_ratio");
    fleet.runTimes.finished = { { 2500, 2400, 1000 }, { 2500, 2400, 0 } };
    recorder.saveIfDue(bootNow());
    recorder.saveIfDue(bootNow());
    BOOST_CHECK_EQUAL(countOf("agatevane_run_time_to_expected_ratio"), expectedBefore + 2);
    BOOST_CHECK_EQUAL(countOf("agatevane_run_time_to_declared_ratio"), declaredBefore + 1);
}

BOOST_AUTO_TEST_SUITE_END()
