//! Cancellations that were answered with "no such job", and the records by which later owners know of them.
#include "agatevane/fleet/group_commit.h"
#include "workload.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000d1";
constexpr std::size_t maxEntries = 30;
constexpr Millis beyondRetention = fleet::denialRetention + Millis(11000);

struct DenialsFixture {
    DenialsFixture()
    {
        first.tenure = 1;
        first.tookOverAt = start;
        next.tenure = 2;
        next.tookOverAt = start + Millis(5000);
    }

    //! Commits what is queued into `stored`, as one transaction.
    kv::Txn commit(fleet::Fleet& fleet)
    {
        kv::Txn txn;
        auto batch = fleet::takeBatch(fleet, maxEntries);
        fleet::encodeBatch(batch, txn);
        fleet::applyCommitted(fleet, batch);
        for (const auto& put : txn.puts)
            stored[put.key] = put.value;
        for (const auto& key : txn.deletes)
            stored.erase(key);
        return txn;
    }

    void inheritStored()
    {
        for (const auto& [key, value] : stored)
            fleet::inheritDenials(next, key, fleet::decodeDenials(value));
    }

    fleet::Fleet first;
    fleet::Fleet next;
    std::map<std::string, std::string> stored;
    Instant start = Instant(std::chrono::hours(100));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(denials, DenialsFixture)

BOOST_AUTO_TEST_CASE(A_denial_counts_once_it_is_answered, *boost::unit_test::label("jobs"))
{
    auto sequence = fleet::queueDenial(first, jobId, start);
    BOOST_REQUIRE(sequence);
    commit(first);
    BOOST_CHECK_GE(first.committedSequence, *sequence);
    BOOST_CHECK(!fleet::deniedUntil(first, jobId));
    fleet::noteDenialAnswered(first, jobId, start + Millis(20));
    BOOST_CHECK(fleet::deniedUntil(first, jobId) == start + Millis(20));
}

// Guards against a successor that takes its predecessor's denials for later than its own takeover, or forgets them.
BOOST_AUTO_TEST_CASE(A_successor_dates_inherited_denials_to_its_takeover, *boost::unit_test::label("jobs"))
{
    fleet::queueDenial(first, jobId, start);
    commit(first);
    inheritStored();
    BOOST_CHECK(fleet::deniedUntil(next, jobId) == next.tookOverAt);
    BOOST_CHECK(!fleet::deniedUntil(next, "00000000000000d2"));
    fleet::pruneDenials(next, next.tookOverAt + fleet::denialRetention - Millis(1));
    BOOST_CHECK(fleet::deniedUntil(next, jobId));
    fleet::pruneDenials(next, next.tookOverAt + fleet::denialRetention);
    BOOST_CHECK(!fleet::deniedUntil(next, jobId));
}

BOOST_AUTO_TEST_CASE(A_job_that_exists_is_not_denied, *boost::unit_test::label("jobs"))
{
    fleet::noteDenialAnswered(first, jobId, start);
    fleet::submit(first, test::sampleJob(jobId, 1, 1, 100), test::sampleQueue(), 0, start);
    BOOST_CHECK(!fleet::deniedUntil(first, jobId));
}

// Guards against records that nobody deletes.
BOOST_AUTO_TEST_CASE(Records_are_deleted_after_the_retention_by_either_owner, *boost::unit_test::label("jobs"))
{
    fleet::queueDenial(first, jobId, start);
    commit(first);
    auto before = stored;
    inheritStored();
    fleet::pruneDenials(first, start + beyondRetention);
    commit(first);
    BOOST_CHECK(stored.empty());
    stored = before;
    fleet::pruneDenials(next, next.tookOverAt + beyondRetention);
    commit(next);
    BOOST_CHECK(stored.empty());
    BOOST_CHECK_EQUAL(first.denials.storedJobs + next.denials.storedJobs, 0U);
}

// Guards against a denial that is queued while the write of its record is under way, and never stored.
BOOST_AUTO_TEST_CASE(A_record_is_written_again_for_a_later_denial, *boost::unit_test::label("jobs"))
{
    auto sequence = fleet::queueDenial(first, jobId, start);
    BOOST_CHECK(fleet::queueDenial(first, "00000000000000d2", start) == sequence);
    commit(first);
    BOOST_CHECK(fleet::queueDenial(first, "00000000000000d3", start + Millis(10)) > sequence);
    commit(first);
    BOOST_REQUIRE_EQUAL(stored.size(), 1U);
    BOOST_CHECK_EQUAL(fleet::decodeDenials(stored.begin()->second).value().size(), 3U);
}

// Guards against a flood that keeps the store busy or fills the memory: few records, and a bound on all of them.
BOOST_AUTO_TEST_CASE(Denials_are_bounded_and_share_records, *boost::unit_test::label("jobs"))
{
    std::size_t queued = 0;
    while (fleet::queueDenial(first, "unknown-" + std::to_string(queued), start))
        ++queued;
    BOOST_CHECK_EQUAL(queued, fleet::maxStoredDenials);
    std::size_t transactions = 0;
    while (!first.writes.empty()) {
        BOOST_CHECK_LE(commit(first).puts.size(), maxEntries);
        ++transactions;
    }
    BOOST_CHECK_LE(transactions, 11U);
    fleet::pruneDenials(first, start + beyondRetention);
    BOOST_CHECK(fleet::queueDenial(first, jobId, start + beyondRetention));
}

BOOST_AUTO_TEST_CASE(A_damaged_record_stands_for_denials_of_all_jobs, *boost::unit_test::label("jobs"))
{
    for (const auto* bytes : { "", "damaged" })
        BOOST_CHECK(!fleet::decodeDenials(bytes));
    stored[fleet::denialPrefix + std::string("1.1")] = "damaged";
    inheritStored();
    BOOST_CHECK(fleet::deniedUntil(next, jobId) == next.tookOverAt);
    fleet::pruneDenials(next, next.tookOverAt + fleet::denialRetention);
    BOOST_CHECK(!fleet::deniedUntil(next, jobId));
    fleet::pruneDenials(next, next.tookOverAt + beyondRetention);
    commit(next);
    BOOST_CHECK(stored.empty());
}

BOOST_AUTO_TEST_SUITE_END()
