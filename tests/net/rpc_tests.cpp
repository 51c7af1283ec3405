#include "agatevane/base/error.h"
#include "agatevane/base/job.h"
#include "agatevane/net/archive.h"
#include "agatevane/net/rpc.h"
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <rapidcheck/boost_test.h>
#include <thread>

using namespace agatevane;

namespace {

struct IoThread {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard { context.get_executor() };
    std::thread thread { [this] { context.run(); } };

    ~IoThread()
    {
        context.stop();
        thread.join();
    }
};

constexpr Millis shortTimeout { 2000 };

} // namespace

// Guards against a large reply that ends the connection beneath other calls.
BOOST_AUTO_TEST_CASE(A_reply_above_the_longest_frame_is_empty_and_keeps_the_connection, *boost::unit_test::label("rpc"))
{
    constexpr std::uint16_t largeKind = 2;
    constexpr std::uint16_t slowKind = 3;
    IoThread ioThread;
    net::Reply slowReply;
    net::RpcServer server(ioThread.context, [&](std::uint16_t kind, std::string_view, const net::Reply& reply) {
        if (kind == slowKind) {
            slowReply = reply;
            return;
        }
        reply(std::string(kind == largeKind ? net::maxFrameBytes : 1, 'x'));
        if (slowReply)
            slowReply("late");
    });
    BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
    net::RpcClient client(ioThread.context, { "127.0.0.1", server.port() });
    std::promise<std::string> slowAnswer;
    client.call(slowKind, {}, now() + shortTimeout,
        [&](std::error_code, std::string payload) { slowAnswer.set_value(std::move(payload)); });
    std::string reply = "none yet";
    BOOST_CHECK(!client.callAndWait(largeKind, {}, now() + shortTimeout, reply));
    BOOST_CHECK(reply.empty());
    BOOST_CHECK_EQUAL(slowAnswer.get_future().get(), "late");
}

// Guards against a data race on the acceptor: one thread closed it while another accepted again, and a scheduler that
// stopped while calls arrived ended with a memory access violation.
BOOST_AUTO_TEST_CASE(A_server_can_be_closed_while_calls_arrive, *boost::unit_test::label("rpc"))
{
    constexpr int rounds = 300;
    constexpr int callsPerRound = 20;
    IoThread ioThread;
    for (int round = 0; round < rounds; ++round) {
        net::RpcServer server(
            ioThread.context, [](std::uint16_t, std::string_view, const net::Reply& reply) { reply({}); });
        BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
        asio::ip::tcp::endpoint endpoint(
            asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(server.port()));
        std::atomic<bool> hasTriedToConnect { false };
        std::thread caller([&] {
            asio::io_context callerContext;
            for (int n = 0; n < callsPerRound; ++n) {
                std::error_code ignored;
                asio::ip::tcp::socket socket(callerContext);
                socket.connect(endpoint, ignored);
                hasTriedToConnect = true;
            }
        });
        while (!hasTriedToConnect)
            std::this_thread::yield();
        server.close();
        caller.join();
    }
}

// Guards against replies that reach the wrong call when they arrive out of order.
BOOST_AUTO_TEST_CASE(Replies_out_of_order_reach_their_own_call, *boost::unit_test::label("rpc"))
{
    IoThread ioThread;
    std::vector<std::pair<std::string, net::Reply>> heldReplies;
    net::RpcServer server(ioThread.context, [&](std::uint16_t, std::string_view payload, net::Reply reply) {
        heldReplies.emplace_back(std::string(payload), std::move(reply));
        if (heldReplies.size() < 3)
            return;
        for (auto held = heldReplies.rbegin(); held != heldReplies.rend(); ++held)
            held->second("answer to " + held->first);
    });
    BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
    net::RpcClient client(ioThread.context, { "127.0.0.1", server.port() });
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
    A_call_without_an_answer_times_out_and_a_closed_port_is_unreachable, *boost::unit_test::label("rpc"))
{
    IoThread ioThread;
    std::vector<net::Reply> heldReplies;
    net::RpcServer server(ioThread.context,
        [&](std::uint16_t, std::string_view, net::Reply reply) { heldReplies.push_back(std::move(reply)); });
    BOOST_REQUIRE(!server.listen({ "127.0.0.1", 0 }));
    net::RpcClient client(ioThread.context, { "127.0.0.1", server.port() });
    std::string reply;
    BOOST_TEST((client.callAndWait(1, "x", now() + Millis(100), reply) == Errc::Timeout));
    net::RpcClient clientOfClosedPort(ioThread.context, { "127.0.0.1", 1 });
    BOOST_TEST((clientOfClosedPort.callAndWait(1, "x", now() + shortTimeout, reply) == Errc::Unreachable));
}

// Guards against a call that is delivered after it was given up: a connection that is closed in order goes on to
// deliver what it has accepted.
BOOST_AUTO_TEST_CASE(A_connection_with_a_call_that_was_given_up_is_reset, *boost::unit_test::label("rpc"))
{
    IoThread ioThread;
    asio::io_context peerContext;
    asio::ip::tcp::acceptor acceptor(peerContext, { asio::ip::make_address("127.0.0.1"), 0 });
    net::RpcClient client(ioThread.context, { "127.0.0.1", acceptor.local_endpoint().port() });
    std::string reply;
    BOOST_TEST((client.callAndWait(1, "x", now() + Millis(100), reply) == Errc::Timeout));
    auto socket = acceptor.accept();
    std::array<char, 64> bytes {};
    std::error_code error;
    while (!error)
        socket.read_some(asio::buffer(bytes), error);
    BOOST_TEST((error == asio::error::connection_reset));
}

// Guards against a peer that makes the process allocate much memory by sending a large length.
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

RC_BOOST_PROP(
    an_encoded_job_decodes_to_the_same_job, (const std::string& id, const std::string& payload, int accelerators))
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
    IoThread ioThread;
    std::atomic<int> fromPort = 0;
    net::DatagramSocket receiver(ioThread.context, [&](std::string_view bytes, const net::PeerAddress& from) {
        if (bytes == "hello")
            fromPort = from.port;
    });
    net::DatagramSocket sender(ioThread.context, [](std::string_view, const net::PeerAddress&) {});
    BOOST_REQUIRE(!receiver.bind({ "127.0.0.1", 0 }));
    BOOST_REQUIRE(!sender.bind({ "127.0.0.1", 0 }));
    auto deadline = now() + shortTimeout;
    while (fromPort == 0 && now() < deadline) {
        sender.send("hello", { "127.0.0.1", receiver.port() });
        std::this_thread::sleep_for(Millis(10));
    }
    BOOST_TEST(fromPort == sender.port());
}
