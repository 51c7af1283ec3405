//! What is learned from runs, and what decisions make of it.
#include "agatevane/fleet/departure.h"
#include "agatevane/fleet/expiry.h"
#include "agatevane/fleet/ranking.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"

#include "busy_fleet.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace agatevane;
using test::BusyFleet;

namespace {

const Instant at = BusyFleet::now();

enum class Stops { Cheap, Costly };

//! Two workers on one rack. Jobs declare 8 s.
struct LearningFleet : BusyFleet {
    explicit LearningFleet(Stops stops = Stops::Costly)
        : BusyFleet(2)
    {
        if (stops == Stops::Costly)
            fleet().limits.stopDuration = Millis(900);
    }

    //! As if 20 runs of the workspace had each taken this long.
    void learn(const std::string& workspace, std::int64_t durationMs, std::int64_t declaredMs = 8000)
    {
        for (int n = 0; n < 20; ++n) {
            run_times::Sample sample;
            run_times::setDuration(
                fleet().runTimes.model, { "queue-1", workspace, declaredMs }, sample, durationMs, at);
        }
    }

    fleet::Run& runOf(fleet::Job& job, std::uint32_t index = 0)
    {
        return fleet().workers.at("w0").runs.at({ { job.spec.id, 0, 0, index }, 1 });
    }

    //! Orders a run on w0 `age` ago, which was confirmed at once.
    fleet::Run& begin(fleet::Job& job, Millis age, std::uint32_t index = 0)
    {
        run(job, index, "w0", age);
        auto key = fleet::RunKey { { job.spec.id, 0, 0, index }, 1 };
        fleet::applyStartOutcome(fleet(), "w0", key, fleet::OrderOutcome::Done, at - age);
        return runOf(job, index);
    }

    void poll(
        const std::vector<fleet::RunningReport>& running, const std::vector<fleet::EndReport>& ended, Instant when = at)
    {
        fleet().workers.at("w0").pollSentAt = when - Millis(1);
        fleet::applyPollAnswer(fleet(), "w0", { 1, 1000, running, ended, 0 }, unixMs, when);
    }

    fleet::EndReport end(std::uint32_t index = 0, fleet::EndKind kind = fleet::EndKind::Done) const
    {
        return { index + 1, { { "job", 0, 0, index }, 1 }, kind, {} };
    }

    double samples()
    {
        const auto& queues = fleet().runTimes.model.queues;
        return queues.empty() ? 0 : queues.begin()->second.whole.durations.total;
    }
};

std::int64_t expectedMs(BusyFleet& busy, const fleet::Job& job, double fraction = fleet::medianFraction)
{
    return fleet::runTimeMs(busy.fleet(), job, job.spec.steps.front(), fraction);
}

} // namespace

// Guards against runs that teach a wrong time: those that did a part of the work, were slowed down, ended otherwise
// than well, or whose beginning or end is not known; and against learning where stops are cheap.
BOOST_AUTO_TEST_CASE(Only_whole_runs_that_ended_well_are_learned_from, *boost::unit_test::label("run_times"))
{
    struct Row {
        const char* name;
        bool isLearned;
        std::function<void(LearningFleet&, fleet::Job&)> beforeStart;
        std::function<void(LearningFleet&, fleet::Run&)> beforeEnd;
        fleet::EndKind end = fleet::EndKind::Done;
        Stops stops = Stops::Costly;
    };
    using Kind = fleet::EndKind;
    for (const auto& row :
        { Row { "whole", true, {}, {} }, Row { "cheap stops", false, {}, {}, Kind::Done, Stops::Cheap },
            Row { "failed", false, {}, {}, Kind::Failed }, Row { "stopped", false, {}, {}, Kind::Stopped },
            Row { "resumed", false, [](auto&, auto&job) { job.occurrences[0].steps[0].tasks[0].checkpoint = "saved"; },
                {} },
            Row { "far data", false, [](auto&, auto&job) { job.spec.steps[0].dataRack = "r9"; }, {} },
            Row { "filler", false, [](auto&, auto&job) { job.spec.steps[0].isFiller = true; }, {} },
            Row { "continuous", false, [](auto&, auto&job) { job.spec.steps[0].isContinuous = true; }, {} },
            Row { "late confirmation", false, {}, [](auto&, auto&run) { run.orderedAt -= Millis(2000); } },
            Row { "being stopped", false, {}, [](auto&, auto&run) { fleet::requestStop(run, at); } },
            Row { "silent worker", false, {},
                [](auto&fleet, auto&) { fleet::applyPollFailure(fleet.fleet(), "w0", at - Millis(100)); } } }) {
        BOOST_TEST_CONTEXT(row.name)
        {
            LearningFleet fleet(row.stops);
            auto& job = fleet.submit("job", 1, 1, 1);
            if (row.beforeStart)
                row.beforeStart(fleet, job);
            auto& run = fleet.begin(job, Millis(3000));
            if (row.beforeEnd)
                row.beforeEnd(fleet, run);
            fleet.poll({}, { fleet.end(0, row.end) });
            BOOST_CHECK_EQUAL(fleet.samples() > 0, row.isLearned);
            BOOST_CHECK_EQUAL(fleet.fleet().runTimes.finished.size(), row.isLearned ? 1U : 0U);
        }
    }
}

