//! Entries among those of the workers that are well-formed, but behind which no worker answers as the entry says.
#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/record.h"
#include "agatevane/fleet/workers.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000d1";
constexpr std::int64_t takeoverMs = 1000;

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

fleet::WorkerListing listing(const std::string& id, std::int64_t incarnation = 1)
{
    fleet::WorkerListing listing;
    listing.id = id;
    listing.service = test::sampleQueue().service;
    listing.capacity = { 64000, 128000, 8 };
    listing.incarnation = incarnation;
    return listing;
}

//! A new owner right after its takeover.
fleet::Fleet makeFleet()
{
    fleet::Fleet fleet;
    fleet.tenure = 2;
    fleet.fencingToken = 2;
    fleet.tookOverAt = instantAt(takeoverMs);
    fleet.desired.queues.push_back(test::sampleQueue());
    return fleet;
}

fleet::Orders advance(fleet::Fleet& fleet, std::int64_t ms)
{
    fleet.isPlacementDue = true;
    return fleet::advance(fleet, ms, instantAt(ms));
}

void answerPoll(fleet::Fleet& fleet, const std::string& worker, std::int64_t incarnation, std::int64_t ms)
{
    fleet::PollAnswer answer;
    answer.incarnation = incarnation;
    answer.clockMs = ms;
    fleet::applyPollAnswer(fleet, worker, answer, ms, instantAt(ms));
}

//! Number of polls of `worker` up to `endMs`, each answered at once by `incarnation`.
int countPolls(fleet::Fleet& fleet, const std::string& worker, std::int64_t incarnation, std::int64_t endMs)
{
    int polls = 0;
    for (auto ms = takeoverMs; ms < endMs; ms += 2) {
        for (const auto& poll : advance(fleet, ms).polls) {
            if (poll.worker != worker)
                continue;
            ++polls;
            answerPoll(fleet, worker, incarnation, ms + 1);
        }
    }
    return polls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

// Guards against polls without a pause, for as long as an entry names a later start than the worker itself.
BOOST_AUTO_TEST_CASE(A_worker_that_is_older_than_its_entry_is_polled_with_pauses, *boost::unit_test::label("workers"))
{
    auto fleet = makeFleet();
    fleet::applyFullList(fleet, { listing("w1", 7) }, instantAt(takeoverMs));
    auto polls = countPolls(fleet, "w1", 5, takeoverMs + 2000);
    BOOST_CHECK_GE(polls, 2);
    BOOST_CHECK_LE(polls, 10);
    BOOST_CHECK(!fleet.workers.at("w1").hasAnsweredPoll);
    // The entry is corrected: the worker is used.
    fleet::applyListing(fleet, listing("w1", 8), instantAt(takeoverMs + 2000));
    BOOST_CHECK_GE(countPolls(fleet, "w1", 8, takeoverMs + 2500), 1);
    BOOST_CHECK(fleet.workers.at("w1").hasAnsweredPoll);
}

// Guards against inherited work that waits 16 s after each takeover for an entry behind which nobody ever answered.
BOOST_AUTO_TEST_CASE(Inherited_work_does_not_wait_for_an_entry_that_never_answered, *boost::unit_test::label("workers"))
{
    auto fleet = makeFleet();
    auto job = fleet::makeJob(test::sampleJob(jobId, 1, 1, 5000), 0);
    job.phase = job.durablePhase = fleet::JobPhase::Open;
    fleet::inherit(fleet, job, takeoverMs, instantAt(takeoverMs));
    // The earlier owner's record holds the workers that may have its runs.
    fleet::addKnownWorkers(fleet, { listing("w1") }, instantAt(takeoverMs));
    fleet::applyFullList(fleet, { listing("w1"), listing("odd") }, instantAt(takeoverMs));
    constexpr std::int64_t endMs = takeoverMs + 6000;
    std::optional<std::int64_t> startedMs;
    for (auto ms = takeoverMs; ms < endMs && !startedMs; ms += 10) {
        auto orders = advance(fleet, ms);
        if (!orders.starts.empty())
            startedMs = ms;
        for (const auto& poll : orders.polls) {
            if (poll.worker == "w1")
                answerPoll(fleet, "w1", 1, ms + 1);
            else
                fleet::applyPollFailure(fleet, poll.worker, instantAt(ms + 1));
        }
    }
    BOOST_CHECK(startedMs);
}

BOOST_AUTO_TEST_SUITE_END()
