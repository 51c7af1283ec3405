//! Requests of a process that was paused between their hand-over to the client and their sending.
#include "agatevane/base/error.h"
#include "agatevane/event_http/client.h"
#include "agatevane/event_http/server.h"
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

using namespace agatevane;
using namespace agatevane::event_http;

namespace {

constexpr Millis requestTimeout { 100 };
constexpr Millis pauseTime { 300 };

struct PausedClientFixture {
    void send(const net::PeerAddress& peer, Millis timeout)
    {
        outcome.reset();
        client.send(peer, { "POST", "/order", {}, {} }, now() + timeout,
            [this](std::error_code error, const Response&) { outcome = error; });
    }

    void runUntilAnswered()
    {
        for (auto until = now() + Millis(2000); !outcome && now() < until;)
            context.run_one_for(Millis(20));
    }

    asio::io_context context;
    Client client { context };
    std::optional<std::error_code> outcome;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(paused_client, PausedClientFixture)

// Guards against an order that is sent after its sender has been replaced: the connection was made while the process
// was paused, and the request written before its deadline was looked at.
BOOST_AUTO_TEST_CASE(
    A_request_is_not_sent_on_a_connection_that_was_made_too_late, *boost::unit_test::label("event_http"))
{
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    send({ "127.0.0.1", acceptor.local_endpoint().port() }, requestTimeout);
    context.run_one();
    std::this_thread::sleep_for(pauseTime);
    runUntilAnswered();
    BOOST_REQUIRE(outcome);
    BOOST_CHECK(*outcome == Errc::Unreachable);
    auto socket = acceptor.accept();
    char byte = 0;
    std::error_code error;
    BOOST_CHECK_EQUAL(asio::read(socket, asio::buffer(&byte, 1), error), 0U);
}

// Guards against the same on a connection that is open already.
BOOST_AUTO_TEST_CASE(A_request_is_not_sent_late_on_an_open_connection, *boost::unit_test::label("event_http"))
{
    int served = 0;
    Server server(context, [&served](const Request&, const Respond& respond) {
        ++served;
        respond({ 200, {}, {} });
    });
    BOOST_REQUIRE(!server.listen("127.0.0.1", 0));
    net::PeerAddress address { "127.0.0.1", server.port() };
    send(address, Millis(2000));
    runUntilAnswered();
    BOOST_REQUIRE_EQUAL(served, 1);
    send(address, requestTimeout);
    std::this_thread::sleep_for(pauseTime);
    runUntilAnswered();
    BOOST_REQUIRE(outcome);
    BOOST_CHECK(*outcome == Errc::Unreachable);
    context.run_for(Millis(50));
    BOOST_CHECK_EQUAL(served, 1);
}

BOOST_AUTO_TEST_SUITE_END()
