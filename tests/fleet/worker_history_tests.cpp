#include "agatevane/fleet/worker_history.h"

#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/expiry.h"
#include "agatevane/fleet/runs.h"
#include "busy_fleet.h"
#include "simulation.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using fleet::Standing;
using test::BusyFleet;

namespace {

enum class What { Done, Failed, Lost, Refused };

struct Event {
    std::int64_t ms = 0;
    fleet::WorkerId worker;
    What what = What::Done;
    fleet::JobId job;
};

//! Workers of a deployment where stops are costly, and jobs of 40 tasks that are entered when an event names them.
struct HistoryFleet : BusyFleet {
    explicit HistoryFleet(int workers, bool areStopsCostly = true)
        : BusyFleet(workers)
    {
        if (areStopsCostly)
            fleet().limits.stopDuration = Millis(900);
    }

    static Instant at(std::int64_t ms) { return now() + Millis(ms); }

    void apply(const Event& event)
    {
        constexpr std::uint32_t tasks = 40;
        auto* job = fleet::findJob(fleet(), event.job);
        if (!job)
            job = &submit(event.job, tasks, 1, 2);
        auto& worker = fleet().workers.at(event.worker);
        fleet::RunKey key { { event.job, 0, 0, nextTasks_[event.job]++ }, 1 };
        run(*job, key.first.index, event.worker);
        worker.runs.at(key).ordersSent = 1;
        if (event.what == What::Lost)
            return fleet::loseRun(fleet(), worker, key, at(event.ms), "test");
        if (event.what == What::Refused)
            return fleet::applyStartOutcome(fleet(), event.worker, key, fleet::OrderOutcome::NotSent, at(event.ms));
        auto kind = event.what == What::Done ? fleet::EndKind::Done : fleet::EndKind::Failed;
        fleet::removeRun(fleet(), worker, key);
        fleet::applyEnd(fleet(), worker, key, kind, "", unixMs, at(event.ms));
    }

    //! Loses two runs of the worker a second apart, which makes it a suspect.
    void makeSuspect(const fleet::WorkerId& worker)
    {
        for (std::int64_t ms : { -1000, 0 })
            apply({ ms, worker, What::Lost, "lost" });
        fleet().openJobs.erase("lost");
        fleet::reviewStandings(fleet(), at(0));
    }

    void place(std::int64_t ms = 0) { fleet::place(fleet(), unixMs, at(ms)); }

    Standing standing(const fleet::WorkerId& worker) { return fleet().workers.at(worker).standing; }

    std::map<fleet::WorkerId, std::size_t> runsByWorker()
    {
        std::map<fleet::WorkerId, std::size_t> runs;
        for (const auto& [id, worker] : fleet().workers) {
            if (!worker.runs.empty())
                runs[id] = worker.runs.size();
        }
        return runs;
    }

private:
    std::map<fleet::JobId, std::uint32_t> nextTasks_;
};

struct Pattern {
    std::string name;
    std::vector<Event> events;
    std::set<fleet::WorkerId> suspects;
};

using Runs = std::map<fleet::WorkerId, std::size_t>;

const std::vector<Pattern>& patterns()
{
    using enum What;
    static const std::vector<Pattern> all {
        { "one failure by chance", { { 0, "w0", Failed, "a" } }, {} },
        { "a grey worker among good ones, wide step",
            { { 0, "w1", Done, "a" }, { 10, "w0", Failed, "a" }, { 20, "w0", Failed, "a" } }, { "w0" } },
        { "a grey worker fails the first task of each job that it gets",
            { { 0, "w0", Failed, "a" }, { 1000, "w0", Failed, "b" } }, { "w0" } },
        { "a grey worker that has been good for long",
            { { 0, "w0", Done, "a" }, { 1, "w0", Done, "a" }, { 2, "w0", Done, "a" }, { 3, "w0", Done, "a" },
                { 100, "w0", Failed, "b" }, { 200, "w0", Failed, "c" }, { 300, "w0", Failed, "d" } },
            { "w0" } },
        { "a step's own failures beside successes",
            { { 0, "w0", Done, "a" }, { 10, "w0", Done, "a" }, { 20, "w0", Failed, "a" }, { 900, "w0", Done, "a" },
                { 950, "w0", Failed, "b" } },
            {} },
        { "a job that fails everywhere",
            { { 0, "w0", Failed, "a" }, { 1, "w0", Failed, "a" }, { 2, "w0", Failed, "a" }, { 5, "w1", Failed, "a" },
                { 6, "w2", Failed, "a" }, { 9, "w3", Failed, "a" }, { 20, "w1", Failed, "a" } },
            {} },
        { "jobs that fail everywhere, one after the other",
            { { 0, "w0", Failed, "a" }, { 1, "w1", Failed, "a" }, { 2, "w2", Failed, "a" }, { 10, "w0", Failed, "b" },
                { 11, "w1", Failed, "b" }, { 12, "w2", Failed, "b" }, { 20, "w0", Failed, "c" } },
            {} },
        { "a machine goes down with many runs",
            { { 0, "w0", Lost, "a" }, { 0, "w0", Lost, "b" }, { 3, "w0", Lost, "c" }, { 9, "w0", Refused, "d" } }, {} },
        { "a worker that refuses starts while its probe is good",
            { { 0, "w0", Refused, "a" }, { 1000, "w0", Refused, "b" } }, { "w0" } },
    };
    return all;
}

} // namespace

