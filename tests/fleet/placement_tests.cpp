#include "agatevane/fleet/dispatch.h"

#include "busy_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::BusyFleet;

// Guards against a search over all workers for each task of a wide job.
BOOST_AUTO_TEST_CASE(The_tasks_of_a_wide_job_are_placed_by_one_search, *boost::unit_test::label("placement"))
{
    BusyFleet busy(100);
    busy.submit("wide", 78, 1, 2);
    fleet::place(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
    BOOST_CHECK_EQUAL(busy.fleet().startsOrdered, 78U);
    BOOST_CHECK_EQUAL(busy.fleet().placementSearches, 1U);
}

// The fullest workers come first, so that whole workers stay free for large tasks.
BOOST_AUTO_TEST_CASE(Tasks_fill_the_fullest_workers_first, *boost::unit_test::label("placement"))
{
    BusyFleet busy(3);
    auto& earlier = busy.submit("earlier", 2, 4, 2);
    busy.run(earlier, 0, "w1");
    busy.run(earlier, 1, "w1");
    busy.run(busy.submit("half", 1, 4, 2), 0, "w2");
    auto& job = busy.submit("job", 6, 2, 2);
    fleet::place(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
    std::map<std::string, int> tasksOn;
    for (const auto& task : job.occurrences.front().steps.front().tasks) {
        BOOST_REQUIRE(task.run);
        ++tasksOn[task.run->worker];
    }
    BOOST_CHECK_EQUAL(tasksOn["w2"], 2);
    BOOST_CHECK_EQUAL(tasksOn["w0"], 4);
}

// Guards against waiting tasks of which each repeats the search that has just failed.
BOOST_AUTO_TEST_CASE(What_fits_of_a_wide_job_starts_and_the_rest_waits, *boost::unit_test::label("placement"))
{
    BusyFleet busy(2);
    auto& job = busy.submit("wide", 40, 1, 2);
    fleet::place(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
    BOOST_CHECK_EQUAL(busy.fleet().startsOrdered, 16U);
    BOOST_CHECK_EQUAL(job.occurrences.front().steps.front().active, 16U);
    BOOST_CHECK_LE(busy.fleet().placementSearches, 3U);
}

BOOST_AUTO_TEST_CASE(A_limit_per_worker_holds_for_tasks_placed_together, *boost::unit_test::label("placement"))
{
    BusyFleet busy(3);
    auto& job = busy.submit("limited", 5, 1, 2);
    job.spec.steps.front().maxPerWorker = 1;
    fleet::place(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
    BOOST_CHECK_EQUAL(busy.fleet().startsOrdered, 3U);
    for (const auto& [id, worker] : busy.fleet().workers)
        BOOST_CHECK_EQUAL(worker.runs.size(), 1U);
}

// Guards against one run number for all tasks that are placed together: the numbers of a task rise by themselves.
BOOST_AUTO_TEST_CASE(Tasks_placed_together_keep_their_own_run_numbers, *boost::unit_test::label("placement"))
{
    BusyFleet busy(1);
    auto& job = busy.submit("job", 2, 1, 2);
    auto& tasks = job.occurrences.front().steps.front().tasks;
    tasks[1].highestRun = 7;
    fleet::place(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
    BOOST_REQUIRE(tasks[0].run && tasks[1].run);
    BOOST_CHECK_EQUAL(tasks[0].run->number, 1U);
    BOOST_CHECK_EQUAL(tasks[1].run->number, 8U);
}
