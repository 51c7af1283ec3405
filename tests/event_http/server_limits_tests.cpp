#include "agatevane/event_http/client_limits.h"
#include "agatevane/event_http/server.h"
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::event_http;

namespace {

const std::string shortRequest = "GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
const std::string incompleteBody
    = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3000\r\n\r\n" + std::string(2999, 'x');

//! A server with limits, and callers of it, on one event loop.
struct LimitedServer {
    explicit LimitedServer(const ServerLimits& limits, std::size_t budgetBytes = 0)
    {
        if (budgetBytes > 0)
            budget = std::make_shared<ByteBudget>(budgetBytes);
        ServerOptions options { limits, budget, Audience::Callers, [this](CloseReason reason, std::size_t requests) {
                                   ++closed[reason];
                                   refusedRequests += requests;
                               } };
        server = std::make_unique<Server>(
            context,
            [this](const Request& request, const Respond& respond) {
                ++handledRequests;
                waited = request.waited;
                if (isAnswering)
                    return respond({ 200, {}, request.target });
                heldAnswers.push_back(respond);
            },
            options);
        BOOST_REQUIRE(!server->listen("127.0.0.1", 0));
    }

    void run(Millis time = Millis(50)) { context.run_for(time); }

    asio::ip::tcp::socket connect(const std::string& bytes = {})
    {
        asio::ip::tcp::socket caller(context);
        caller.connect({ asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server->port()) });
        asio::write(caller, asio::buffer(bytes));
        run();
        return caller;
    }

    //! What the server has sent, then whether it has closed the connection.
    static std::pair<std::string, bool> received(asio::ip::tcp::socket& caller)
    {
        std::string bytes(4096, '\0');
        std::error_code error;
        caller.non_blocking(true);
        std::string all;
        while (auto size = caller.read_some(asio::buffer(bytes), error))
            all += bytes.substr(0, size);
        return { all, error != asio::error::would_block };
    }

    asio::io_context context;
    std::shared_ptr<ByteBudget> budget;
    std::map<CloseReason, int> closed;
    std::size_t refusedRequests = 0;
    int handledRequests = 0;
    Instant::duration waited { 0 };
    bool isAnswering = true;
    std::vector<Respond> heldAnswers;
    std::unique_ptr<Server> server;
};

