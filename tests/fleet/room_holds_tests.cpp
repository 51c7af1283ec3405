#include "costly_fleet.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace agatevane;
using test::CostlyFleet;

namespace {

const Instant start = CostlyFleet::now();

struct HoldCase {
    std::string pattern;
    std::function<void(CostlyFleet&)> happens; //!< between the stop and the next round
    bool hasEnded = true; //!< the victim's stop has taken effect by then
    Millis later { 900 };
    std::string expected; //!< the job that runs after the next round, if any
    std::size_t holds = 0; //!< in force then
    std::uint64_t stops = 1; //!< in both rounds
};

const auto none = [](CostlyFleet&) {};
const auto lessSlack = [](CostlyFleet& fleet) { fleet.urgent("later", start - Millis(1500)); };
const auto guaranteedArrives = [](CostlyFleet& fleet) { fleet.urgent("later", start, true); };
const auto workerDrains = [](CostlyFleet& fleet) { fleet.fleet().workers.at("w0").isDraining = true; };
const auto jobEnds = [](CostlyFleet& fleet) {
    lessSlack(fleet);
    fleet.fleet().openJobs.erase("first");
    fleet.fleet().jobs.at("first").phase = fleet::JobPhase::Cancelled;
};

} // namespace

// Guards against freed capacity that another step takes, so that the same job has stops made for it in round after
// round (284 stops in 11 rounds were seen), and against capacity that is held for a step that can't use it.
BOOST_AUTO_TEST_CASE(Freed_capacity_is_held_for_its_step, *boost::unit_test::label("preemption"))
{
    const std::vector<HoldCase> cases {
        { "the victim has ended", none, true, Millis(900), "first", 0 },
        { "the victim is still being stopped", none, false, Millis(500), "", 1 },
        { "a more urgent step of the tier arrives", lessSlack, true, Millis(900), "first", 0 },
        { "the same before the victim has ended", lessSlack, false, Millis(500), "", 1 },
        { "guaranteed work arrives", guaranteedArrives, true, Millis(900), "later", 0 },
        { "the worker leaves", workerDrains, true, Millis(900), "", 0 },
        { "the held step's job has ended", jobEnds, true, Millis(900), "later", 0 },
        { "the stop does not take effect in time", none, false, Millis(4000), "", 0 },
    };
    for (const auto& each : cases) {
        CostlyFleet fleet(1);
        fleet.fill("victim", "w0", Millis(1000));
        fleet.urgent("first", start);
        fleet.place(start);
        BOOST_TEST_CONTEXT(each.pattern)
        {
            BOOST_REQUIRE_EQUAL(fleet.fleet().roomHolds.byStep.size(), 1U);
            if (each.hasEnded)
                fleet.endRuns("w0");
            fleet.fleet().openJobs.erase("victim");
            each.happens(fleet);
            fleet.place(start + each.later);
            for (const auto* id : { "first", "later" }) {
                if (fleet.fleet().jobs.contains(id))
                    BOOST_CHECK_EQUAL(fleet.isRunning(id), each.expected == id);
            }
            BOOST_CHECK_EQUAL(fleet.fleet().roomHolds.byStep.size(), each.holds);
            BOOST_CHECK_EQUAL(fleet.fleet().preemptedRuns, each.stops);
        }
    }
}

// Guards against a gang whose hold keeps the rest of its workers from others after one of them has left.
BOOST_AUTO_TEST_CASE(A_gang_that_can_not_be_completed_gives_its_hold_up, *boost::unit_test::label("preemption"))
{
    CostlyFleet fleet(2);
    fleet.fill("a", "w0", Millis(1000));
    fleet.fill("b", "w1", Millis(1000));
    fleet.urgent("gang", start, false, 2);
    fleet.place(start);
    BOOST_REQUIRE_EQUAL(fleet.fleet().roomHolds.byStep.size(), 1U);
    fleet.end("a");
    fleet.end("b");
    workerDrains(fleet);
    fleet.urgent("single", start);
    fleet.place(start + Millis(900));
    BOOST_CHECK(fleet.fleet().roomHolds.byStep.empty());
    BOOST_CHECK(fleet.isRunning("single"));
}

// Guards against rounds whose searches, plans or holds grow with the backlog.
BOOST_AUTO_TEST_CASE(A_round_with_costly_stops_makes_few_searches, *boost::unit_test::label("preemption"))
{
    CostlyFleet fleet(40);
    for (int n = 0; n < 40; ++n)
        fleet.fill("victim" + std::to_string(n), "w" + std::to_string(n), Millis(1000));
    for (int n = 0; n < 300; ++n)
        fleet.urgent("urgent" + std::to_string(n), start);
    fleet.place(start);
    BOOST_CHECK_LE(fleet.fleet().placementSearches, 20U);
    BOOST_CHECK_LE(fleet.fleet().preemptionPlans, 6U);
    auto searches = fleet.fleet().placementSearches;
    fleet.place(start + Millis(100));
    BOOST_CHECK_LE(fleet.fleet().placementSearches - searches, 20U);
    BOOST_CHECK_LE(fleet.fleet().roomHolds.byStep.size(), 12U);
}
