//! Records of jobs that can't be read.
#include "agatevane/fleet/record.h"

#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/invariants.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000c1";

std::optional<fleet::Job> decodeAgain(const fleet::JobSpec& spec)
{
    fleet::Job job;
    job.spec = spec;
    return fleet::decodeAcceptance(fleet::encodeAcceptance(job));
}

} // namespace

BOOST_AUTO_TEST_SUITE(records)

// Guards against an owner that ends, and each later one after it, on a damaged record whose counts exhaust the memory
// or whose steps wait for one that does not exist.
BOOST_AUTO_TEST_CASE(A_specification_that_no_accepted_job_has_is_rejected, *boost::unit_test::label("jobs"))
{
    auto spec = test::sampleJob(jobId, 3, 1, 100);
    BOOST_CHECK(decodeAgain(spec));
    auto changed = spec;
    changed.steps.front().count = std::numeric_limits<std::uint32_t>::max();
    BOOST_CHECK(!decodeAgain(changed));
    changed = spec;
    changed.occurrences = std::numeric_limits<std::uint32_t>::max();
    BOOST_CHECK(!decodeAgain(changed));
    changed = spec;
    changed.steps.front().after = { 0 };
    BOOST_CHECK(!decodeAgain(changed));
}

BOOST_AUTO_TEST_CASE(A_record_of_a_later_build_is_told_from_a_damaged_one, *boost::unit_test::label("jobs"))
{
    auto record = fleet::encodeAcceptance(fleet::makeJob(test::sampleJob(jobId, 1, 1, 100), 0));
    auto newer = record;
    newer.front() = 2;
    BOOST_CHECK(!fleet::decodeAcceptance(newer));
    BOOST_CHECK(fleet::faultOf(fleet::RecordKind::Acceptance, newer) == fleet::RecordFault::NewerVersion);
    for (const auto& damaged : { std::string(), record.substr(0, 9), record + "x", std::string(40, '\0') }) {
        BOOST_CHECK(!fleet::decodeAcceptance(damaged));
        BOOST_CHECK(fleet::faultOf(fleet::RecordKind::Acceptance, damaged) == fleet::RecordFault::Damaged);
    }
}

// Guards against the stop of a run only because the records of its job can't be read.
BOOST_AUTO_TEST_CASE(The_run_of_an_unreadable_job_is_neither_stopped_nor_lapses, *boost::unit_test::label("jobs"))
{
    auto at = Instant(std::chrono::hours(1));
    fleet::Fleet fleet;
    fleet.tenure = 2;
    fleet.tookOverAt = at;
    fleet.unreadableJobs.emplace(jobId, fleet::RecordFault::Damaged);
    fleet::WorkerListing listing;
    listing.id = "w1";
    listing.incarnation = 1;
    fleet::applyListing(fleet, listing, at);
    fleet::RunningReport report { { { jobId, 0, 0, 0 }, 1 }, "", 10, 0 };
    for (std::int64_t ms = 0; ms < 20000; ms += 500) {
        fleet::advance(fleet, ms, at + Millis(ms));
        fleet::applyPollAnswer(fleet, "w1", { 1, 1000 + ms, { report }, {} }, ms, at + Millis(ms + 10));
        auto orders = fleet::advance(fleet, ms, at + Millis(ms + 20));
        BOOST_CHECK(orders.stops.empty());
        for (const auto& poll : orders.polls)
            BOOST_CHECK(poll.leaseUntilMs.has_value());
        BOOST_CHECK(fleet::checkInvariants(fleet, at + Millis(ms + 30)).empty());
    }
    BOOST_CHECK_EQUAL(fleet.workers.at("w1").runs.size(), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
