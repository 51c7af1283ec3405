#include "agatevane/fleet/free_share.h"

#include "busy_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::BusyFleet;

// Guards against free capacity that looks sufficient and is too scattered for the work that waits.
BOOST_AUTO_TEST_CASE(The_usable_share_shows_scattered_free_capacity, *boost::unit_test::label("placement"))
{
    BusyFleet busy(4);
    auto share = [&busy] { return fleet::usableFreeShare(busy.fleet(), BusyFleet::unixMs, BusyFleet::now()); };
    BOOST_CHECK_EQUAL(share(), 1);
    auto& running = busy.submit("running", 3, 4, 2);
    for (std::uint32_t index : { 0U, 1U, 2U })
        busy.run(running, index, "w" + std::to_string(index));
    BOOST_CHECK_EQUAL(share(), 1);
    busy.submit("narrow", 1, 4, 2);
    BOOST_CHECK_EQUAL(share(), 1);
    busy.submit("wide", 2, 8, 2);
    BOOST_CHECK_CLOSE(share(), 100.0 * 8 / 20 / 100, 0.001);
}
