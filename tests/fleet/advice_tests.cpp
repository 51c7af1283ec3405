#include "simulation.h"

#include "agatevane/fleet/advice.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::FleetSimulation;

namespace {

constexpr const char* jobId = "00000000000000e1";

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

//! One job in a queue that needs tickets, and two workers that have answered polls.
struct AdviceFixture {
    AdviceFixture()
        : simulation({ .seed = 31, .workers = 2 })
    {
        simulation.runUntil(500);
        auto queue = test::sampleQueue();
        queue.needsTickets = true;
        simulation.submit(test::sampleJob(jobId, 1, 1, 1000), queue);
        auto batch = fleet::takeBatch(fleet(), 30);
        fleet::applyCommitted(fleet(), batch);
    }

    fleet::Fleet& fleet() { return simulation.fleet(); }

    FleetSimulation simulation;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(advice, AdviceFixture)

// Guards against start orders that workers refuse because the ticket is missing.
BOOST_AUTO_TEST_CASE(A_step_that_needs_tickets_starts_only_with_one, *boost::unit_test::label("advice"))
{
    auto orders = fleet::advance(fleet(), 510, instantAt(510));
    BOOST_CHECK(orders.starts.empty());
    BOOST_REQUIRE_EQUAL(orders.advice.size(), 1U);
    BOOST_CHECK_EQUAL(orders.advice.front().workers.size(), 2U);

    fleet::AdviceAnswer answer { true, { { "w101", "leave" } }, Millis(3000) };
    fleet::applyAdvice(fleet(), orders.advice.front(), answer, instantAt(510), instantAt(540));
    orders = fleet::advance(fleet(), 540, instantAt(540));
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    BOOST_CHECK_EQUAL(orders.starts.front().worker, "w101");
    BOOST_CHECK_EQUAL(orders.starts.front().ticket, "leave");
}

BOOST_AUTO_TEST_CASE(An_unanswered_advice_request_is_sent_again_after_a_pause, *boost::unit_test::label("advice"))
{
    auto orders = fleet::advance(fleet(), 510, instantAt(510));
    BOOST_REQUIRE_EQUAL(orders.advice.size(), 1U);
    fleet::applyAdvice(fleet(), orders.advice.front(), {}, instantAt(510), instantAt(600));
    fleet().isPlacementDue = true;
    BOOST_CHECK(fleet::advance(fleet(), 610, instantAt(610)).advice.empty());
    fleet().isPlacementDue = true;
    BOOST_CHECK_EQUAL(fleet::advance(fleet(), 1000, instantAt(1000)).advice.size(), 1U);
}

// Guards against the use of a ticket after it has expired, or for another incarnation of the worker.
BOOST_AUTO_TEST_CASE(A_ticket_is_invalid_after_it_expires_or_its_worker_restarts, *boost::unit_test::label("advice"))
{
    auto orders = fleet::advance(fleet(), 510, instantAt(510));
    fleet::AdviceAnswer answer { true, { { "w100", "leave" } }, Millis(3000) };
    fleet::applyAdvice(fleet(), orders.advice.front(), answer, instantAt(510), instantAt(540));
    fleet::StepId step { jobId, 0, 0 };
    BOOST_CHECK_EQUAL(fleet::workersWithTicket(fleet(), step, instantAt(600)).size(), 1U);
    BOOST_CHECK(fleet::workersWithTicket(fleet(), step, instantAt(3500)).empty());
    ++fleet().workers.at("w100").incarnation;
    BOOST_CHECK(fleet::workersWithTicket(fleet(), step, instantAt(600)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
