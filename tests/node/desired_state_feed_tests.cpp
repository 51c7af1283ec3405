#include "fakes.h"

#include "node/desired_state_feed.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

BOOST_AUTO_TEST_SUITE(desired_state_feed)

// Guards against a key or a queue that comes back after it was removed: another node sends an older desired state.
BOOST_AUTO_TEST_CASE(An_older_desired_state_of_another_node_is_ignored, *boost::unit_test::label("node"))
{
    asio::io_context context;
    standin::KvModel model;
    test::FakeStore store(context, model);
    auto translation = test::plainTranslation();
    node::DesiredStateFeed feed(
        context, store, translation, [] {}, [] { return false; });
    feed.applyFromPeer(5, "2");
    feed.applyFromPeer(4, "1");
    BOOST_REQUIRE(feed.current());
    BOOST_CHECK_EQUAL(feed.current()->version, 2);
    BOOST_CHECK_EQUAL(feed.revision(), 5);
}

BOOST_AUTO_TEST_SUITE_END()
