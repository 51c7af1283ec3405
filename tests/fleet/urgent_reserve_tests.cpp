#include "costly_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::CostlyFleet;

namespace {

const Instant start = CostlyFleet::now();

struct ReserveCase {
    std::string pattern;
    std::uint32_t urgentWorkers = 0; //!< workers that an urgent job has filled until `since` ago
    Millis since { 0 };
    std::uint64_t started = 0; //!< tasks of one accelerator that are not urgent and start on the 64 of the fleet
};

} // namespace

// Guards against waiting work that takes the capacity which urgent work leaves and is stopped for the next urgent job,
// and against capacity that stays idle when urgent work no longer comes.
BOOST_AUTO_TEST_CASE(The_reserve_follows_urgent_work, *boost::unit_test::label("preemption"))
{
    const std::vector<ReserveCase> cases {
        { "no urgent work", 0, Millis(0), 64 },
        { "an urgent job has just ended", 1, Millis(0), 56 },
        { "two workers' worth of urgent work has just ended", 2, Millis(0), 48 },
        { "a burst needs more than a quarter", 6, Millis(0), 48 },
        { "urgent work ended some seconds ago", 2, Millis(4000), 56 },
        { "urgent work ended long ago", 6, Millis(30000), 64 },
    };
    for (const auto& each : cases) {
        CostlyFleet fleet(8);
        if (each.urgentWorkers > 0) {
            fleet.urgent("urgent", start, false, each.urgentWorkers);
            fleet.place(start);
            BOOST_REQUIRE(fleet.isRunning("urgent"));
            fleet.end("urgent");
        }
        fleet.submit("wide", 64, 1, 2);
        fleet.place(start + each.since);
        BOOST_TEST_CONTEXT(each.pattern)
        {
            BOOST_CHECK_EQUAL(fleet.stepOf("wide").active, each.started);
            BOOST_CHECK_EQUAL(
                fleet.fleet().urgentReserve.reservedAccelerators, static_cast<std::int64_t>(64 - each.started));
            fleet.urgent("next", start + each.since, true, 1);
            fleet.place(start + each.since);
            BOOST_CHECK_EQUAL(fleet.isRunning("next"), each.started < 64);
        }
    }
}

// Guards against a reserve in pieces, which a task that needs a whole worker can't use.
BOOST_AUTO_TEST_CASE(The_reserve_is_made_of_whole_workers_of_free_racks, *boost::unit_test::label("preemption"))
{
    CostlyFleet fleet(8);
    fleet.urgent("urgent", start, false, 2);
    fleet.place(start);
    fleet.end("urgent");
    fleet.fill("old", "w0", Millis(1000));
    fleet.submit("wide", 64, 1, 2);
    fleet.place(start);
    int empty = 0;
    for (const auto& [id, worker] : fleet.fleet().workers)
        empty += worker.runs.empty() && worker.rack == "r1" ? 1 : 0;
    BOOST_CHECK_EQUAL(empty, 2);
}
