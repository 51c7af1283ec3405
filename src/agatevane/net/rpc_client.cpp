#include "agatevane/net/frame.h"
#include "agatevane/net/rpc.h"

#include "agatevane/base/error.h"
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <deque>
#include <future>
#include <map>

namespace agatevane::net {

using asio::ip::tcp;

//! All members are touched on the strand only.
struct RpcClient::State : std::enable_shared_from_this<RpcClient::State> {
    struct Pending {
        CallResult done;
        std::shared_ptr<asio::steady_timer> timer;
        bool written = false;
        Instant writtenAt;
    };

    struct Outgoing {
        std::uint64_t id;
        std::string bytes;
    };

    enum class Link { Closed, Connecting, Open };

    //! One connection with its buffers. Its handlers hold it, so that what is left of an ended one touches no later
    //! one.
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
        pending.emplace(id, Pending { std::move(done), std::move(timer) });
        outgoing.push_back({ id, encodeFrame(id, kind, payload) });
        if (link == Link::Closed)
            connect();
        else if (link == Link::Open && !writing)
            writeNext();
    }

    void expire(std::uint64_t id)
    {
        auto found = pending.find(id);
        if (found == pending.end())
            return;
        // A frame still in the queue is withdrawn, so that a call reported as without effect can have none later.
        bool sent = found->second.written;
        bool isSilent = sent ? lastReceived < found->second.writtenAt : link == Link::Connecting;
        if (!sent)
            std::erase_if(outgoing, [id](const Outgoing& frame) { return frame.id == id; });
        finish(id, sent ? Errc::Timeout : Errc::Unreachable, {});
        // Nothing has come since the call was written: the connection may have gone silent without a reset.
        if (isSilent)
            fail();
    }

    void finish(std::uint64_t id, std::error_code error, std::string payload)
    {
        auto found = pending.find(id);
        if (found == pending.end())
            return;
        auto call = std::move(found->second);
        pending.erase(found);
        call.timer->cancel();
        call.done(error, std::move(payload));
    }

    void connect()
    {
        std::error_code error;
        auto ip = asio::ip::make_address(peer.address, error);
        if (error)
            return fail();
        link = Link::Connecting;
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
                self->link = Link::Open;
                self->readHeader();
                if (!self->outgoing.empty())
                    self->writeNext();
            });
    }

    void writeNext()
    {
        writing = true;
        auto next = std::move(outgoing.front());
        outgoing.pop_front();
        if (auto found = pending.find(next.id); found != pending.end())
            markWritten(found->second);
        connection->outgoing = std::move(next.bytes);
        asio::async_write(connection->socket, asio::buffer(connection->outgoing),
            [self = shared_from_this(), current = connection](std::error_code error, std::size_t) {
                if (current != self->connection)
                    return;
                self->writing = false;
                if (error)
                    return self->fail();
                if (!self->outgoing.empty())
                    self->writeNext();
            });
    }

    static void markWritten(Pending& call)
    {
        call.written = true;
        call.writtenAt = now();
    }

    void readHeader()
    {
        asio::async_read(connection->socket, asio::buffer(connection->header),
            [self = shared_from_this(), current = connection](std::error_code error, std::size_t) {
                if (current != self->connection)
                    return;
                self->lastReceived = now();
                if (error || !decodeHeader(current->header, current->frame))
                    return self->fail();
                self->readPayload();
            });
    }

    void readPayload()
    {
        connection->incoming.resize(connection->frame.payloadBytes);
        asio::async_read(connection->socket, asio::buffer(connection->incoming),
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

    //! Ends every call in progress; the next call connects again.
    void fail()
    {
        link = Link::Closed;
        writing = false;
        std::error_code ignored;
        if (auto ended = std::exchange(connection, nullptr))
            ended->socket.close(ignored);
        outgoing.clear();
        auto calls = std::exchange(pending, {});
        for (auto& [id, call] : calls) {
            call.timer->cancel();
            call.done(call.written ? Errc::Disconnected : Errc::Unreachable, {});
        }
    }

    asio::strand<asio::io_context::executor_type> strand;
    ConnectionPtr connection; //!< null while closed
    PeerAddress peer;
    Link link = Link::Closed;
    bool writing = false;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, Pending> pending;
    std::deque<Outgoing> outgoing;
    Instant lastReceived;
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

std::error_code RpcClient::callAndWait(std::uint16_t kind, std::string payload, Instant deadline, std::string& reply)
{
    auto promise = std::make_shared<std::promise<std::pair<std::error_code, std::string>>>();
    auto future = promise->get_future();
    call(kind, std::move(payload), deadline, [promise](std::error_code error, std::string bytes) {
        promise->set_value({ error, std::move(bytes) });
    });
    // The call ends by itself at its deadline; the margin covers an io_context that has stopped.
    constexpr Millis stoppedContextMargin { 500 };
    if (future.wait_until(deadline + stoppedContextMargin) != std::future_status::ready)
        return Errc::Timeout;
    auto [error, bytes] = future.get();
    reply = std::move(bytes);
    return error;
}

} // namespace agatevane::net
