#include "agatevane/fleet/worker_speed.h"

#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/runs.h"
#include "busy_fleet.h"
#include "simulation.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::BusyFleet;

namespace {

//! Workers of a deployment where stops are costly, all of one queue.
struct SpeedFleet : BusyFleet {
    static constexpr std::int64_t declaredMs = 8000;

    explicit SpeedFleet(int workers, bool areStopsCostly = true)
        : BusyFleet(workers)
        , job_(submit("job", 1, 1, 2))
    {
        fleet().desired.queues = { test::sampleQueue(2) };
        if (areStopsCostly)
            fleet().limits.stopDuration = Millis(900);
        fleet().openJobs.clear();
    }

    //! A task runs for that long on the worker, as part of a gang or not.
    void runFor(std::int64_t ms, const fleet::WorkerId& id, bool isGang = false)
    {
        job_.spec.steps.front().isGang = isGang;
        fleet::RunKey key { { "job", 0, 0, 0 }, 1 };
        run(job_, 0, id);
        auto& worker = fleet().workers.at(id);
        auto& running = worker.runs.at(key);
        running.ordersSent = 1;
        running.isConfirmed = true;
        running.state = fleet::RunState::Running;
        running.confirmedAt = now();
        running.isFromStart = true;
        fleet::noteDuration(fleet(), worker, key, fleet::EndKind::Done, now() + Millis(ms));
        fleet::learnFromDone(fleet(), worker, running, now() + Millis(ms));
        fleet::removeRun(fleet(), worker, key);
    }

    std::int64_t expectedMs()
    {
        return fleet::runTimeMs(fleet(), job_, job_.spec.steps.front(), fleet::medianFraction);
    }

    double speed(const fleet::WorkerId& worker) { return fleet().workers.at(worker).speed; }

private:
    fleet::Job& job_;
};

} // namespace

// Guards against declared times that are taken at their word: they are wrong by a factor of up to 2.5.
BOOST_AUTO_TEST_CASE(The_expected_duration_follows_recent_ends_of_the_queue, *boost::unit_test::label("workers"))
{
    SpeedFleet busy(1);
    for (int n = 0; n < 9; ++n)
        busy.runFor(2 * SpeedFleet::declaredMs, "w0");
    BOOST_CHECK_EQUAL(busy.expectedMs(), SpeedFleet::declaredMs);
    for (int n = 0; n < 40; ++n)
        busy.runFor(2 * SpeedFleet::declaredMs, "w0");
    BOOST_CHECK_CLOSE(static_cast<double>(busy.expectedMs()), 2.0 * SpeedFleet::declaredMs, 5);
}

// Guards against stragglers, gangs and single ends that decide over the speed of a worker. A third of the workers
// is 1.3 times as fast as the others.
BOOST_AUTO_TEST_CASE(A_faster_worker_shows_among_uneven_durations, *boost::unit_test::label("workers"))
{
    SpeedFleet busy(3);
    constexpr std::int64_t factors[] = { 40, 70, 100, 140, 250, 90, 110 };
    for (int n = 0; n < 70; ++n) {
        auto ms = SpeedFleet::declaredMs * factors[n % 7] / 100;
        busy.runFor(ms * 10 / 13, "w0");
        busy.runFor(ms, "w1");
        busy.runFor(n % 30 == 5 ? 7 * ms : ms, "w2");
        busy.runFor(3 * ms, "w2", true);
    }
    BOOST_CHECK_GT(busy.speed("w0"), 1.1 * busy.speed("w1"));
    BOOST_CHECK_CLOSE(busy.speed("w1"), busy.speed("w2"), 10);
}

// Guards against fast workers that are taken by work with time, and against other decisions where stops are cheap.
BOOST_AUTO_TEST_CASE(Urgent_work_gets_the_faster_of_equal_workers, *boost::unit_test::label("workers"))
{
    for (int priority : { 0, 2 }) {
        SpeedFleet busy(3);
        busy.fleet().workers.at("w1").speed = 1.3;
        busy.fleet().workers.at("w0").speed = 1.3;
        auto& job = busy.submit("placed", 1, 1, priority);
        fleet::place(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
        auto run = job.occurrences.front().steps.front().tasks.front().run;
        BOOST_REQUIRE(run);
        BOOST_CHECK_EQUAL(run->worker, priority == 0 ? "w0" : "w2");
    }
    SpeedFleet cheap(1, false);
    for (int n = 0; n < 40; ++n)
        cheap.runFor(2 * SpeedFleet::declaredMs, "w0");
    BOOST_CHECK_EQUAL(cheap.speed("w0"), 1);
    BOOST_CHECK_EQUAL(cheap.expectedMs(), SpeedFleet::declaredMs);
    BOOST_CHECK(cheap.fleet().runTimes.model.queues.empty());
}

// Guards against a new machine under a known name that is taken for the old one.
BOOST_AUTO_TEST_CASE(Speeds_belong_to_a_machine, *boost::unit_test::label("workers"))
{
    SpeedFleet busy(1);
    for (int n = 0; n < 40; ++n)
        busy.runFor(SpeedFleet::declaredMs * (n < 20 ? 2 : 1), "w0");
    BOOST_CHECK_GT(busy.fleet().workerHistory.speeds.at("w0").samples, 10);
    busy.fleet().workers.at("w0").labels = { "other" };
    busy.runFor(SpeedFleet::declaredMs, "w0");
    BOOST_CHECK_EQUAL(busy.fleet().workerHistory.speeds.at("w0").samples, 1);
}
