#include "agatevane/base/random.h"
#include "samples.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using run_times::Kind;
using run_times::Model;
using run_times::Source;
using test::addEnded;
using test::quantileMs;

namespace {

const Instant start = Instant(std::chrono::hours(1));
//! Buckets are 19 % wide, so that a value differs from that of its bucket by at most 9 %.
constexpr double tolerancePercent = 9.1;

void checkClose(std::int64_t actualMs, std::int64_t expectedMs)
{
    BOOST_CHECK_CLOSE(static_cast<double>(actualMs), static_cast<double>(expectedMs), tolerancePercent);
}

} // namespace

// Guards against an estimate from too few runs, and against a group that is not used once it has enough.
BOOST_AUTO_TEST_CASE(Few_samples_fall_back_to_the_wider_group, *boost::unit_test::label("run_times"))
{
    struct Row {
        int ownRuns;
        int runsOfOthers;
        Source source;
        std::int64_t medianMs;
    };
    for (const auto& row : { Row { 0, 0, Source::Declared, 1000 }, Row { 9, 0, Source::Declared, 1000 },
             Row { 0, 9, Source::Declared, 1000 }, Row { 0, 10, Source::Queue, 500 }, Row { 9, 30, Source::Queue, 500 },
             Row { 10, 30, Source::Workspace, 4000 } }) {
        Model model;
        addEnded(model, { "queue", "other", 1000 }, 500, row.runsOfOthers);
        addEnded(model, { "queue", "own", 1000 }, 4000, row.ownRuns, start + std::chrono::seconds(100));
        Kind kind { "queue", "own", 1000 };
        BOOST_CHECK(run_times::estimate(model, kind).source == row.source);
        checkClose(quantileMs(model, kind, 0.5), row.medianMs);
        BOOST_CHECK_EQUAL(quantileMs(model, { "another", "own", 1000 }, 0.5), 1000);
    }
}

// Guards against short runs that end first and hide that the others take much longer.
BOOST_AUTO_TEST_CASE(Runs_that_go_on_show_beside_short_ones_that_have_ended, *boost::unit_test::label("run_times"))
{
    Model model;
    Kind kind { "queue", "own", 1000 };
    addEnded(model, kind, 1000, 20);
    std::vector<run_times::Sample> goingOn(20);
    for (std::int64_t soFarMs : { 1500, 3000, 6000 }) {
        for (auto& sample : goingOn)
            run_times::setDuration(model, kind, sample, soFarMs, start + Millis(20000 + soFarMs));
        BOOST_CHECK_GE(quantileMs(model, kind, 0.9), soFarMs * 9 / 10);
    }
    checkClose(quantileMs(model, kind, 0.1), 1000);
}

// Guards against long runs that count several times while they go on, or no more once they end: where many runs end
// each second, the weight of older samples would be gone by then.
BOOST_AUTO_TEST_CASE(A_rare_long_run_counts_as_much_as_a_short_one, *boost::unit_test::label("run_times"))
{
    Model model;
    Kind kind { "queue", "own", 2000 };
    std::vector<std::pair<Instant, run_times::Sample>> longRuns;
    for (int n = 0; n < 6000; ++n) {
        auto at = start + n * Millis(30);
        for (auto& [began, sample] : longRuns) {
            auto soFar = std::min(elapsed(began, at), Millis(14000));
            if (n % 20 == 0 && soFar > Millis(2200))
                run_times::setDuration(model, kind, sample, soFar.count(), at);
        }
        if (n % 33 == 0)
            longRuns.emplace_back(at, run_times::Sample {});
        else
            addEnded(model, kind, 2000, 1, at);
    }
    checkClose(quantileMs(model, kind, 0.95), 2000);
    checkClose(quantileMs(model, kind, 0.985), 14000);
}

// Guards against a workspace that makes the work of another look shorter or longer than it is.
RC_BOOST_PROP(No_workspace_changes_the_estimate_of_another, (std::vector<std::uint32_t> durations))
{
    Model model;
    Kind own { "queue", "own", 1000 };
    addEnded(model, own, 2500, 12);
    auto before = quantileMs(model, own, 0.5);
    for (auto duration : durations)
        addEnded(model, { "queue", "other" + std::to_string(duration % 200), duration % 5000 }, duration, 1);
    RC_ASSERT(run_times::estimate(model, own).source == Source::Workspace);
    RC_ASSERT(quantileMs(model, own, 0.5) == before);
}

