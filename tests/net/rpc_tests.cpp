#include "agatevane/base/error.h"
#include "agatevane/base/job.h"
#include "agatevane/net/archive.h"
#include "agatevane/net/rpc.h"
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <thread>

using namespace agatevane;

namespace {

struct Loop {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard { context.get_executor() };
    std::thread thread { [this] { context.run(); } };

    ~Loop()
    {
        context.stop();
        thread.join();
    }
};

constexpr Millis shortTimeout { 2000 };

} // namespace

// Guards against an acceptor that one thread closes while another accepts again: the process ended with a memory access
// violation when a scheduler stopped while calls came in.
BOOST_AUTO_TEST_CASE(A_server_closes_while_calls_come_in, *boost::unit_test::label("rpc"))
{
    constexpr int rounds = 300;
    constexpr int callsPerRound = 20;
    Loop loop;
    for (int round = 0; round < rounds; ++round) {
        net::RpcServer server(
            loop.context, [](std::uint16_t, std::string_view, const net::Reply& reply) { reply({}); });
        BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
        asio::ip::tcp::endpoint endpoint(
            asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server.port()));
        std::atomic<bool> hasBegun { false };
        std::thread caller([&] {
            asio::io_context own;
            for (int n = 0; n < callsPerRound; ++n) {
                std::error_code ignored;
                asio::ip::tcp::socket socket(own);
                socket.connect(endpoint, ignored);
                hasBegun = true;
            }
        });
        while (!hasBegun)
            std::this_thread::yield();
        server.close();
        caller.join();
    }
}

// Guards against answers that reach the wrong caller when they come out of order.
BOOST_AUTO_TEST_CASE(Replies_out_of_order_reach_their_own_call, *boost::unit_test::label("rpc"))
{
    Loop loop;
    std::vector<std::pair<std::string, net::Reply>> held;
    net::RpcServer server(loop.context, [&](std::uint16_t, std::string_view payload, net::Reply reply) {
        held.emplace_back(std::string(payload), std::move(reply));
        if (held.size() < 3)
            return;
        for (auto waiting = held.rbegin(); waiting != held.rend(); ++waiting)
            waiting->second("answer to " + waiting->first);
    });
    BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
    net::RpcClient client(loop.context, { "127.0.0.1", server.port() });
    std::vector<std::thread> callers;
    std::atomic<int> matched = 0;
    for (int i = 0; i < 3; ++i) {
        callers.emplace_back([&, i] {
            std::string reply;
            auto error = client.callAndWait(1, std::to_string(i), now() + shortTimeout, reply);
            if (!error && reply == "answer to " + std::to_string(i))
                ++matched;
        });
    }
    for (auto& caller : callers)
        caller.join();
    BOOST_TEST(matched == 3);
}

BOOST_AUTO_TEST_CASE(
    A_call_without_an_answer_is_a_timeout_and_a_closed_port_unreachable, *boost::unit_test::label("rpc"))
{
    Loop loop;
    std::vector<net::Reply> held;
    net::RpcServer server(
        loop.context, [&](std::uint16_t, std::string_view, net::Reply reply) { held.push_back(std::move(reply)); });
    BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
    net::RpcClient client(loop.context, { "127.0.0.1", server.port() });
    std::string reply;
    BOOST_TEST((client.callAndWait(1, "x", now() + Millis(100), reply) == Errc::Timeout));
    net::RpcClient nobody(loop.context, { "127.0.0.1", 1 });
    BOOST_TEST((nobody.callAndWait(1, "x", now() + shortTimeout, reply) == Errc::Unreachable));
}

// Guards against a peer that makes the process allocate by sending a large length.
BOOST_AUTO_TEST_CASE(A_length_beyond_the_message_is_refused, *boost::unit_test::label("archive"))
{
    std::string bytes = net::encode(std::string("abc"));
    bytes[6] = '\x7f';
    std::string text;
    BOOST_TEST(!net::decode(bytes, text));
    BOOST_TEST(!net::decode(net::encode(std::string("abc")) + "x", text));
}

RC_BOOST_PROP(decoding_any_bytes_as_a_job_never_throws, (const std::string& bytes))
{
    JobSpec spec;
    net::decode(bytes, spec);
}

RC_BOOST_PROP(a_job_reads_back_as_it_was_written, (const std::string& id, const std::string& payload, int accelerators))
{
    JobSpec spec;
    spec.id = { id };
    spec.payload = payload;
    spec.accelerators = accelerators;
    JobSpec result;
    RC_ASSERT(net::decode(net::encode(spec), result));
    RC_ASSERT(result == spec);
}

BOOST_AUTO_TEST_CASE(A_datagram_arrives_with_its_sender, *boost::unit_test::label("datagram"))
{
    Loop loop;
    std::atomic<int> fromPort = 0;
    net::DatagramSocket receiver(loop.context, [&](std::string_view bytes, const net::PeerAddress& from) {
        if (bytes == "hello")
            fromPort = from.port;
    });
    net::DatagramSocket sender(loop.context, [](std::string_view, const net::PeerAddress&) {});
    BOOST_REQUIRE(!receiver.bind({ "127.0.0.1", 0 }));
    BOOST_REQUIRE(!sender.bind({ "127.0.0.1", 0 }));
    auto deadline = now() + shortTimeout;
    while (fromPort == 0 && now() < deadline) {
        sender.send("hello", { "127.0.0.1", receiver.port() });
        std::this_thread::sleep_for(Millis(10));
    }
    BOOST_TEST(fromPort == sender.port());
}
