#include "workload.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::runWorkload;

// Guards against placement that exceeds a worker's capacity, violates the order of steps, or starves a job.
BOOST_AUTO_TEST_CASE(Jobs_of_all_kinds_end_without_violations, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        runWorkload({ .seed = seed }, 60, 120000);
}

// Guards against a task that is started twice because a start order was lost or carried out late.
BOOST_AUTO_TEST_CASE(Lost_and_late_orders_start_no_task_twice, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 101; seed <= 120; ++seed)
        runWorkload({ .seed = seed, .lostOrderShare = 0.02, .lateOrderShare = 0.05 }, 40, 200000);
}

// Guards against tasks that are lost, or run again, when another owner takes over.
BOOST_AUTO_TEST_CASE(A_new_owner_adopts_running_tasks, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 201; seed <= 220; ++seed)
        runWorkload({ .seed = seed, .takeoverEveryMs = 3100 }, 40, 200000);
}

// Guards against ends that an owner acknowledges although it can't make them durable.
BOOST_AUTO_TEST_CASE(An_owner_without_the_store_acknowledges_no_end, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 501; seed <= 530; ++seed)
        runWorkload({ .seed = seed, .takeoverEveryMs = 6000, .storeUnavailableMs = 2500 }, 40, 300000);
}

// Guards against tasks that wait for ever for a worker that can't be reached or has restarted.
BOOST_AUTO_TEST_CASE(Unreachable_and_restarted_workers_delay_jobs_but_lose_none, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 301; seed <= 320; ++seed)
        runWorkload({ .seed = seed, .restartEveryMs = 4000, .unreachableEveryMs = 7000 }, 40, 300000);
}

BOOST_AUTO_TEST_CASE(
    Lost_orders_takeovers_and_unreachable_workers_together_cause_no_violations, *boost::unit_test::label("randomised"))
{
    for (std::uint64_t seed = 401; seed <= 420; ++seed)
        runWorkload({ .seed = seed,
                        .lostOrderShare = 0.01,
                        .lateOrderShare = 0.02,
                        .takeoverEveryMs = 9000,
                        .unreachableEveryMs = 11000 },
            30, 400000);
}

// Guards against tasks that are lost, or run again, because a new owner finds only some of the parts of a job.
BOOST_AUTO_TEST_CASE(A_new_owner_adopts_jobs_that_are_stored_in_parts, *boost::unit_test::label("randomised"))
{
    // The first splits each job and leaves out all checkpoints.
    for (std::size_t maxValueBytes : { 1, 200 }) {
        for (std::uint64_t seed = 601; seed <= 620; ++seed)
            runWorkload({ .seed = seed,
                            .lostStartAnswerShare = 0.02,
                            .takeoverEveryMs = 2300,
                            .storeUnavailableMs = 700,
                            .maxValueBytes = maxValueBytes },
                40, 300000);
    }
}