// Guards against a gang that counts once for each of its members, which end together.
BOOST_AUTO_TEST_CASE(A_gang_counts_once, *boost::unit_test::label("run_times"))
{
    LearningFleet fleet;
    auto& job = fleet.submit("job", 3, 1, 1, true);
    for (std::uint32_t index = 0; index < 3; ++index)
        fleet.begin(job, Millis(3000), index);
    std::vector<fleet::EndReport> ends;
    for (std::uint32_t index : { 2, 0, 1 }) {
        ends.push_back(fleet.end(index));
        ends.back().number = static_cast<std::int64_t>(ends.size());
    }
    fleet.poll({}, ends);
    BOOST_CHECK_EQUAL(fleet.samples(), 1);
}

// Guards against long runs that are not seen before they end, and against those that count twice.
BOOST_AUTO_TEST_CASE(A_run_that_exceeds_the_expected_time_counts_once, *boost::unit_test::label("run_times"))
{
    LearningFleet fleet;
    auto& job = fleet.submit("job", 1, 1, 1);
    fleet.begin(job, Millis(7000));
    fleet::RunningReport report { { { "job", 0, 0, 0 }, 1 }, {}, 1, 0 };
    fleet.poll({ report }, {});
    BOOST_CHECK_EQUAL(fleet.samples(), 0);
    for (auto later : { Millis(2000), Millis(9000) }) {
        fleet.poll({ report }, {}, at + later);
        BOOST_CHECK_EQUAL(fleet.samples(), 1);
        BOOST_CHECK_EQUAL(fleet.runOf(job).sample.durationMs, 7000 + later.count());
    }
    fleet.poll({}, { fleet.end() }, at + Millis(13000));
    BOOST_CHECK_EQUAL(fleet.samples(), 1);
    BOOST_CHECK_EQUAL(fleet.fleet().runTimes.finished.front().actualMs, 20000);
}

// Guards against a job that goes last for good because its declared time is too short, and against decisions that
// change where stops are cheap. The objective is three times the work and 1.2 s; after three times that, the job is
// past its value.
BOOST_AUTO_TEST_CASE(A_job_is_past_its_value_only_by_its_true_work, *boost::unit_test::label("run_times"))
{
    struct Row {
        Stops stops;
        std::int64_t trueMs; //!< 0: nothing is learned
        std::int64_t ageMs;
        int tier;
    };
    // Declared: due at 25.2 s, no value from 75.6 s on; 8 s are left to do.
    for (const auto& row :
        { Row { Stops::Costly, 0, 17000, fleet::onTimeTier + 1 }, Row { Stops::Costly, 0, 18000, fleet::lateTier + 1 },
            Row { Stops::Costly, 0, 67000, fleet::lateTier + 1 }, Row { Stops::Costly, 0, 68000, fleet::expiredTier },
            Row { Stops::Costly, 20000, 18000, fleet::onTimeTier + 1 },
            Row { Stops::Costly, 20000, 68000, fleet::lateTier + 1 },
            Row { Stops::Costly, 20000, 190000, fleet::expiredTier },
            Row { Stops::Costly, 3200, 10000, fleet::lateTier + 1 },
            Row { Stops::Cheap, 20000, 68000, fleet::expiredTier },
            Row { Stops::Cheap, 3200, 10000, fleet::onTimeTier + 1 } }) {
        BOOST_TEST_CONTEXT("true " << row.trueMs << " ms, age " << row.ageMs << " ms")
        {
            LearningFleet fleet(row.stops);
            if (row.trueMs > 0)
                fleet.learn("", row.trueMs);
            auto pending = BusyFleet::waiting(fleet.submit("job", 1, 1, 1));
            fleet::rank(fleet.fleet(), pending, row.ageMs);
            BOOST_CHECK_EQUAL(pending.tier, row.tier);
        }
    }
}

// Guards against a job that is given up although half of its kind, which take longer, still have their value: the
// objective of a longer job is later.
BOOST_AUTO_TEST_CASE(A_job_of_an_uncertain_time_is_past_its_value_late, *boost::unit_test::label("run_times"))
{
    for (bool hasLongRuns : { false, true }) {
        LearningFleet fleet;
        fleet.learn("", 4000, 0);
        if (hasLongRuns)
            fleet.learn("", 4000, 0);
        for (int n = 0; n < (hasLongRuns ? 10 : 0); ++n) {
            run_times::Sample sample;
            run_times::setDuration(fleet.fleet().runTimes.model, { "queue-1", "", 0 }, sample, 16000, at);
        }
        auto pending = BusyFleet::waiting(fleet.submit("job", 1, 1, 1));
        fleet::rank(fleet.fleet(), pending, 60000);
        BOOST_CHECK_EQUAL(pending.tier, hasLongRuns ? fleet::lateTier + 1 : fleet::expiredTier);
    }
}

