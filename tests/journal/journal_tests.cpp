#include "../shard_owner/simulated_store.h"
#include "agatevane/journal/journal.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::journal;

namespace {

const Instant start = Instant {} + std::chrono::hours(1);
const std::string ownerKey = "/agatevane/owners/dc";

struct Fixture {
    simulation::SimulatedStore store;
    State state;
    int writes = 0;

    Fixture()
    {
        store.values[ownerKey] = { ownerKey, "{}", 1 };
        state = makeState({ "dc" }, ownerKey, 4, 1, "token", start);
        settle(start);
    }

    Result step(Instant at)
    {
        auto result = tick(state, at);
        if (!result.call)
            return result;
        writes += result.call->isRead() ? 0 : 1;
        return onStoreReply(state, store.apply(*result.call), at);
    }

    //! Steps until no store call is due at `at`. Returns the number of committed records.
    std::size_t settle(Instant at)
    {
        std::size_t committed = 0;
        for (int i = 0; i < 1000; ++i) {
            auto before = state.nextCallId;
            committed += step(at).committed.size();
            if (state.nextCallId == before)
                break;
        }
        return committed;
    }

    //! The state that a new owner gets by replaying the stored records.
    State replayed()
    {
        auto other = makeState({ "dc" }, ownerKey, 7, 1, "check", start);
        while (!other.isReplayed)
            onStoreReply(other, store.apply(*tick(other, start).call), start);
        return other;
    }
};

Record accepted(const std::string& id, std::size_t payload = 0)
{
    return { .kind = RecordKind::Accepted, .spec = { .id = { id }, .payload = std::string(payload, 'x') } };
}

Record outcomeOf(RecordKind kind, const std::string& id)
{
    return { .kind = kind, .spec = { .id = { id } }, .reason = kind == RecordKind::Failed ? "broken" : "" };
}

} // namespace

BOOST_FIXTURE_TEST_CASE(The_first_record_is_written_immediately_and_the_next_batch_after_100_ms, Fixture)
{
    append(state, accepted("j1"));
    BOOST_TEST(settle(start) == 1U);
    append(state, accepted("j2"));
    append(state, accepted("j3"));
    BOOST_TEST(settle(start + Millis { 99 }) == 0U);
    BOOST_TEST(settle(start + Millis { 100 }) == 2U);
    BOOST_TEST(writes == 2);
}

BOOST_FIXTURE_TEST_CASE(A_batch_stays_below_512_KiB, Fixture)
{
    for (int i = 0; i < 10; ++i)
        append(state, accepted("j" + std::to_string(i), 100 * 1024));
    BOOST_TEST(settle(start) == 5U);
    for (const auto& [key, value] : store.values)
        BOOST_TEST(value.value.size() <= maxBatchBytes);
}

BOOST_FIXTURE_TEST_CASE(Many_cancellations_share_one_write, Fixture)
{
    for (int i = 0; i < 5000; ++i)
        append(state, outcomeOf(RecordKind::Cancelled, "j" + std::to_string(i)));
    BOOST_TEST(settle(start) == 5000U);
    BOOST_TEST(writes == 1);
}

// Guards against a batch that is written twice, or reported as lost although it is durable.
BOOST_FIXTURE_TEST_CASE(A_write_without_an_answer_is_resolved_by_reading_the_batch_back, Fixture)
{
    append(state, accepted("j1"));
    auto call = tick(state, start).call;
    store.apply(*call);
    onStoreReply(state, { .id = call->id, .outcome = StoreOutcome::Unknown }, start);
    BOOST_TEST(!isAvailable(state));
    auto read = tick(state, start + Millis { 500 }).call;
    BOOST_REQUIRE((read && read->isRead()));
    BOOST_TEST(onStoreReply(state, store.apply(*read), start + Millis { 500 }).committed.size() == 1U);
    BOOST_TEST(isAvailable(state));
}

BOOST_FIXTURE_TEST_CASE(A_write_that_did_not_reach_the_store_drops_only_new_jobs, Fixture)
{
    append(state, accepted("j1"));
    append(state, outcomeOf(RecordKind::Finished, "j0"));
    auto call = tick(state, start).call;
    auto result = onStoreReply(state, { .id = call->id, .outcome = StoreOutcome::NoEffect }, start);
    BOOST_REQUIRE(result.dropped.size() == 1U);
    BOOST_TEST(result.dropped[0].record.spec.id.value == "j1");
    BOOST_TEST(settle(start + Millis { 1000 }) == 1U);
    BOOST_TEST(!replayed().jobs.contains({ "j1" }));
}

BOOST_FIXTURE_TEST_CASE(An_owner_whose_record_was_replaced_cannot_append, Fixture)
{
    store.values[ownerKey].revision = 99;
    append(state, accepted("j1"));
    step(start);
    auto result = step(start);
    BOOST_TEST(result.wasFenced);
    BOOST_TEST(result.dropped.size() == 1U);
    BOOST_TEST(replayed().jobs.empty());
}

// Guards against an ended job that is restored, or an outcome that changes, when a crash interrupts a compaction.
RC_BOOST_FIXTURE_PROP(replay_gives_the_same_jobs_after_any_part_of_a_compaction, Fixture,
    (const std::vector<std::uint8_t>& choices, std::uint8_t steps))
{
    state.timing.batchesBeforeCompaction = 3;
    auto at = start;
    for (auto choice : choices) {
        auto id = "j" + std::to_string(choice % 7);
        append(state, choice < 128 ? accepted(id, choice) : outcomeOf(static_cast<RecordKind>(1 + choice % 4), id));
        settle(at += Millis { 100 });
    }
    planCompaction(state);
    for (int i = 0; i < steps % 6; ++i)
        step(at);
    auto other = replayed();
    RC_ASSERT(other.jobs.size() == state.jobs.size());
    for (const auto& [id, job] : state.jobs) {
        RC_ASSERT(other.jobs.at(id).outcome == job.outcome);
        RC_ASSERT(job.outcome || other.jobs.at(id).spec == job.spec);
    }
}
