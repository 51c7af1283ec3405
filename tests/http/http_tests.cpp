#include "agatevane/base/error.h"
#include "agatevane/http/client.h"
#include "agatevane/http/problem.h"
#include "agatevane/http/server.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace agatevane;

namespace {

constexpr Millis shortTimeout { 2000 };

http::Endpoint loopback(const http::Server& server)
{
    return { "127.0.0.1", server.port(), false, {} };
}

} // namespace

BOOST_AUTO_TEST_CASE(A_request_reaches_its_handler_with_groups_headers_and_body, *boost::unit_test::label("server"))
{
    http::Server server;
    server.route("POST", R"(/v1/things/([^/]+))", [](const http::Request& request, http::Response& response) {
        response.status = 201;
        response.body = request.matches.at(1) + "|" + http::headerOf(request.headers, "x-note") + "|" + request.body;
    });
    BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
    server.start();
    http::Client client(loopback(server));
    auto answer = client.request("POST", "/v1/things/a", "body", now() + shortTimeout, { { "X-Note", "n" } });
    BOOST_TEST(!answer.error);
    BOOST_TEST(answer.status == 201);
    BOOST_TEST(answer.body == "a|n|body");
}

// Guards against an error that means "no effect" although the request had reached the server.
BOOST_AUTO_TEST_CASE(A_late_answer_is_a_timeout_and_a_closed_port_is_unreachable, *boost::unit_test::label("client"))
{
    http::Server server;
    server.route(
        "GET", "/slow", [](const http::Request&, http::Response&) { std::this_thread::sleep_for(Millis(400)); });
    BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
    server.start();
    http::Client client(loopback(server));
    BOOST_TEST((client.request("GET", "/slow", "", now() + Millis(100)).error == Errc::Timeout));
    auto endpoint = loopback(server);
    server.stop();
    http::Client clientAfterStop(endpoint);
    BOOST_TEST((clientAfterStop.request("GET", "/slow", "", now() + Millis(500)).error == Errc::Unreachable));
}

// Guards against a shutdown that aborts a request in progress.
BOOST_AUTO_TEST_CASE(Stop_finishes_the_request_in_progress, *boost::unit_test::label("server"))
{
    http::Server server;
    std::atomic<bool> didEnterHandler = false;
    server.route("GET", "/slow", [&](const http::Request&, http::Response& response) {
        didEnterHandler = true;
        std::this_thread::sleep_for(Millis(300));
        response.body = "whole";
    });
    BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
    server.start();
    http::ClientResult answer;
    std::thread caller([&] {
        http::Client client(loopback(server));
        answer = client.request("GET", "/slow", "", now() + shortTimeout);
    });
    while (!didEnterHandler)
        std::this_thread::sleep_for(Millis(1));
    server.stop();
    caller.join();
    BOOST_TEST(!answer.error);
    BOOST_TEST(answer.body == "whole");
}

// Guards against two programs that listen on one port, each unaware of the other.
BOOST_AUTO_TEST_CASE(A_port_in_use_is_refused, *boost::unit_test::label("server"))
{
    http::Server first;
    BOOST_REQUIRE(!first.bind("127.0.0.1", 0));
    first.start();
    http::Server second;
    BOOST_TEST((second.bind("127.0.0.1", first.port()) == Errc::Refused));
}

BOOST_AUTO_TEST_CASE(A_body_over_the_bound_is_refused, *boost::unit_test::label("server"))
{
    http::ServerLimits limits;
    limits.maxBodyBytes = 100;
    http::Server server(limits);
    server.route("POST", "/", [](const http::Request&, http::Response&) {});
    BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
    server.start();
    http::Client client(loopback(server));
    auto answer = client.request("POST", "/", std::string(1000, 'x'), now() + shortTimeout);
    BOOST_TEST(answer.status == 413);
    BOOST_TEST(http::headerOf(answer.headers, "content-type") == "application/problem+json");
}

BOOST_AUTO_TEST_CASE(A_stream_delivers_its_chunks_until_the_receiver_ends_it, *boost::unit_test::label("stream"))
{
    http::Server server;
    server.routeStream("POST", "/watch", [](const http::Request&, http::Response&) -> http::ChunkSource {
        return [count = 0](std::string& chunk) mutable {
            chunk = std::to_string(count++) + "\n";
            std::this_thread::sleep_for(Millis(5));
            return true;
        };
    });
    BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
    server.start();
    http::Client client(loopback(server));
    std::string received;
    auto error = client.stream("POST", "/watch", "{}", shortTimeout, [&](std::string_view chunk) {
        received += chunk;
        return received.size() < 6;
    });
    BOOST_TEST(!error);
    BOOST_TEST(received.starts_with("0\n1\n2\n"));
}

BOOST_AUTO_TEST_CASE(A_problem_with_invalid_UTF_8_keeps_its_outcome_and_findings, *boost::unit_test::label("problem"))
{
    http::Response response;
    http::writeProblem({ .status = 422,
                           .title = "bad \xff",
                           .detail = "",
                           .outcome = Outcome::NotRun,
                           .retryAfterSeconds = 3,
                           .resultLink = "",
                           .findings = { { "/a", "missing" } } },
        response);
    BOOST_TEST(response.body.find("not_run") != std::string::npos);
    BOOST_TEST(response.body.find("/a") != std::string::npos);
    BOOST_TEST(http::headerOf(response.headers, "Retry-After") == "3");
}

BOOST_AUTO_TEST_CASE(Valid_endpoints_are_parsed_and_others_refused, *boost::unit_test::label("client"))
{
    http::Endpoint endpoint;
    BOOST_TEST(http::parseEndpoint("https://127.0.0.1:8443", endpoint));
    BOOST_TEST(endpoint.useTls);
    BOOST_TEST(endpoint.port == 8443);
    for (auto text : { "127.0.0.1", ":80", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8a" })
        BOOST_TEST(!http::parseEndpoint(text, endpoint));
}
