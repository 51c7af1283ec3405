#include "fakes.h"

#include "agatevane/metrics/registry.h"
#include "node/desired_state_feed.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

//! A feed that only the test gives anything.
struct PlainFeed {
    asio::io_context context;
    standin::KvModel model;
    test::FakeStore store { context, model };
    node::Translation translation = test::plainTranslation();
    node::DesiredStateFeed feed { context, store, translation, [] {}, [] { return false; }, test::noPeers() };
};

} // namespace

BOOST_AUTO_TEST_SUITE(desired_state_feed)

// Guards against a key or a queue that comes back after it was removed: another node sends an older desired state.
BOOST_FIXTURE_TEST_CASE(An_older_desired_state_of_another_node_is_ignored, PlainFeed, *boost::unit_test::label("node"))
{
    feed.applyFromPeer(5, "2");
    feed.applyFromPeer(4, "1");
    BOOST_REQUIRE(feed.current());
    BOOST_CHECK_EQUAL(feed.current()->version, 2);
    BOOST_CHECK_EQUAL(feed.revision(), 5);
}

// Guards against a node that is behind and does not show it.
BOOST_FIXTURE_TEST_CASE(A_newer_revision_is_known_until_it_is_in_force, PlainFeed, *boost::unit_test::label("node"))
{
    feed.applyFromPeer(4, "1");
    BOOST_CHECK(!feed.behindSince());
    feed.noteRevision(7, { "127.0.0.1", 1 });
    feed.noteRevision(6, { "127.0.0.1", 2 });
    BOOST_CHECK(feed.behindSince());
    BOOST_CHECK_EQUAL(feed.newestRevision(), 7);
    feed.applyFromPeer(6, "2");
    BOOST_CHECK(feed.behindSince());
    feed.applyFromPeer(7, "3");
    BOOST_CHECK(!feed.behindSince());
    BOOST_CHECK_EQUAL(feed.newestRevision(), 7);
}

// Guards against failures that leave no trace.
BOOST_FIXTURE_TEST_CASE(A_failed_read_is_counted_with_its_reason, PlainFeed, *boost::unit_test::label("node"))
{
    store.setFault(test::StoreFault::Refusing);
    auto& failures = metrics::registry().counter("agatevane_desired_state_failures_total",
        "Calls for the desired state that ended without an answer", { { "source", "read" }, { "reason", "refused" } });
    auto before = failures.value();
    feed.start();
    BOOST_CHECK(test::runUntil(context, Millis(1000), [&] { return failures.value() > before; }));
}

BOOST_AUTO_TEST_SUITE_END()
