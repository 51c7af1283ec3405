#include "agatevane/fleet/due_workers.h"

#include "workload.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::FleetSimulation;
using test::runWorkload;
using test::SimulationOptions;

namespace {

constexpr std::int64_t unixMs = 1000;
constexpr Millis roundInterval { 20 };
constexpr int rounds = 100;

fleet::WorkerListing listingOf(int number)
{
    fleet::WorkerListing listing;
    listing.id = "w" + std::to_string(number);
    listing.service = test::sampleQueue().service;
    listing.capacity = { 8000, 65536, 8 };
    listing.incarnation = 1;
    return listing;
}

//! A fleet of workers that have all answered a poll and run nothing.
fleet::Fleet idleFleet(int workers, Instant at)
{
    fleet::Fleet fleet;
    fleet.tenure = 1;
    for (int number = 0; number < workers; ++number) {
        auto listing = listingOf(number);
        fleet::applyListing(fleet, listing, at);
        fleet::applyPollAnswer(fleet, listing.id, { 1, 1000, {}, {}, 0 }, unixMs, at);
    }
    return fleet;
}

//! Runs one job of ten tasks on a fleet that is otherwise idle; returns how many workers all rounds have looked at.
std::uint64_t visitsWithIdleWorkers(int workers)
{
    auto at = Instant(std::chrono::hours(1));
    auto fleet = idleFleet(workers, at);
    auto sequence
        = fleet::submit(fleet, test::sampleJob("00000000000000a1", 10, 1, 60000), test::sampleQueue(), unixMs, at);
    fleet::applyCommitted(fleet, sequence);
    fleet::advance(fleet, unixMs, at);
    auto before = fleet.workerVisits;
    for (int round = 0; round < rounds; ++round) {
        at += roundInterval;
        fleet::advance(fleet, unixMs, at);
    }
    BOOST_REQUIRE_EQUAL(fleet.startsOrdered, 10U);
    return fleet.workerVisits - before;
}

SimulationOptions comparing(SimulationOptions options)
{
    options.comparesWithFullRounds = true;
    return options;
}

} // namespace

// Guards against rounds that cost as much as the fleet is large: an owner of a thousand workers spent most of its
// processor time on workers to which nothing had happened.
BOOST_AUTO_TEST_CASE(A_round_costs_no_more_with_twice_the_idle_workers, *boost::unit_test::label("due_workers"))
{
    auto visits = visitsWithIdleWorkers(1000);
    BOOST_CHECK_GT(visits, 0U);
    BOOST_CHECK_LE(static_cast<double>(visitsWithIdleWorkers(2000)), 1.02 * static_cast<double>(visits));
}

// Guards against a worker that is not looked at although something is due there: each round must send the same orders
// as one that looks at every worker.
BOOST_AUTO_TEST_CASE(Rounds_send_the_orders_of_full_rounds, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 601; seed <= 604; ++seed)
        runWorkload(comparing({ .seed = seed }), 40, 120000);
}

BOOST_AUTO_TEST_CASE(
    Rounds_send_the_orders_of_full_rounds_while_orders_are_lost, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 611; seed <= 614; ++seed)
        runWorkload(comparing({ .seed = seed,
                        .lostOrderShare = 0.02,
                        .lateOrderShare = 0.05,
                        .restartEveryMs = 4000,
                        .unreachableEveryMs = 7000 }),
            30, 300000);
}

BOOST_AUTO_TEST_CASE(Rounds_send_the_orders_of_full_rounds_around_takeovers, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 621; seed <= 624; ++seed)
        runWorkload(comparing({ .seed = seed,
                        .takeoverEveryMs = 9000,
                        .overlapMs = 6500,
                        .storeUnavailableMs = 1500,
                        .cutEveryMs = 1700,
                        .cutFromOwnersShare = 0.5,
                        .cancelShare = 0.4 }),
            30, 400000);
}

// Guards against a worker that stays in the queue of due workers after it was forgotten.
BOOST_AUTO_TEST_CASE(A_forgotten_worker_is_due_no_more, *boost::unit_test::label("due_workers"))
{
    auto at = Instant(std::chrono::hours(1));
    auto fleet = idleFleet(2, at);
    fleet::advance(fleet, unixMs, at);
    fleet::applyUnlisted(fleet, "w1");
    at += std::chrono::minutes(1);
    fleet::advance(fleet, unixMs, at);
    BOOST_CHECK(!fleet::findWorker(fleet, "w1"));
    fleet::markAllDue(fleet);
    BOOST_REQUIRE_EQUAL(fleet.dueWorkers.size(), 1U);
    BOOST_CHECK_EQUAL(fleet.dueWorkers.begin()->second, "w0");
}
