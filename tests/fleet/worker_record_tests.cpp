//! The stored record of workers: who is named there, and who may get starts.
#include "agatevane/fleet/worker_record.h"

#include "agatevane/fleet/dispatch.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr std::int64_t takeoverMs = 1000;

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

//! An owner right after its takeover. The record that it has inherited names w1 and w2; the list has w2 and w3.
struct RecordFixture {
    RecordFixture()
    {
        fleet.doStartsNeedNaming = true;
        fleet.tenure = 2;
        fleet.fencingToken = 2;
        fleet.tookOverAt = instantAt(takeoverMs);
        fleet.desired.queues.push_back(queue);
        fleet::addKnownWorkers(fleet, { listing("w1"), listing("w2") }, fleet.tookOverAt);
        fleet::applyFullList(fleet, { listing("w2"), listing("w3") }, fleet.tookOverAt);
    }

    static fleet::WorkerListing listing(const std::string& id)
    {
        fleet::WorkerListing listing;
        listing.id = id;
        listing.service = test::sampleQueue().service;
        listing.capacity = { 64000, 128000, 8 };
        listing.incarnation = 1;
        return listing;
    }

    void answer(const std::string& worker, std::int64_t ms)
    {
        fleet::applyPollAnswer(fleet, worker, { 1, ms, {}, {} }, ms, instantAt(ms));
    }

    std::set<fleet::WorkerId> names(std::int64_t ms) const
    {
        std::set<fleet::WorkerId> ids;
        for (const auto& listing : fleet::workersToName(fleet, instantAt(ms)))
            ids.insert(listing.id);
        return ids;
    }

    //! Submits a job of tasks that fill a worker each, and commits it.
    void submit(std::uint32_t tasks)
    {
        auto spec = test::sampleJob("00000000000000e1", tasks, 8, 5000);
        fleet::applyCommitted(fleet, fleet::submit(fleet, spec, queue, takeoverMs, fleet.tookOverAt));
    }

    std::set<fleet::WorkerId> workersOfStarts(std::int64_t ms)
    {
        fleet.isPlacementDue = true;
        std::set<fleet::WorkerId> ids;
        for (const auto& start : fleet::advance(fleet, ms, instantAt(ms)).starts)
            ids.insert(start.worker);
        return ids;
    }

    desired_state::Queue queue = test::sampleQueue();
    fleet::Fleet fleet;
};

using Ids = std::set<fleet::WorkerId>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_record, RecordFixture)

// Guards against a run that a later owner does not wait for, because no record names its worker.
BOOST_AUTO_TEST_CASE(Only_workers_that_a_stored_record_names_get_starts, *boost::unit_test::label("workers"))
{
    submit(3);
    for (const auto* worker : { "w2", "w3" })
        answer(worker, 1010);
    BOOST_CHECK(fleet.haveWorkersChanged);
    BOOST_CHECK(workersOfStarts(1020) == Ids { "w2" });
    auto written = names(1030);
    BOOST_CHECK(written == (Ids { "w1", "w2", "w3" }));
    fleet::beginNaming(fleet, written);
    BOOST_CHECK(workersOfStarts(1040).empty());
    fleet::completeNaming(fleet, written);
    BOOST_CHECK(workersOfStarts(1050) == Ids { "w3" });
    BOOST_CHECK(fleet.violations.empty());
}

// Guards against a start between the writing of a record without the worker and the answer of the store.
BOOST_AUTO_TEST_CASE(A_worker_that_a_record_in_flight_leaves_out_gets_no_start, *boost::unit_test::label("workers"))
{
    submit(1);
    fleet::beginNaming(fleet, { "w1" });
    answer("w2", 1010);
    BOOST_CHECK(workersOfStarts(1020).empty());
    fleet::completeNaming(fleet, { "w1" });
    BOOST_CHECK(workersOfStarts(1030).empty());
    fleet::completeNaming(fleet, { "w1", "w2" });
    BOOST_CHECK(workersOfStarts(1040) == Ids { "w2" });
}

// Guards against an entry that never answered and passes from record to record, so that each owner waits for it.
BOOST_AUTO_TEST_CASE(
    A_silent_worker_leaves_the_record_once_no_earlier_run_can_be_there, *boost::unit_test::label("workers"))
{
    answer("w2", 1010);
    BOOST_CHECK(names(takeoverMs + 100) == (Ids { "w1", "w2" }));
    BOOST_CHECK(names(takeoverMs + 12400) == (Ids { "w1", "w2" }));
    BOOST_CHECK(names(takeoverMs + 12600) == Ids { "w2" });
    fleet.limits.maxLease = Millis(13000);
    BOOST_CHECK(names(takeoverMs + 12600) == (Ids { "w1", "w2" }));
}

BOOST_AUTO_TEST_CASE(A_new_owner_waits_for_the_workers_of_the_inherited_record, *boost::unit_test::label("workers"))
{
    BOOST_CHECK(fleet::mayHaveUnreportedRuns(fleet, instantAt(1010)));
    answer("w2", 1010);
    BOOST_CHECK(fleet::mayHaveUnreportedRuns(fleet, instantAt(1020)));
    answer("w1", 1020);
    BOOST_CHECK(!fleet::mayHaveUnreportedRuns(fleet, instantAt(1030)));
}

// Guards against tasks that run twice, and a record that is overwritten, because the inherited one can't be read.
BOOST_AUTO_TEST_CASE(
    Without_a_readable_record_a_new_owner_waits_for_the_earlier_leases, *boost::unit_test::label("workers"))
{
    fleet.earlierWorkers = fleet::EarlierWorkers::Unreadable;
    for (const auto* worker : { "w1", "w2", "w3" })
        answer(worker, 1010);
    for (std::int64_t ms : { takeoverMs + 20, takeoverMs + 6900 }) {
        BOOST_CHECK(fleet::mayHaveUnreportedRuns(fleet, instantAt(ms)));
        BOOST_CHECK(!fleet::mayReplaceWorkerRecord(fleet, instantAt(ms)));
    }
    BOOST_CHECK(!fleet::mayHaveUnreportedRuns(fleet, instantAt(takeoverMs + 7000)));
    BOOST_CHECK(fleet::mayReplaceWorkerRecord(fleet, instantAt(takeoverMs + 7000)));
}

BOOST_AUTO_TEST_CASE(A_start_that_no_record_covers_is_a_violation, *boost::unit_test::label("workers"))
{
    fleet::checkStartIsNamed(fleet, fleet.workers.at("w2"), { { "00000000000000e1", 0, 0, 0 }, 1 });
    BOOST_CHECK(fleet.violations.empty());
    fleet::checkStartIsNamed(fleet, fleet.workers.at("w3"), { { "00000000000000e1", 0, 0, 0 }, 1 });
    BOOST_REQUIRE_EQUAL(fleet.violations.size(), 1U);
    BOOST_CHECK(fleet.violations.front().breach == fleet::Breach::StartOnUnnamedWorker);
}

BOOST_AUTO_TEST_SUITE_END()
