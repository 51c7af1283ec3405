//! How long the state of an ended job stays available to callers.
#include "workload.h"

#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using fleet::VisibleState;

namespace {

constexpr const char* jobId = "00000000000000e1";
constexpr std::int64_t endUnixMs = 1'800'000'000'000;
constexpr std::int64_t hoursMs = 5 * 3'600'000;

//! A job that was cancelled under one owner and is then known to the next, whose clock may differ.
struct EndedJobFixture {
    EndedJobFixture()
    {
        fleet::submit(first, test::sampleJob(jobId, 1, 1, 100), test::sampleQueue(), endUnixMs, start);
        commit(first);
        fleet::cancel(first, jobId, endUnixMs, start);
        commit(first);
    }

    static void commit(fleet::Fleet& fleet)
    {
        auto batch = fleet::takeBatch(fleet, 30);
        fleet::applyCommitted(fleet, batch);
    }

    //! `clockLead`: the next owner's clock is that far ahead.
    void takeOver(std::int64_t clockLead)
    {
        fleet::inherit(next, first.jobs.at(jobId), endUnixMs + clockLead, start);
        lead = clockLead;
    }

    void pruneNext(Millis after) { fleet::pruneEnded(next, endUnixMs + lead + after.count(), start + after); }

    bool isKnownToNext() const { return fleet::visibleState(next, jobId) == VisibleState::Cancelled; }

    fleet::Fleet first;
    fleet::Fleet next;
    std::int64_t lead = 0;
    Instant start = Instant(std::chrono::hours(100));
    Millis retention = fleet::Limits {}.statusRetention;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pruning, EndedJobFixture)

BOOST_AUTO_TEST_CASE(An_ended_job_is_known_for_twice_the_retention, *boost::unit_test::label("jobs"))
{
    fleet::pruneEnded(first, endUnixMs + 2 * retention.count() - 1, start + 2 * retention - Millis(1));
    BOOST_CHECK(fleet::visibleState(first, jobId) == VisibleState::Cancelled);
    fleet::pruneEnded(first, endUnixMs + 2 * retention.count(), start + 2 * retention);
    BOOST_CHECK(!fleet::visibleState(first, jobId));
}

BOOST_AUTO_TEST_CASE(An_ended_job_is_pruned_although_the_owner_changes, *boost::unit_test::label("jobs"))
{
    constexpr Millis ownerAge { 121000 };
    takeOver(ownerAge.count());
    pruneNext(ownerAge);
    BOOST_CHECK(!isKnownToNext());
}

// Guards against "no such job" for a job that has just ended: the next owner's clock was hours ahead of that of the
// machine that noted the end.
BOOST_AUTO_TEST_CASE(An_ended_job_is_known_to_an_owner_whose_clock_is_ahead, *boost::unit_test::label("jobs"))
{
    takeOver(hoursMs);
    pruneNext(Millis(0));
    BOOST_CHECK(isKnownToNext());
    pruneNext(retention - Millis(1));
    BOOST_CHECK(isKnownToNext());
}

// The clock of one machine may be set forward, too.
BOOST_AUTO_TEST_CASE(An_ended_job_is_known_after_a_step_of_the_clock, *boost::unit_test::label("jobs"))
{
    fleet::pruneEnded(first, endUnixMs + hoursMs, start + Millis(1000));
    BOOST_CHECK(fleet::visibleState(first, jobId) == VisibleState::Cancelled);
}

// Guards against records that stay for hours because the machine that noted the ends had a clock ahead of the others.
BOOST_AUTO_TEST_CASE(An_ended_job_is_pruned_by_an_owner_whose_clock_is_behind, *boost::unit_test::label("jobs"))
{
    takeOver(-hoursMs);
    pruneNext(2 * retention);
    BOOST_CHECK(!isKnownToNext());
}

BOOST_AUTO_TEST_SUITE_END()
