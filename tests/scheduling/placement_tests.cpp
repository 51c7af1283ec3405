#include "fixture.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace agatevane;
using namespace agatevane::scheduling;
using namespace agatevane::scheduling::testing;

// Guards against small gangs that are placed on empty workers although partly used workers have enough free
// accelerators.
BOOST_AUTO_TEST_CASE(Small_gangs_fill_partly_used_workers_first, *boost::unit_test::label("placement"))
{
    auto shard = makeShard();
    addRacks(*shard, 4, 4);
    enqueue(*shard, job("first", 2), at(0), 0);
    auto first = decisionsOf<StartGang>(decide(*shard, at(0)));
    enqueue(*shard, job("second", 6), at(1), 0);
    auto second = decisionsOf<StartGang>(decide(*shard, at(1)));
    BOOST_REQUIRE_EQUAL(first.size(), 1U);
    BOOST_REQUIRE_EQUAL(second.size(), 1U);
    BOOST_TEST(first[0].placement[0].worker == second[0].placement[0].worker);
}

// Guards against gangs that are spread over several racks although one rack has enough free accelerators.
BOOST_AUTO_TEST_CASE(A_gang_that_fits_one_rack_uses_one_rack, *boost::unit_test::label("placement"))
{
    auto shard = makeShard();
    addRacks(*shard, 4, 8);
    auto spec = job("gang", 64);
    spec.acceleratorsPerWorker = 8;
    spec.maxSpread = Spread::Rack;
    enqueue(*shard, spec, at(0), 0);
    auto starts = decisionsOf<StartGang>(decide(*shard, at(0)));
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    std::set<std::string> racks;
    for (const auto& part : starts[0].placement) {
        racks.insert(part.worker.value.substr(0, 2));
        BOOST_TEST(part.accelerators == 8);
    }
    BOOST_TEST(racks.size() == 1U);
    BOOST_TEST(starts[0].placement.size() == 8U);
}

// Guards against accepting jobs that would wait for ever because no set of workers is large enough.
BOOST_AUTO_TEST_CASE(Jobs_that_no_set_of_workers_holds_are_impossible, *boost::unit_test::label("placement"))
{
    auto shard = makeShard();
    addRacks(*shard, 2, 2);
    BOOST_TEST(!impossibleReason(*shard, job("fits", 32)));
    BOOST_TEST(impossibleReason(*shard, job("large", 33)).has_value());
    auto oneWorker = job("one", 9);
    oneWorker.maxSpread = Spread::Worker;
    BOOST_TEST(impossibleReason(*shard, oneWorker).has_value());
    auto oneRack = job("rack", 17);
    oneRack.maxSpread = Spread::Rack;
    BOOST_TEST(impossibleReason(*shard, oneRack).has_value());
    auto uneven = job("uneven", 10);
    uneven.acceleratorsPerWorker = 4;
    BOOST_TEST(impossibleReason(*shard, uneven).has_value());
}