// Guards against memory that grows with the names that occur, and against quantiles that are negative or fall.
RC_BOOST_PROP(Size_and_quantiles_are_bounded_for_any_input, (std::vector<std::pair<std::int64_t, std::int64_t>> runs))
{
    Model model;
    int number = 0;
    for (const auto& [declaredMs, durationMs] : runs) {
        run_times::Sample sample;
        auto name = std::to_string(number++);
        Kind kind { name, name, declaredMs };
        run_times::setDuration(model, kind, sample, durationMs, start + Millis(number));
        run_times::setDuration(model, { "queue", name, declaredMs }, sample = {}, durationMs, start);
    }
    RC_ASSERT(model.queues.size() <= run_times::maxQueues);
    for (const auto& [name, queue] : model.queues)
        RC_ASSERT(queue.workspaces.size() <= run_times::maxWorkspacesPerQueue);
    std::int64_t last = 0;
    for (double fraction : { 0.0, 0.1, 0.5, 0.9, 1.0 }) {
        auto value = quantileMs(model, { "queue", "none", 1000 }, fraction);
        RC_ASSERT(value >= last);
        last = value;
    }
}

// Guards against workspaces that keep others out for good once they have no runs any more.
BOOST_AUTO_TEST_CASE(A_group_without_runs_makes_room_for_another, *boost::unit_test::label("run_times"))
{
    auto hasOwnGroup = [](Millis pause) {
        Model model;
        for (std::size_t n = 0; n < run_times::maxWorkspacesPerQueue; ++n)
            addEnded(model, { "queue", std::to_string(n), 1000 }, 2000, 10, start + std::chrono::seconds(n));
        addEnded(model, { "queue", "new", 1000 }, 2000, 10, start + std::chrono::seconds(100) + pause);
        return run_times::estimate(model, { "queue", "new", 1000 }).source == Source::Workspace;
    };
    BOOST_CHECK(!hasOwnGroup(Millis(0)));
    BOOST_CHECK(hasOwnGroup(std::chrono::minutes(11)));
}

// Guards against a system that decides worse with learned times than without where callers declare the truth.
RC_BOOST_PROP(True_declared_times_lose_nothing, (std::uint64_t seed))
{
    Random random(seed);
    Model model;
    for (int n = 0; n < 200; ++n) {
        auto declaredMs = uniform(random, 100, 100000);
        // The report of an end is a little late.
        addEnded(model, { "queue", "own", declaredMs }, declaredMs + declaredMs * uniform(random, 0, 5) / 100, 1);
    }
    auto declaredMs = uniform(random, 100, 100000);
    for (double fraction : { 0.1, 0.5, 0.9 })
        RC_ASSERT(quantileMs(model, { "queue", "own", declaredMs }, fraction) == declaredMs);
}

// Guards against an estimate from declared times that say nothing, or from durations that are as varied as the work.
BOOST_AUTO_TEST_CASE(The_narrower_of_durations_and_ratios_is_used, *boost::unit_test::label("run_times"))
{
    Model sameDuration;
    Model sameRatio;
    for (int n = 0; n < 40; ++n) {
        std::int64_t declaredMs = 1000 + 150 * n;
        addEnded(sameDuration, { "queue", "own", declaredMs }, 2500, 1);
        addEnded(sameRatio, { "queue", "own", declaredMs }, declaredMs * 5 / 2, 1);
    }
    for (std::int64_t declaredMs : { 1000, 6250 }) {
        Kind kind { "queue", "own", declaredMs };
        checkClose(quantileMs(sameDuration, kind, 0.5), 2500);
        checkClose(quantileMs(sameRatio, kind, 0.5), declaredMs * 5 / 2);
    }
    checkClose(quantileMs(sameDuration, { "queue", "own", 0 }, 0.5), 2500);
}

// Guards against an estimate that keeps to the past after the work has changed.
BOOST_AUTO_TEST_CASE(An_estimate_follows_a_change_in_run_times, *boost::unit_test::label("run_times"))
{
    Model model;
    Kind kind { "queue", "own", 0 };
    addEnded(model, kind, 1000, 500);
    // The weight of older samples lasts for ten of the new durations.
    addEnded(model, kind, 8000, 80, start + std::chrono::seconds(500));
    checkClose(quantileMs(model, kind, 0.5), 8000);
}

// Guards against a run that is expected to end at once, or in the past, because it has outlasted most others.
BOOST_AUTO_TEST_CASE(The_remaining_time_is_that_of_runs_that_last_as_long, *boost::unit_test::label("run_times"))
{
    Model model;
    Kind kind { "queue", "own", 0 };
    addEnded(model, kind, 1000, 20);
    addEnded(model, kind, 8000, 5, start + std::chrono::seconds(20));
    auto estimate = run_times::estimate(model, kind);
    checkClose(*run_times::remainingMs(estimate, 0, 0.5), 1000);
    checkClose(*run_times::remainingMs(estimate, 2000, 0.5), 6000);
    BOOST_CHECK_EQUAL(*run_times::remainingMs(estimate, 20000, 0.5), 20000);
    BOOST_CHECK(!run_times::remainingMs(run_times::estimate({}, kind), 0, 0.5));
}
