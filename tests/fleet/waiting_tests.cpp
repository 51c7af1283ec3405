#include "agatevane/fleet/waiting.h"

#include "simulation.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::fleet;

namespace {

//! An owner whose polls two workers of eight accelerators each have answered.
struct WaitingFixture {
    WaitingFixture()
    {
        fleet.tenure = 1;
        fleet.tookOverAt = at;
        for (int n = 1; n <= 2; ++n) {
            WorkerListing listing;
            listing.id = "w" + std::to_string(n);
            listing.service = test::sampleQueue().service;
            listing.rack = "r1";
            listing.labels = { "kind-a", "r1" };
            listing.capacity = { 64000, 65536, 8 };
            listing.incarnation = 1;
            applyListing(fleet, listing, at);
            applyPollAnswer(fleet, listing.id, { 1, 1000, {}, {} }, unixMs, at);
        }
    }

    const Job& submitJob(const JobSpec& spec)
    {
        applyCommitted(fleet, submit(fleet, spec, queue, unixMs, at));
        return fleet.jobs.at(spec.id);
    }

    WaitReason reasonOf(const Job& job) const { return explainWait(fleet, job, unixMs, at).reason; }

    Fleet fleet;
    desired_state::Queue queue = test::sampleQueue();
    std::int64_t unixMs = 1000000;
    Instant at = Instant {} + Millis(100000);
};

} // namespace

// Guards against operators who try to free capacity for a job that the fleet can't run at all.
BOOST_FIXTURE_TEST_CASE(
    A_job_that_fits_on_no_worker_is_not_reported_as_waiting_for_room, WaitingFixture, *boost::unit_test::label("fleet"))
{
    auto small = test::sampleJob("small", 1, 8, 1000);
    BOOST_CHECK(reasonOf(submitJob(small)) == WaitReason::NoRoom);
    auto large = test::sampleJob("large", 1, 9, 1000);
    BOOST_CHECK(reasonOf(submitJob(large)) == WaitReason::NoSuitableWorker);
    auto labelled = test::sampleJob("labelled", 1, 1, 1000);
    labelled.steps[0].requiredLabel = "kind-b";
    BOOST_CHECK(reasonOf(submitJob(labelled)) == WaitReason::NoSuitableWorker);
    auto gang = test::sampleJob("gang", 3, 8, 1000);
    gang.steps[0].isGang = true;
    BOOST_CHECK(reasonOf(submitJob(gang)) == WaitReason::NoSuitableWorker);
    gang = test::sampleJob("smaller-gang", 2, 8, 1000);
    gang.steps[0].isGang = true;
    BOOST_CHECK(reasonOf(submitJob(gang)) == WaitReason::NoRoom);
}

// Guards against reporting a job that is not due yet, or that lacks a ticket, as waiting for room.
BOOST_FIXTURE_TEST_CASE(A_job_that_is_not_due_or_lacks_a_ticket_is_not_reported_as_waiting_for_room, WaitingFixture,
    *boost::unit_test::label("fleet"))
{
    auto timed = test::sampleJob("timed", 1, 1, 1000);
    timed.occurrences = 1;
    timed.firstDueUnixMs = unixMs + 5000;
    BOOST_CHECK(reasonOf(submitJob(timed)) == WaitReason::NotDue);
    queue.needsTickets = true;
    BOOST_CHECK(reasonOf(submitJob(test::sampleJob("ticketed", 1, 1, 1000))) == WaitReason::NoTicket);
}

// Guards against reporting a running job as waiting, and a step as waiting before its predecessors are done.
BOOST_FIXTURE_TEST_CASE(
    A_job_whose_tasks_all_have_workers_is_not_waiting, WaitingFixture, *boost::unit_test::label("fleet"))
{
    auto spec = test::sampleJob("two-steps", 2, 1, 1000);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = { 0 };
    const auto& job = submitJob(spec);
    auto wait = explainWait(fleet, job, unixMs, at);
    BOOST_CHECK_EQUAL(wait.tasks, 2);
    BOOST_CHECK_EQUAL(wait.step, 0);
    advance(fleet, unixMs, at);
    BOOST_CHECK(reasonOf(job) == WaitReason::NotWaiting);
}

// Guards against reporting work as waiting for room while a late order may still start it on a worker that is silent.
BOOST_FIXTURE_TEST_CASE(
    A_job_whose_earlier_start_is_unanswered_is_reported_so, WaitingFixture, *boost::unit_test::label("fleet"))
{
    const auto& job = submitJob(test::sampleJob("late", 1, 1, 1000));
    auto& worker = fleet.workers.at("w1");
    worker.missedPolls = 1;
    worker.unansweredStarts[{ { "late", 0, 0, 0 }, 1 }] = at + Millis(5000);
    BOOST_CHECK(reasonOf(job) == WaitReason::EarlierRunOpen);
    at += Millis(5000);
    BOOST_CHECK(reasonOf(job) == WaitReason::NoRoom);
}

// Guards against operators who look for missing capacity while a job waits for its rack.
BOOST_FIXTURE_TEST_CASE(
    A_job_that_waits_for_its_rack_beside_free_workers_is_reported_so, WaitingFixture, *boost::unit_test::label("fleet"))
{
    auto spec = test::sampleJob("near-data", 1, 8, 1000);
    spec.steps[0].dataRack = "r2";
    const auto& job = submitJob(spec);
    BOOST_CHECK(reasonOf(job) == WaitReason::PreferredRack);
    for (auto& [id, worker] : fleet.workers)
        worker.used = worker.capacity;
    BOOST_CHECK(reasonOf(job) == WaitReason::NoRoom);
}
