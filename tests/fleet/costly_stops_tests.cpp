#include "costly_fleet.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace agatevane;
using test::CostlyFleet;

namespace {

const Instant start = CostlyFleet::now();

struct VictimCase {
    std::string pattern;
    Millis age; //!< of the victim
    std::function<void(CostlyFleet&)> change;
    bool isStopped = false;
    bool isGuaranteed = false; //!< the claiming job
    Millis waited { 0 }; //!< of the claiming job
};

void reachPercent(fleet::Run& run, int percent, Instant at)
{
    run.percent = percent;
    run.progressAt = at;
}

const auto endsSoon = [](CostlyFleet& fleet) { reachPercent(fleet.onlyRun("w0"), 95, start); };
const auto isOverdue = [](CostlyFleet& fleet) { reachPercent(fleet.onlyRun("w0"), 95, start - Millis(3000)); };
//! The run has resumed 8 s ago with this percentage done.
std::function<void(CostlyFleet&)> hasResumedAt(int percent)
{
    return [percent](CostlyFleet& fleet) {
        fleet.fleet().jobs.at("victim").spec.steps.front().savesCheckpoints = true;
        auto& run = fleet.onlyRun("w0");
        run.isReported = true;
        run.firstPercent = percent;
        run.firstReportAt = start - Millis(8000);
        reachPercent(run, 95, start);
    };
}

const auto stoppedThrice = [](CostlyFleet& fleet) { fleet.stepOf("victim").stopsForOthers = 3; };
const auto stoppedTwice = [](CostlyFleet& fleet) { fleet.stepOf("victim").stopsForOthers = 2; };
const auto saves
    = [](CostlyFleet& fleet) { fleet.fleet().jobs.at("victim").spec.steps.front().savesCheckpoints = true; };
const auto stopsAreCheap = [](CostlyFleet& fleet) {
    endsSoon(fleet);
    stoppedThrice(fleet);
    fleet.fleet().limits = {};
};
const auto none = [](CostlyFleet&) {};

} // namespace

// Guards against stops that lose more than they gain, against work that is stopped again and again, against the stop of
// a run that ends sooner by itself, and against guaranteed work that these rules hold back.
BOOST_AUTO_TEST_CASE(A_victim_is_stopped_only_where_it_pays, *boost::unit_test::label("preemption"))
{
    const std::vector<VictimCase> cases {
        { "urgent work on a full fleet", Millis(5000), none, true },
        { "a long run would be lost", Millis(20000), none, false },
        { "a long run has saved its work", Millis(20000), saves, true },
        { "a job was stopped thrice", Millis(500), stoppedThrice, false },
        { "a job was stopped twice and has run since", Millis(9000), stoppedTwice, false },
        { "a victim is about to end", Millis(8000), endsSoon, false },
        { "a victim has not ended as predicted", Millis(8000), isOverdue, true },
        { "a resumed run is about to end", Millis(8000), hasResumedAt(50), false },
        { "a resumed run has saved most of its percentage before", Millis(8000), hasResumedAt(90), true },
        { "a late job has no value any more", Millis(500), none, false, false, Millis(13000) },
        { "guaranteed work: a long run would be lost", Millis(20000), none, true, true },
        { "guaranteed work: a job was stopped thrice", Millis(500), stoppedThrice, true, true },
        { "guaranteed work: a victim is about to end", Millis(8000), endsSoon, false, true },
        { "guaranteed work that can't wait longer for the end", Millis(8000), endsSoon, true, true, Millis(1001) },
        { "guaranteed work that has no value any more", Millis(500), none, true, true, Millis(60000) },
        { "stops are cheap", Millis(8000), stopsAreCheap, true },
    };
    for (const auto& each : cases) {
        CostlyFleet fleet(1);
        fleet.fill("victim", "w0", each.age);
        each.change(fleet);
        fleet.urgent("urgent", start - each.waited, each.isGuaranteed);
        fleet.place(start);
        BOOST_TEST_CONTEXT(each.pattern)
        {
            BOOST_CHECK_EQUAL(fleet.fleet().preemptedRuns, each.isStopped ? 1U : 0U);
        }
    }
}

// Guards against the gang that was stopped five times in 2.5 s, 80 to 960 ms after its start, for another job each
// time.
BOOST_AUTO_TEST_CASE(A_gang_that_has_just_started_again_is_not_chosen_again, *boost::unit_test::label("preemption"))
{
    CostlyFleet fleet(2);
    fleet.fill("restarted", "w0", Millis(100));
    fleet.stepOf("restarted").stopsForOthers = 1;
    fleet.fill("other", "w1", Millis(2000));
    fleet.urgent("urgent", start);
    fleet.place(start);
    BOOST_CHECK(fleet.onlyRun("w0").state == fleet::RunState::Running);
    BOOST_CHECK(fleet.onlyRun("w1").state == fleet::RunState::Stopping);
    BOOST_CHECK_EQUAL(fleet.stepOf("other").stopsForOthers, 1);
}

// Guards against a wide job that is protected after one stop, because each of its tasks was counted.
BOOST_AUTO_TEST_CASE(Tasks_stopped_for_one_step_count_as_one_stop, *boost::unit_test::label("preemption"))
{
    CostlyFleet fleet(1);
    auto& wide = fleet.submit("wide", 8, 1, 2);
    for (std::uint32_t index = 0; index < 8; ++index)
        fleet.run(wide, index, "w0", Millis(500));
    fleet.urgent("urgent", start);
    fleet.place(start);
    BOOST_CHECK_EQUAL(fleet.fleet().preemptedRuns, 8U);
    BOOST_CHECK_EQUAL(fleet.stepOf("wide").stopsForOthers, 1);
}

// Guards against guaranteed work that waits past its deadline for a run that seems about to end and does not.
BOOST_AUTO_TEST_CASE(Guaranteed_work_trusts_no_end_for_too_long, *boost::unit_test::label("preemption"))
{
    constexpr Millis roundInterval { 50 };
    constexpr Millis startAllowance { 300 };
    for (int predictedMs = 0; predictedMs <= 3000; predictedMs += 100) {
        CostlyFleet fleet(1);
        fleet.fill("victim", "w0", Millis(8000));
        fleet.urgent("urgent", start, true);
        auto latest = fleet.fleet().limits.reclaimDeadline - fleet.fleet().limits.stopDuration - startAllowance;
        Millis waited { 0 };
        for (; fleet.fleet().preemptedRuns == 0 && waited < latest; waited += roundInterval) {
            auto percent = 100 * (8000 + static_cast<int>(waited.count())) / (8000 + predictedMs);
            if (percent < 100)
                reachPercent(fleet.onlyRun("w0"), percent, start + waited);
            fleet.place(start + waited);
        }
        BOOST_TEST_CONTEXT("seems to end after " << predictedMs << " ms")
        {
            BOOST_CHECK_EQUAL(fleet.fleet().preemptedRuns, 1U);
        }
    }
}
