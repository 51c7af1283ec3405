#include "agatevane/net/frame.h"
#include "agatevane/net/rpc.h"

#include "agatevane/base/error.h"
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <deque>
#include <future>
#include <map>

namespace agatevane::net {

using asio::ip::tcp;

//! All members are accessed on the strand only.
struct RpcClient::State : std::enable_shared_from_this<RpcClient::State> {
    struct PendingCall {
        CallResult done;
        std::shared_ptr<asio::steady_timer> timer;
        bool isWritten = false;
        Instant writtenAt;
    };

    struct OutgoingFrame {
        std::uint64_t id;
        std::string bytes;
    };

    enum class LinkState { Closed, Connecting, Open };

    //! One connection with its buffers. Its asynchronous handlers share ownership of it, so that late handlers of a
    //! closed connection do not access the buffers of a newer one.
    struct Connection {
        explicit Connection(const asio::strand<asio::io_context::executor_type>& strand)
            : socket(strand)
        {
        }

        tcp::socket socket;
        std::array<char, headerBytes> header {};
        FrameHeader frame;
        std::string incoming;
        std::string outgoing; //!< the frame that is being written
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    State(asio::io_context& context, const PeerAddress& peerAddress)
        : strand(asio::make_strand(context))
        , peer(peerAddress)
    {
    }

    void call(std::uint16_t kind, const std::string& payload, Instant deadline, CallResult done)
    {
        if (payload.size() + headerBytes > maxFrameBytes)
            return done(Errc::TooLarge, {});
        auto id = nextId++;
        auto timer = std::make_shared<asio::steady_timer>(strand);
        timer->expires_at(deadline);
        timer->async_wait([self = shared_from_this(), id](std::error_code error) {
            if (!error)
                self->expire(id);
        });
        pendingCalls.emplace(id, PendingCall { std::move(done), std::move(timer) });
        outgoing.push_back({ id, encodeFrame(id, kind, payload) });
        if (linkState == LinkState::Closed)
            connect();
        else if (linkState == LinkState::Open && !isWriting)
            writeNext();
    }

    void expire(std::uint64_t id)
    {
        auto found = pendingCalls.find(id);
        if (found == pendingCalls.end())
            return;
        // Removes a frame that is still queued: a call reported as `Unreachable` must not take effect later.
        bool wasSent = found->second.isWritten;
        bool isUnresponsive = wasSent ? lastReceived < found->second.writtenAt : linkState == LinkState::Connecting;
        if (!wasSent)
            std::erase_if(outgoing, [id](const OutgoingFrame& frame) { return frame.id == id; });
        finish(id, wasSent ? Errc::Timeout : Errc::Unreachable, {});
        // The peer has not accepted the connection, or has sent nothing since the call was written: the connection may
        // be broken without a reset.
        if (isUnresponsive)
            fail();
    }

    void finish(std::uint64_t id, std::error_code error, std::string payload)
    {
        auto found = pendingCalls.find(id);
        if (found == pendingCalls.end())
            return;
        auto call = std::move(found->second);
        pendingCalls.erase(found);
        call.timer->cancel();
        call.done(error, std::move(payload));
    }

    void connect()
    {
        std::error_code error;
        auto ip = asio::ip::make_address(peer.address, error);
        if (error)
            return fail();
        linkState = LinkState::Connecting;
        connection = std::make_shared<Connection>(strand);
        tcp::endpoint endpoint(ip, static_cast<unsigned short>(peer.port));
        connection->socket.async_connect(
            endpoint, [self = shared_from_this(), current = connection](std::error_code failure) {
                if (current != self->connection)
                    return;
                if (failure)
                    return self->fail();
                std::error_code ignored;
                current->socket.set_option(tcp::no_delay(true), ignored);
                self->linkState = LinkState::Open;
                self->readHeader();
                if (!self->outgoing.empty())
                    self->writeNext();
            });
    }

    void writeNext()
    {
        isWriting = true;
        auto next = std::move(outgoing.front());
        outgoing.pop_front();
        if (auto found = pendingCalls.find(next.id); found != pendingCalls.end())
            markWritten(found->second);
        connection->outgoing = std::move(next.bytes);
        asio::async_write(connection->socket, asio::buffer(connection->outgoing),
            [self = shared_from_this(), current = connection](std::error_code error, std::size_t) {
                if (current != self->connection)
                    return;
                self->isWriting = false;
                if (error)
                    return self->fail();
                if (!self->outgoing.empty())
                    self->writeNext();
            });
    }

