//! Workers that restart under their id as workers of another kind.
#include "answering_fleet.h"

using namespace agatevane;
using test::instantAt;

namespace {

constexpr const char* otherLabel = "b";

struct ChangedWorkerFixture : test::AnsweringFleet {
    //! The second incarnation of the worker answers a poll and runs nothing.
    void restart(const fleet::WorkerId& worker, std::int64_t ms) { answer(worker, ms, {}, 2); }

    void list(const fleet::WorkerId& worker, const std::string& workerLabel, std::int64_t ms)
    {
        fleet::applyListing(fleet, listing(worker, 2, workerLabel), instantAt(ms));
    }

    //! Starts the task, whose worker reports it and restarts.
    fleet::WorkerId startTaskOnRestartedWorker()
    {
        auto start = startTask(200);
        confirmStart(start, 220);
        answer(start.worker, 400, { { { start.task, start.run }, "", 10 } });
        restart(start.worker, 600);
        return start.worker;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(changed_workers, ChangedWorkerFixture)

// Guards against a task that runs on a worker without its label: the worker was taken for what its entry said before
// its restart.
BOOST_AUTO_TEST_CASE(A_restarted_worker_gets_no_work_by_its_earlier_entry, *boost::unit_test::label("workers"))
{
    auto restarted = startTaskOnRestartedWorker();
    auto starts = advance(610).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_NE(starts.front().worker, restarted);
}

BOOST_AUTO_TEST_CASE(A_restarted_worker_gets_work_by_its_new_entry, *boost::unit_test::label("workers"))
{
    for (const auto* worker : { "w1", "w2" })
        restart(worker, 300);
    submit(400);
    BOOST_CHECK(advance(500).starts.empty());
    list("w1", otherLabel, 1000);
    BOOST_CHECK(advance(1010).starts.empty());
    list("w2", label, 1200);
    auto starts = advance(1210).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_EQUAL(starts.front().worker, "w2");
}

// Guards against the same by a start that is repeated on the new incarnation because it had no answer.
BOOST_AUTO_TEST_CASE(A_start_is_not_repeated_on_a_worker_of_another_kind, *boost::unit_test::label("workers"))
{
    auto start = startTask(200);
    fleet::applyStartOutcome(
        fleet, start.worker, { start.task, start.run }, fleet::OrderOutcome::Unknown, instantAt(700));
    restart(start.worker, 800);
    BOOST_CHECK(advance(1000).starts.empty());
    list(start.worker, otherLabel, 1200);
    auto orders = advance(1210);
    BOOST_CHECK(orders.starts.empty());
    BOOST_REQUIRE_EQUAL(orders.stops.size(), 1U);
    BOOST_CHECK_EQUAL(orders.stops.front().worker, start.worker);
}

BOOST_AUTO_TEST_CASE(A_start_is_repeated_on_a_worker_of_the_same_kind, *boost::unit_test::label("workers"))
{
    auto start = startTask(200);
    fleet::applyStartOutcome(
        fleet, start.worker, { start.task, start.run }, fleet::OrderOutcome::Unknown, instantAt(700));
    restart(start.worker, 800);
    list(start.worker, label, 1200);
    auto starts = advance(1210).starts;
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_CHECK_EQUAL(starts.front().worker, start.worker);
    BOOST_CHECK_EQUAL(starts.front().run, start.run);
}

BOOST_AUTO_TEST_SUITE_END()