Instant after(double seconds)
{
    return Instant() + std::chrono::hours(1) + Millis(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_limits, *boost::unit_test::label("event_http"))

// Guards against limits that close a caller whose link was interrupted for 12 s, twice in one message.
BOOST_AUTO_TEST_CASE(The_default_times_tolerate_interrupted_links)
{
    auto limits = serverLimits({}, { 160 << 20, 4100 }, Audience::Callers);
    ConnectionDeadlines deadlines;
    startMessage(deadlines, limits, after(0));
    BOOST_CHECK(!exceededLimit(deadlines, limits, 0, after(24)));
    startBody(deadlines, limits, after(24));
    BOOST_CHECK(!exceededLimit(deadlines, limits, 1000, after(48)));
    endMessage(deadlines);
    extendAnswer(deadlines, limits, after(48));
    BOOST_CHECK(!exceededLimit(deadlines, limits, 0, after(72)));
}

// Guards against clients that keep a connection's memory by sending or reading ever so little.
BOOST_AUTO_TEST_CASE(Each_time_limit_is_found_exceeded)
{
    ServerLimits limits;
    limits.headerTime = Millis(10000);
    limits.messageTime = Millis(60000);
    limits.minBodyRate = 100;
    limits.bodyRateGrace = Millis(10000);
    limits.unreadTime = Millis(5000);
    ConnectionDeadlines deadlines;
    startMessage(deadlines, limits, after(0));
    BOOST_CHECK(exceededLimit(deadlines, limits, 0, after(10)) == CloseReason::HeaderTime);
    startBody(deadlines, limits, after(5));
    BOOST_CHECK(!exceededLimit(deadlines, limits, 1000, after(25)));
    BOOST_CHECK(exceededLimit(deadlines, limits, 999, after(25)) == CloseReason::BodyRate);
    BOOST_CHECK(exceededLimit(deadlines, limits, 1 << 20, after(60)) == CloseReason::MessageTime);
    endMessage(deadlines);
    BOOST_CHECK(!exceededLimit(deadlines, limits, 0, after(600)));
    extendAnswer(deadlines, limits, after(600));
    BOOST_CHECK(exceededLimit(deadlines, limits, 0, after(605)) == CloseReason::UnreadAnswer);
}

// Guards against a large message that is kept in preference to a small one which made no less progress.
RC_BOOST_PROP(More_memory_for_less_progress_is_closed_first, (std::uint16_t bytes, std::uint16_t seconds))
{
    auto at = after(seconds);
    auto order = closingOrder({ bytes + 1U, after(0) }, at);
    RC_ASSERT(order > closingOrder({ bytes, after(0) }, at));
    RC_ASSERT(order > closingOrder({ bytes + 1U, after(1) }, after(seconds)) - 1e-9);
}

// Guards against idle connections that keep others out, and against one that is closed while its request is handled.
BOOST_AUTO_TEST_CASE(The_connection_that_was_idle_longest_is_closed_for_a_new_one)
{
    ServerLimits limits;
    limits.connections = 2;
    LimitedServer fixture(limits);
    fixture.isAnswering = false;
    auto busy = fixture.connect(shortRequest);
    auto idle = fixture.connect();
    auto latest = fixture.connect(shortRequest);
    BOOST_CHECK(LimitedServer::received(idle).second);
    BOOST_CHECK_EQUAL(fixture.handledRequests, 2);
    auto refused = fixture.connect(shortRequest);
    BOOST_CHECK(LimitedServer::received(refused).second);
    BOOST_CHECK(!LimitedServer::received(busy).second);
    BOOST_CHECK(!LimitedServer::received(latest).second);
    BOOST_CHECK_EQUAL(fixture.handledRequests, 2);
    BOOST_CHECK_EQUAL(fixture.server->connectionCount(), 2U);
    BOOST_CHECK_EQUAL(fixture.closed[CloseReason::ConnectionLimit], 2);
}

BOOST_AUTO_TEST_CASE(A_source_address_has_at_most_its_number_of_connections)
{
    ServerLimits limits;
    limits.connectionsPerSource = 1;
    LimitedServer fixture(limits);
    {
        auto first = fixture.connect(shortRequest);
        auto second = fixture.connect(shortRequest);
        BOOST_CHECK(LimitedServer::received(second).second);
        BOOST_CHECK_EQUAL(fixture.closed[CloseReason::SourceLimit], 1);
    }
    fixture.run();
    auto third = fixture.connect(shortRequest);
    BOOST_CHECK_EQUAL(fixture.handledRequests, 2);
}

// Guards against a message that is read although there is no memory for it, against one that is never read although
// there is memory again, and against a submission that passes for younger than a cancellation which was sent after it.
BOOST_AUTO_TEST_CASE(A_new_message_waits_until_the_pressure_has_fallen)
{
    LimitedServer fixture({}, 1 << 20);
    auto otherBytes = fixture.budget->share(Audience::Callers) * 6 / 10;
    fixture.budget->change(Audience::Callers, 0, otherBytes);
    auto caller = fixture.connect(shortRequest);
    BOOST_CHECK_EQUAL(fixture.handledRequests, 0);
    fixture.run(Millis(1500));
    BOOST_CHECK_EQUAL(fixture.handledRequests, 0);
    fixture.budget->change(Audience::Callers, otherBytes, 0);
    fixture.run(Millis(1500));
    BOOST_CHECK_EQUAL(fixture.handledRequests, 1);
    BOOST_CHECK(fixture.waited >= Millis(1500));
    BOOST_CHECK(LimitedServer::received(caller).first.ends_with("/a"));
}

// Guards against a refused request that is run all the same: 503 promises that it never is.
BOOST_AUTO_TEST_CASE(Under_critical_pressure_incomplete_and_queued_requests_are_refused_and_never_handled)
{
    LimitedServer fixture({}, 1 << 20);
    fixture.isAnswering = false;
    auto pipelining = fixture.connect(shortRequest + shortRequest + incompleteBody);
    fixture.isAnswering = true;
    auto stalled = fixture.connect(incompleteBody);
    auto small = fixture.connect("POST /b HTTP/1.1\r\ncontent-length: 9\r\n\r\n01234567");
    auto otherBytes = fixture.budget->share(Audience::Callers);
    fixture.budget->change(Audience::Callers, 0, otherBytes);
    asio::write(small, asio::buffer("8" + shortRequest + "POST /c HTTP/1.1\r\n"));
    fixture.run();
    BOOST_CHECK(LimitedServer::received(stalled).first.starts_with("HTTP/1.1 503"));
    fixture.budget->change(Audience::Callers, otherBytes, 0);
    fixture.heldAnswers.at(0)({ 200, {}, {} });
    fixture.run();
    BOOST_CHECK(LimitedServer::received(pipelining).second);
    BOOST_CHECK(LimitedServer::received(small).second);
    BOOST_CHECK_EQUAL(fixture.handledRequests, 2);
    BOOST_CHECK_EQUAL(fixture.refusedRequests, 5U);
    BOOST_CHECK_EQUAL(fixture.closed[CloseReason::Memory], 3);
}

// Guards against a budget that counts memory which is no longer held: it would close connections without need for ever.
BOOST_AUTO_TEST_CASE(The_budget_is_free_again_when_all_connections_are_closed)
{
    LimitedServer fixture({}, 1 << 20);
    {
        auto first = fixture.connect(incompleteBody);
        auto second = fixture.connect(shortRequest + shortRequest + "POST /b HTTP/1.1\r\n");
        BOOST_CHECK_GT(fixture.budget->used(Audience::Callers), 3000U);
    }
    fixture.run();
    BOOST_CHECK_EQUAL(fixture.budget->used(Audience::Callers), 0U);
    BOOST_CHECK_EQUAL(fixture.server->requestsInProgress(), 0);
}

BOOST_AUTO_TEST_CASE(A_message_that_is_not_complete_in_time_is_refused)
{
    ServerLimits limits;
    limits.headerTime = Millis(100);
    limits.messageTime = Millis(200);
    LimitedServer fixture(limits);
    auto idle = fixture.connect(shortRequest);
    auto slow = fixture.connect("GET /a HTTP/1.1\r\n");
    fixture.run(Millis(1500));
    BOOST_CHECK(LimitedServer::received(slow).first.starts_with("HTTP/1.1 503"));
    BOOST_CHECK(!LimitedServer::received(idle).second);
    BOOST_CHECK_EQUAL(fixture.closed[CloseReason::HeaderTime], 1);
}

BOOST_AUTO_TEST_CASE(A_header_with_too_many_fields_is_refused)
{
    ServerLimits limits;
    limits.message.headerFields = 2;
    LimitedServer fixture(limits);
    auto caller = fixture.connect("GET /a HTTP/1.1\r\na: 1\r\nb: 2\r\nc: 3\r\n\r\n");
    BOOST_CHECK(LimitedServer::received(caller).first.starts_with("HTTP/1.1 400"));
    BOOST_CHECK_EQUAL(fixture.handledRequests, 0);
    BOOST_CHECK_EQUAL(fixture.closed[CloseReason::HeaderSize], 1);
}

BOOST_AUTO_TEST_SUITE_END()
