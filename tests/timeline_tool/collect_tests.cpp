#include "timeline_tool/collect.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using timeline::EventType;

// Guards against losing the events of all processes because one does not answer, and against losing pages.
BOOST_AUTO_TEST_CASE(
    All_pages_of_a_ring_are_read_and_unreachable_processes_are_named, *boost::unit_test::label("collect"))
{
    timeline::Ring ring("entry-1", 2 * timeline::maxPageEvents);
    for (std::size_t i = 0; i < timeline::maxPageEvents + 5; ++i)
        ring.record({ .type = EventType::RequestShed });
    http::Server server;
    timeline::registerTimelineRoute(server, ring);
    BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
    server.start();
    auto collected = timeline_tool::collect({ { "127.0.0.1", server.port() }, { "127.0.0.1", 1 } }, Millis(10000));
    BOOST_TEST(timeline::merge(collected.pages).size() == timeline::maxPageEvents + 5);
    BOOST_REQUIRE(collected.failures.size() == 1);
    BOOST_TEST(collected.failures[0].place == "127.0.0.1:1");
}
