#include "agatevane/ownership/ownership.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::ownership;

namespace {

const Instant start = Instant {} + std::chrono::hours(1);

State makeMember(const char* name)
{
    std::vector<Candidate> candidates { { { "a" }, { "near" } }, { { "b" }, { "far" } }, { { "c" }, { "near" } },
        { { "d" }, { "far" } } };
    return makeState({ "dc" }, { "near" }, { name }, std::string(name) + "1", candidates, start);
}

StoreReply answerRead(const StoreCall& call, const OwnerRecord& record, std::int64_t revision)
{
    return { .id = call.id,
        .outcome = StoreOutcome::Done,
        .revision = revision,
        .values = { { call.readFrom, encode(record), revision } } };
}

OwnerRecord recordOf(Epoch epoch, const char* owner)
{
    return { .epoch = epoch, .owner = { owner }, .standbys = { { "b" }, { "d" } }, .token = "other" };
}

//! A member that is not the owner and knows the record of owner "a" with standbys "b" and "d".
State makeNonOwner(const char* name)
{
    auto state = makeMember(name);
    auto call = tick(state, start).calls.at(0);
    onStoreReply(state, answerRead(call, recordOf(1, "a"), 10), start);
    onHeartbeat(state, { "a" }, 1, start);
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(The_preferred_scheduler_creates_the_record_at_once)
{
    auto preferred = preferenceRank(makeMember("a"), { "a" }) == 0 ? makeMember("a") : makeMember("c");
    auto read = tick(preferred, start).calls.at(0);
    onStoreReply(preferred, { .id = read.id, .outcome = StoreOutcome::Done }, start);
    auto write = tick(preferred, start).calls.at(0);
    BOOST_TEST(write.compares.at(0).revision == 0);
    auto record = decodeOwnerRecord(write.puts.at(0).second);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->epoch == 1U);
    // The first standby is in another region, so that it survives the loss of the owner's region.
    BOOST_TEST((record->standbys.at(0).value == "b" || record->standbys.at(0).value == "d"));
    BOOST_TEST(onStoreReply(preferred, { .id = write.id, .outcome = StoreOutcome::Done, .revision = 3 }, start)
                   .didBecomeOwner);
}

BOOST_AUTO_TEST_CASE(A_takeover_allocates_epochs_above_the_pre_allocated_ones)
{
    auto state = makeNonOwner("b");
    BOOST_TEST(tick(state, start + Millis { 1999 }).calls.empty());
    auto write = tick(state, start + Millis { 2000 }).calls.at(0);
    BOOST_TEST(write.compares.at(0).revision == 10);
    BOOST_TEST(decodeOwnerRecord(write.puts.at(0).second)->epoch == 4U);
}

BOOST_AUTO_TEST_CASE(Without_the_store_only_a_standby_takes_over_under_its_pre_allocated_epoch)
{
    auto second = makeNonOwner("d");
    BOOST_TEST(tick(second, start + Millis { 3499 }).calls.empty());
    auto write = tick(second, start + Millis { 3500 }).calls.at(0);
    auto result = onStoreReply(second, { .id = write.id, .outcome = StoreOutcome::Unknown }, start + Millis { 3600 });
    BOOST_TEST(result.didBecomeOwner);
    BOOST_TEST(second.epoch == 3U);
    BOOST_TEST(!second.holdsRecord);

    auto other = makeNonOwner("c");
    BOOST_TEST(tick(other, start + Millis { 5999 }).calls.empty());
    auto late = tick(other, start + Millis { 9000 }).calls.at(0);
    BOOST_TEST(!onStoreReply(other, { .id = late.id, .outcome = StoreOutcome::NoEffect }, start + Millis { 9001 })
                    .didBecomeOwner);
}

// Guards against a scheduler that is named in the owner record and does not know it because the answer to its write was
// lost: no scheduler would serve the data centre.
BOOST_AUTO_TEST_CASE(A_write_whose_answer_is_lost_is_recognised_by_its_token)
{
    auto state = makeNonOwner("c");
    auto at = start + Millis { 9000 };
    auto write = tick(state, at).calls.at(0);
    auto written = *decodeOwnerRecord(write.puts.at(0).second);
    onStoreReply(state, { .id = write.id, .outcome = StoreOutcome::Unknown }, at);
    auto read = tick(state, at + Millis { 1000 }).calls.at(0);
    BOOST_TEST(read.isRead());
    BOOST_TEST(onStoreReply(state, answerRead(read, written, 11), at + Millis { 1001 }).didBecomeOwner);
    BOOST_TEST(state.holdsRecord);
    BOOST_TEST(state.revision == 11);
}

BOOST_AUTO_TEST_CASE(Ownership_ends_with_its_deadline_or_a_higher_epoch)
{
    auto state = makeNonOwner("b");
    auto at = start + Millis { 2000 };
    auto write = tick(state, at).calls.at(0);
    onStoreReply(state, { .id = write.id, .outcome = StoreOutcome::Done, .revision = 12 }, at);
    BOOST_TEST(isOwnershipValid(state, at + Millis { 4999 }));
    BOOST_TEST(!isOwnershipValid(state, at + Millis { 5000 }));
    confirmOwnership(state, at + Millis { 6000 });
    BOOST_TEST(isOwnershipValid(state, at + Millis { 10999 }));
    BOOST_TEST(!onEpoch(state, 4).didLoseOwnership);
    BOOST_TEST(onEpoch(state, 5).didLoseOwnership);
    BOOST_TEST(!isOwnershipValid(state, at + Millis { 6001 }));
}

// Guards against billed traffic between regions: a scheduler that has just started and knows no region but its own must
// not take the data centres of other regions.
BOOST_AUTO_TEST_CASE(
    A_peer_of_unknown_region_is_preferred_to_a_scheduler_of_another_region, *boost::unit_test::label("preference"))
{
    std::vector<Candidate> candidates { { { "a" }, { "harju" } }, { { "b" }, {} }, { { "c" }, {} } };
    auto far = makeState({ "parnu" }, { "parnu" }, { "a" }, "1", candidates, Instant());
    BOOST_TEST(preferenceRank(far, { "a" }) == 2);
    auto near = makeState({ "harju" }, { "harju" }, { "a" }, "1", candidates, Instant());
    BOOST_TEST(preferenceRank(near, { "a" }) == 0);
}
