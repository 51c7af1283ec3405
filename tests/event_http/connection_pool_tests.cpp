#include "agatevane/event_http/connection_pool.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

struct FakeConnection {
    bool isClosed = false;

    void close() { isClosed = true; }
};

using Pool = event_http::ConnectionPool<FakeConnection>;

const net::PeerAddress first { "10.0.0.1", 80 };
const net::PeerAddress second { "10.0.0.2", 80 };

} // namespace

BOOST_AUTO_TEST_CASE(The_connection_that_became_idle_last_is_reused)
{
    Pool pool;
    auto older = std::make_shared<FakeConnection>();
    auto newer = std::make_shared<FakeConnection>();
    pool.add(first, older);
    pool.add(first, newer);
    BOOST_CHECK_EQUAL(pool.countTo(first), 2U);
    BOOST_CHECK(pool.take(first) == newer);
    BOOST_CHECK(pool.take(first) == older);
    BOOST_CHECK(!pool.take(first));
    BOOST_CHECK(!pool.take(second));
}

// Guards against an owner that opens more connections than its VM has descriptors, while it keeps thousands idle.
BOOST_AUTO_TEST_CASE(The_longest_idle_connection_of_all_peers_is_closed_first)
{
    Pool pool;
    std::vector<std::shared_ptr<FakeConnection>> connections;
    for (int n = 0; n < 4; ++n) {
        connections.push_back(std::make_shared<FakeConnection>());
        pool.add(n % 2 == 0 ? first : second, connections.back());
    }
    BOOST_CHECK(pool.closeOldest());
    BOOST_CHECK(pool.closeOldest());
    BOOST_CHECK(connections[0]->isClosed && connections[1]->isClosed);
    BOOST_CHECK(!connections[2]->isClosed && !connections[3]->isClosed);
    BOOST_CHECK_EQUAL(pool.countTo(first), 1U);
    BOOST_CHECK(pool.take(second) == connections[3]);
    BOOST_CHECK(pool.closeOldest());
    BOOST_CHECK(!pool.closeOldest());
}

BOOST_AUTO_TEST_CASE(The_connections_to_one_peer_are_closed_together)
{
    Pool pool;
    auto kept = std::make_shared<FakeConnection>();
    auto closed = std::make_shared<FakeConnection>();
    pool.add(first, closed);
    pool.add(second, kept);
    pool.closeAllTo(first);
    BOOST_CHECK(closed->isClosed && !kept->isClosed);
    BOOST_CHECK_EQUAL(pool.countTo(first), 0U);
}