// Guards against a failing worker that goes on to attract work, and against a worker that is blamed for the job's fault
// or for one incident several times.
BOOST_AUTO_TEST_CASE(Patterns_of_ends_tell_bad_workers_from_bad_jobs, *boost::unit_test::label("workers"))
{
    for (const auto& pattern : patterns()) {
        BOOST_TEST_CONTEXT(pattern.name)
        {
            HistoryFleet busy(8);
            for (const auto& event : pattern.events)
                busy.apply(event);
            BOOST_TEST(busy.fleet().workerHistory.suspects == pattern.suspects, boost::test_tools::per_element());
        }
    }
}

// Guards against other decisions at deployments where stops are cheap.
BOOST_AUTO_TEST_CASE(Where_stops_are_cheap_no_history_is_kept, *boost::unit_test::label("workers"))
{
    for (const auto& pattern : patterns()) {
        HistoryFleet busy(8, false);
        for (const auto& event : pattern.events)
            busy.apply(event);
        fleet::reviewStandings(busy.fleet(), busy.at(1000));
        const auto& history = busy.fleet().workerHistory;
        BOOST_CHECK(history.ends.empty() && history.stepFailures.empty() && history.suspects.empty());
        for (const auto& [id, worker] : busy.fleet().workers)
            BOOST_CHECK(worker.standing == Standing::Trusted);
    }
}

// Guards against a worker that comes back every 1.4 s and loses what it has got meanwhile, each time with a clean
// slate.
BOOST_AUTO_TEST_CASE(A_flapping_worker_becomes_a_suspect, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(8);
    auto& worker = busy.fleet().workers.at("w0");
    for (std::int64_t ms = 0; ms <= 5600; ms += 1400) {
        fleet::noteRestart(busy.fleet(), worker);
        busy.apply({ ms, "w0", What::Lost, "a" });
    }
    BOOST_CHECK(busy.fleet().workerHistory.suspects.contains("w0"));
}

// Guards against a drained worker that is a suspect when it comes back.
BOOST_AUTO_TEST_CASE(Runs_lost_by_maintenance_make_no_suspect, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(8);
    busy.fleet().workers.at("w0").awaitsUpkeep = true;
    busy.makeSuspect("w0");
    BOOST_CHECK(busy.fleet().workerHistory.suspects.empty());
}

// Guards against a grey worker that looks idle and gets all waiting work, since the fullest worker comes first.
BOOST_AUTO_TEST_CASE(A_suspect_gets_no_task_that_others_could_hold, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(4);
    busy.run(busy.submit("earlier", 1, 4, 2), 0, "w0");
    busy.makeSuspect("w0");
    busy.submit("job", 13, 2, 2);
    busy.place();
    BOOST_TEST(busy.runsByWorker() == (Runs { { "w0", 1 }, { "w1", 4 }, { "w2", 4 }, { "w3", 4 } }));
    BOOST_CHECK_EQUAL(busy.fleet().workerHistory.startsOnSuspects, 0U);
}

// Guards against a gang that fails whole with its one member on a suspect, and against one that never starts because
// the others are too few for it.
BOOST_AUTO_TEST_CASE(A_gang_avoids_suspects_but_starts_if_it_must, *boost::unit_test::label("workers"))
{
    for (std::uint32_t members : { 3U, 4U }) {
        HistoryFleet busy(4);
        busy.makeSuspect("w0");
        busy.submit("gang", members, 8, 1, true);
        busy.place();
        BOOST_CHECK_EQUAL(busy.runsByWorker().size(), members);
        BOOST_CHECK_EQUAL(busy.runsByWorker().contains("w0"), members == 4);
    }
}

// Guards against a gang for one rack that goes to the rack of a suspect although another has room.
BOOST_AUTO_TEST_CASE(A_gang_for_one_rack_avoids_the_rack_of_a_tolerated_suspect, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(8);
    busy.fleet().workers.at("w0").standing = Standing::Tolerated;
    busy.run(busy.submit("earlier", 1, 8, 2), 0, "w1");
    auto& gang = busy.submit("gang", 3, 8, 1, true);
    gang.spec.steps.front().isTightlyCoupled = true;
    busy.place();
    BOOST_CHECK(!busy.runsByWorker().contains("w0"));
    BOOST_CHECK_EQUAL(busy.runsByWorker().size(), 4U);
}

