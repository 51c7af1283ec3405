#include "agatevane/base/error.h"
#include "agatevane/http/client.h"
#include "agatevane/net/rpc.h"
#include "standins/relay/relay.h"
#include <atomic>
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::standin;

namespace {

struct RelayFixture {
    http::Server server;
    Relay relay { "127.0.0.1", 0 };
    int port = 0;

    RelayFixture()
    {
        server.route("POST", "/echo",
            [](const http::Request& request, http::Response& response) { response.body = request.body; });
        BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
        server.start();
        BOOST_REQUIRE(!relay.start());
        port = relay.add({ "a-store", "tcp", 0, "127.0.0.1", server.port() });
        BOOST_REQUIRE(port > 0);
    }

    http::ClientResult echo(http::Client& client, Millis budget = Millis(2000))
    {
        return client.request("POST", "/echo", std::string(100000, 'x'), now() + budget);
    }
    http::Endpoint endpoint() const { return { "127.0.0.1", port, false, {} }; }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(
    A_cut_TCP_link_refuses_connections_and_later_reopens_the_same_port, RelayFixture, *boost::unit_test::label("relay"))
{
    http::Client client(endpoint());
    BOOST_TEST(echo(client).body.size() == 100000U);
    BOOST_TEST(relay.apply("a-*", { .isCut = true }) == 1);
    BOOST_TEST((echo(client).error == Errc::Unreachable));
    BOOST_TEST(relay.apply("b-*", {}) == 0);
    BOOST_TEST(relay.apply("a-store", {}) == 1);
    BOOST_TEST(echo(client).body.size() == 100000U);
}

BOOST_FIXTURE_TEST_CASE(
    A_stalled_or_slow_TCP_link_keeps_its_connections, RelayFixture, *boost::unit_test::label("relay"))
{
    http::Client client(endpoint());
    echo(client);
    http::Client control({ "127.0.0.1", relay.controlPort(), false, {} });
    auto set = [&](const std::string& body) {
        return control.request("POST", "/control/links/a-store", body, now() + Millis(2000)).status;
    };
    BOOST_TEST(set(R"({"stalled":true})") == 200);
    BOOST_TEST((echo(client, Millis(300)).error == Errc::Timeout));
    BOOST_TEST(set(R"({"delayMs":100})") == 200);
    auto start = now();
    http::Client fresh(endpoint());
    BOOST_TEST(echo(fresh).status == 200);
    BOOST_TEST(elapsed(start, now()).count() >= 200);
    BOOST_TEST(set(R"({"delay":100})") == 400);
}

BOOST_AUTO_TEST_CASE(A_UDP_link_forwards_both_ways_and_drops_datagrams_when_cut, *boost::unit_test::label("relay"))
{
    Relay relay("127.0.0.1", 0);
    asio::io_context context;
    std::atomic<int> received { 0 };
    std::atomic<int> answered { 0 };
    std::unique_ptr<net::DatagramSocket> server;
    server = std::make_unique<net::DatagramSocket>(context, [&](std::string_view bytes, const net::PeerAddress& from) {
        ++received;
        server->send(std::string(bytes), from);
    });
    net::DatagramSocket client(context, [&](std::string_view, const net::PeerAddress&) { ++answered; });
    BOOST_REQUIRE(!server->bind({ "127.0.0.1", 0 }));
    BOOST_REQUIRE(!client.bind({ "127.0.0.1", 0 }));
    auto port = relay.add({ "u", "udp", 0, "127.0.0.1", server->port() });
    std::thread thread([&] {
        auto guard = asio::make_work_guard(context);
        context.run();
    });
    auto sendAndWait = [&](int expected) {
        client.send("x", { "127.0.0.1", port });
        auto end = now() + Millis(2000);
        while (answered < expected && now() < end)
            std::this_thread::sleep_for(Millis(5));
    };
    sendAndWait(1);
    BOOST_TEST(answered == 1);
    relay.apply("u", { .isCut = true });
    client.send("x", { "127.0.0.1", port });
    std::this_thread::sleep_for(Millis(100));
    BOOST_TEST(received == 1);
    relay.apply("u", { .delay = Millis(30) });
    sendAndWait(2);
    BOOST_TEST(answered == 2);
    context.stop();
    thread.join();
}

BOOST_AUTO_TEST_CASE(Link_options_are_parsed_or_rejected, *boost::unit_test::label("relay"))
{
    LinkSettings link;
    BOOST_TEST(parseLink("a-b=udp:127.0.0.1:70", link));
    BOOST_TEST(link.name == "a-b");
    BOOST_TEST(link.port == 0);
    BOOST_TEST(parseLink("a=tcp:8000:127.0.0.1:70", link));
    BOOST_TEST(link.port == 8000);
    BOOST_TEST(link.targetPort == 70);
    for (const auto* text : { "a", "=tcp:127.0.0.1:70", "a=sctp:127.0.0.1:70", "a=tcp:127.0.0.1", "a=tcp:80" })
        BOOST_TEST(!parseLink(text, link), text);
}