// Guards against an order by declared times that say nothing: the shorter job has less time to wait.
BOOST_AUTO_TEST_CASE(Steps_are_ordered_by_learned_times, *boost::unit_test::label("run_times"))
{
    for (auto stops : { Stops::Costly, Stops::Cheap }) {
        LearningFleet fleet(stops);
        fleet.learn("short", 2000);
        fleet.learn("long", 16000);
        std::map<std::string, std::int64_t> slacks;
        for (const auto* workspace : { "short", "long" }) {
            auto& job = fleet.submit(workspace, 1, 1, 1);
            job.spec.tenant = workspace;
            auto pending = BusyFleet::waiting(job);
            fleet::rank(fleet.fleet(), pending, 100);
            slacks[workspace] = pending.slackMs;
        }
        BOOST_CHECK_EQUAL(slacks.at("short") < slacks.at("long"), stops == Stops::Costly);
    }
}

// Guards against a run that is stopped although it ends before its worker leaves, and one that is lost with its worker,
// because its declared time is wrong; and against an estimate that outweighs the run's own pace.
BOOST_AUTO_TEST_CASE(A_departure_goes_by_learned_times_and_the_own_pace, *boost::unit_test::label("run_times"))
{
    struct Row {
        Stops stops;
        std::int64_t trueMs;
        int percent; //!< after 1 s
        bool isStopped;
    };
    // The worker leaves in 4 s.
    for (const auto& row : { Row { Stops::Costly, 2000, 0, false }, Row { Stops::Costly, 8000, 0, true },
             Row { Stops::Costly, 2000, 12, true }, Row { Stops::Costly, 8000, 40, false },
             Row { Stops::Cheap, 2000, 0, true }, Row { Stops::Cheap, 2000, 12, true } }) {
        BOOST_TEST_CONTEXT("true " << row.trueMs << " ms, percent " << row.percent)
        {
            LearningFleet fleet(row.stops);
            fleet.learn("", row.trueMs);
            auto& run = fleet.begin(fleet.submit("job", 1, 1, 1), Millis(1000));
            run.percent = row.percent;
            run.progressAt = at;
            auto& worker = fleet.fleet().workers.at("w0");
            worker.isDraining = true;
            worker.leavesAt = at + Millis(4000);
            fleet::stopDepartingRuns(fleet.fleet(), { &worker }, at);
            BOOST_CHECK_EQUAL(run.state == fleet::RunState::Stopping, row.isStopped);
        }
    }
}

// Guards against a limit that a short learned time makes shorter than the declared one does, and against one that a
// long learned time does not make longer. A percent may take three times as long as expected.
BOOST_AUTO_TEST_CASE(What_was_learned_shortens_no_stall_limit, *boost::unit_test::label("run_times"))
{
    struct Row {
        std::int64_t declaredMs;
        std::int64_t trueMs;
        std::int64_t stalledMs;
        bool isStopped;
    };
    for (const auto& row :
        { Row { 8000, 1000, 3400, false }, Row { 8000, 1000, 3600, true }, Row { 400000, 1000, 11900, false },
            Row { 400000, 1000, 12100, true }, Row { 8000, 400000, 10000, false } }) {
        LearningFleet fleet;
        fleet.learn("", row.trueMs, row.declaredMs);
        auto& job = fleet.submit("job", 1, 1, 1);
        job.spec.steps.front().estimatedMs = row.declaredMs;
        auto& run = fleet.begin(job, Millis(row.stalledMs));
        std::vector<fleet::Worker*> workers { &fleet.fleet().workers.at("w0") };
        fleet::expireRuns(fleet.fleet(), workers, at);
        BOOST_CHECK_EQUAL(run.state == fleet::RunState::Stopping, row.isStopped);
    }
}

// Guards against a remaining time that ignores that the run is slowed down by a far rack, or has done a part of its
// work under an earlier owner.
BOOST_AUTO_TEST_CASE(The_remaining_time_allows_for_the_kind_of_run, *boost::unit_test::label("run_times"))
{
    LearningFleet fleet;
    fleet.learn("", 2000);
    auto& job = fleet.submit("job", 1, 1, 1);
    BOOST_CHECK_CLOSE(static_cast<double>(expectedMs(fleet, job)), 2000.0, 10);
    auto& run = fleet.begin(job, Millis(0));
    auto remaining = [&] {
        return fleet::remainingTime(
            fleet.fleet(), job, fleet.fleet().workers.at("w0"), run, fleet::medianFraction, at + Millis(600))
            ->count();
    };
    BOOST_CHECK_CLOSE(static_cast<double>(remaining()), 1400.0, 15);
    job.spec.steps.front().dataRack = "r9";
    BOOST_CHECK_CLOSE(static_cast<double>(remaining()), 5400.0, 15);
    job.spec.steps.front().dataRack.clear();
    job.spec.steps.front().savesCheckpoints = true;
    run.isFromStart = false;
    run.percent = run.firstPercent = 50;
    BOOST_CHECK_CLOSE(static_cast<double>(remaining()), 1000.0, 15);
}