// Guards against a job that uses up its attempts on one worker. Where stops are cheap, the fullest worker is chosen.
BOOST_AUTO_TEST_CASE(A_retry_goes_elsewhere, *boost::unit_test::label("workers"))
{
    for (bool areStopsCostly : { false, true }) {
        HistoryFleet busy(4, areStopsCostly);
        busy.run(busy.submit("earlier", 1, 4, 2), 0, "w2");
        auto& job = busy.submit("job", 1, 1, 2);
        job.occurrences.front().steps.front().tasks.front().failedOn = { "w2" };
        busy.place();
        BOOST_CHECK_EQUAL(busy.runsByWorker()["w2"], areStopsCostly ? 1U : 2U);
    }
}

// Guards against a retry that waits for ever when the task has failed on each worker, and against a lost search that is
// taken for that of steps that may go anywhere.
BOOST_AUTO_TEST_CASE(A_retry_that_has_failed_everywhere_still_runs, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(2);
    auto& job = busy.submit("job", 1, 1, 2);
    auto& failedOn = job.occurrences.front().steps.front().tasks.front().failedOn;
    failedOn = { "w0", "w1" };
    busy.place();
    BOOST_CHECK_EQUAL(busy.runsByWorker().size(), 1U);
    failedOn = { "w0" };
    busy.run(busy.submit("full", 1, 8, 2), 0, "w1");
    auto& retry = busy.submit("retry", 1, 1, 2);
    retry.occurrences.front().steps.front().tasks.front().failedOn = { "w0" };
    busy.submit("waits", 1, 1, 2);
    busy.place();
    BOOST_CHECK(!retry.occurrences.front().steps.front().tasks.front().run);
    BOOST_CHECK(busy.fleet().jobs.at("waits").occurrences.front().steps.front().tasks.front().run);
}

// Guards against a service that stops working because a fault of the network makes suspects of half its workers.
BOOST_AUTO_TEST_CASE(Where_half_of_all_workers_fail_three_quarters_get_work, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(8);
    for (const auto* worker : { "w0", "w1", "w2", "w3" })
        busy.makeSuspect(worker);
    fleet::reviewStandings(busy.fleet(), busy.at(250));
    BOOST_CHECK_EQUAL(busy.fleet().workerHistory.heldBackWorkers, 2U);
    busy.submit("job", 8, 8, 2);
    busy.place(250);
    BOOST_CHECK_EQUAL(busy.runsByWorker().size(), 6U);
}

// Guards against a worker that is lost for good, and against one that is trusted again before it has shown anything.
BOOST_AUTO_TEST_CASE(A_suspect_regains_trust_through_probation, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(4);
    busy.makeSuspect("w0");
    auto& full = busy.submit("full", 3, 8, 2);
    for (std::uint32_t index : { 0U, 1U, 2U })
        busy.run(full, index, "w" + std::to_string(index + 1));
    struct Row {
        std::int64_t ms;
        Standing standing;
        std::size_t shortTasks; //!< of three that wait, on the suspect
    };
    for (const auto& row : { Row { 250, Standing::HeldBack, 0 }, Row { 8000, Standing::Probation, 1 },
             Row { 16000, Standing::Trusted, 3 } }) {
        fleet::reviewStandings(busy.fleet(), busy.at(row.ms));
        BOOST_CHECK(busy.standing("w0") == row.standing);
        auto& job = busy.submit("short-" + std::to_string(row.ms), 3, 1, 2);
        job.spec.steps.front().estimatedMs = 2000;
        busy.place(row.ms);
        BOOST_CHECK_EQUAL(busy.runsByWorker()["w0"], row.shortTasks);
        fleet::cancel(busy.fleet(), job.spec.id, BusyFleet::unixMs, busy.at(row.ms));
        auto& worker = busy.fleet().workers.at("w0");
        while (!worker.runs.empty())
            fleet::removeRun(busy.fleet(), worker, fleet::RunKey(worker.runs.begin()->first));
    }
}

// Guards against memory that grows as workers come and go and as jobs fail.
BOOST_AUTO_TEST_CASE(The_history_is_bounded, *boost::unit_test::label("workers"))
{
    HistoryFleet busy(4);
    const auto& history = busy.fleet().workerHistory;
    for (std::size_t n = 0; n < 2 * fleet::maxStepsWithFailures; ++n)
        busy.apply({ static_cast<std::int64_t>(n), "w1", What::Failed, "job-" + std::to_string(n) });
    BOOST_CHECK_EQUAL(history.stepFailures.size(), fleet::maxStepsWithFailures);
    busy.makeSuspect("w0");
    fleet::applyUnlisted(busy.fleet(), "w0");
    busy.fleet().tookOverAt = busy.now() - Millis(60000);
    fleet::advance(busy.fleet(), BusyFleet::unixMs, busy.at(20000));
    BOOST_CHECK(!busy.fleet().workers.contains("w0"));
    BOOST_CHECK(!history.ends.contains("w0") && !history.suspects.contains("w0"));
}