    static void markWritten(PendingCall& call)
    {
        call.isWritten = true;
        call.writtenAt = now();
    }

    //! A completion condition that reads until the buffer is full, and counts what has arrived.
    auto countBytes()
    {
        return [self = shared_from_this(), counted = std::size_t(0)](
                   std::error_code error, std::size_t size) mutable -> std::size_t {
            auto arrived = size - std::exchange(counted, size);
            self->receivedBytes += arrived;
            if (arrived > 0)
                self->lastReceived = now();
            return asio::transfer_all()(error, size);
        };
    }

    void readHeader()
    {
        asio::async_read(connection->socket, asio::buffer(connection->header), countBytes(),
            [self = shared_from_this(), current = connection](std::error_code error, std::size_t) {
                if (current != self->connection)
                    return;
                if (error || !decodeHeader(current->header, current->frame))
                    return self->fail();
                self->readPayload();
            });
    }

    void readPayload()
    {
        connection->incoming.resize(connection->frame.payloadBytes);
        asio::async_read(connection->socket, asio::buffer(connection->incoming), countBytes(),
            [self = shared_from_this(), current = connection](std::error_code error, std::size_t) {
                if (current != self->connection)
                    return;
                if (error)
                    return self->fail();
                self->finish(current->frame.requestId, {}, std::exchange(current->incoming, {}));
                if (current == self->connection)
                    self->readHeader();
            });
    }

    //! Closes the socket so that the kernel discards what the peer has not received: a call that was given up is not
    //! delivered once the network recovers.
    static void reset(tcp::socket& socket)
    {
        std::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    //! Ends the connection and every call in progress; the next call connects again.
    void fail()
    {
        linkState = LinkState::Closed;
        isWriting = false;
        if (auto ended = std::exchange(connection, nullptr))
            reset(ended->socket);
        outgoing.clear();
        auto calls = std::exchange(pendingCalls, {});
        for (auto& [id, call] : calls) {
            call.timer->cancel();
            call.done(call.isWritten ? Errc::Disconnected : Errc::Unreachable, {});
        }
    }

    asio::strand<asio::io_context::executor_type> strand;
    ConnectionPtr connection; //!< null while closed
    PeerAddress peer;
    LinkState linkState = LinkState::Closed;
    bool isWriting = false;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, PendingCall> pendingCalls;
    std::deque<OutgoingFrame> outgoing;
    Instant lastReceived;
    std::atomic<std::uint64_t> receivedBytes { 0 };
};

RpcClient::RpcClient(asio::io_context& context, const PeerAddress& peer)
    : state_(std::make_shared<State>(context, peer))
{
}

RpcClient::~RpcClient()
{
    asio::post(state_->strand, [state = state_] { state->fail(); });
}

void RpcClient::call(std::uint16_t kind, std::string payload, Instant deadline, CallResult done)
{
    asio::post(state_->strand,
        [state = state_, kind, payload = std::move(payload), deadline, done = std::move(done)]() mutable {
            state->call(kind, payload, deadline, std::move(done));
        });
}

std::uint64_t RpcClient::receivedBytes() const
{
    return state_->receivedBytes;
}

std::error_code RpcClient::callAndWait(std::uint16_t kind, std::string payload, Instant deadline, std::string& reply)
{
    auto promise = std::make_shared<std::promise<std::pair<std::error_code, std::string>>>();
    auto future = promise->get_future();
    call(kind, std::move(payload), deadline, [promise](std::error_code error, std::string bytes) {
        promise->set_value({ error, std::move(bytes) });
    });
    // The call ends at its deadline unless the io_context has stopped; the margin bounds the wait in that case.
    constexpr Millis stoppedContextMargin { 500 };
    if (future.wait_until(deadline + stoppedContextMargin) != std::future_status::ready)
        return Errc::Timeout;
    auto [error, bytes] = future.get();
    reply = std::move(bytes);
    return error;
}

} // namespace agatevane::net
