#include "agatevane/event_http/client.h"

#include "agatevane/base/error.h"
#include "agatevane/event_http/parser.h"
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <vector>

namespace agatevane::event_http {

namespace {

    using asio::ip::tcp;

    constexpr std::size_t readChunkBytes = 16384;
    constexpr MessageLimits responseLimits { 65536, 67108864 };
    //! Idle connections older than this are not used again: servers close theirs after 15 s.
    constexpr Millis maxIdle { 10000 };
    constexpr std::size_t maxIdlePerPeer = 4;

} // namespace

class ClientConnection;

struct Client::State {
    explicit State(asio::io_context& ioContext)
        : context(ioContext)
    {
    }
    asio::io_context& context;
    ClientCounters counters;
    std::map<PeerAddress, std::vector<std::shared_ptr<ClientConnection>>> idle;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(std::shared_ptr<Client::State> state, const PeerAddress& peer)
        : state_(std::move(state))
        , peer_(peer)
        , socket_(state_->context)
        , timer_(state_->context)
        , parser_(HTTP_RESPONSE, responseLimits, [this](const Request&, Response response, bool keepAlive) {
            response_ = std::move(response);
            keepAlive_ = keepAlive;
        })
    {
    }

    void run(const Request& request, Instant deadline, ResponseHandler done)
    {
        encode(request);
        done_ = std::move(done);
        response_.reset();
        timer_.expires_at(deadline);
        timer_.async_wait([self = shared_from_this(), current = ++call_](std::error_code error) {
            if (!error && current == self->call_)
                self->expire();
        });
        if (socket_.is_open())
            return write();
        connect();
    }

    bool isUsable(Instant at) const { return socket_.is_open() && at - idleSince_ < maxIdle; }

    void close()
    {
        std::error_code ignored;
        socket_.close(ignored);
    }

private:
    void encode(const Request& request)
    {
        out_ = request.method + " " + request.target + " HTTP/1.1\r\nhost: " + peer_.address + ":"
            + std::to_string(peer_.port) + "\r\n";
        for (const auto& [name, value] : request.headers)
            out_ += name + ": " + value + "\r\n";
        if (!request.body.empty() || request.method == "POST")
            out_ += "content-length: " + std::to_string(request.body.size()) + "\r\n";
        out_ += "\r\n";
        out_ += request.body;
    }

    void connect()
    {
        std::error_code error;
        auto ip = asio::ip::make_address(peer_.address, error);
        if (error)
            return finish(Errc::Unreachable);
        ++state_->counters.connections;
        sent_ = false;
        socket_.async_connect({ ip, static_cast<unsigned short>(peer_.port) },
            [self = shared_from_this(), current = call_](std::error_code failure) {
                if (current != self->call_ || !self->done_)
                    return;
                if (failure)
                    return self->finish(Errc::Unreachable);
                self->setOptions();
                self->write();
                self->read();
            });
    }

    void setOptions()
    {
        std::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        // Bounds how long the kernel keeps a connection whose peer has gone silent.
        constexpr int userTimeoutMs = 3000;
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        socket_.set_option(UserTimeout(userTimeoutMs), ignored);
    }

    void write()
    {
        sent_ = true;
        asio::async_write(socket_, asio::buffer(out_),
            [self = shared_from_this(), current = call_](std::error_code error, std::size_t) {
                if (error && current == self->call_ && self->done_)
                    self->finish(Errc::Disconnected);
            });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(chunk_), [self = shared_from_this()](std::error_code error, std::size_t size) {
                if (error) {
                    if (self->done_ && self->parser_.finish() && self->response_)
                        return self->complete();
                    return self->done_ ? self->finish(Errc::Disconnected) : self->close();
                }
                if (!self->done_ || !self->parser_.feed({ self->chunk_.data(), size }))
                    return self->done_ ? self->finish(Errc::Malformed) : self->close();
                if (self->response_)
                    self->complete();
                if (self->socket_.is_open())
                    self->read();
            });
    }

    void complete()
    {
        auto response = std::move(*response_);
        response_.reset();
        timer_.cancel();
        ++call_;
        auto done = std::exchange(done_, nullptr);
        idleSince_ = now();
        auto& idle = state_->idle[peer_];
        if (keepAlive_ && idle.size() < maxIdlePerPeer)
            idle.push_back(shared_from_this());
        else
            close();
        done({}, std::move(response));
    }

    //! A connection that did not answer may have gone silent, and so may the idle ones to the same peer.
    void expire()
    {
        ++state_->counters.timeouts;
        state_->idle.erase(peer_);
        // A reset drops what is still on its way, so that the call is not carried out seconds later.
        std::error_code ignored;
        socket_.set_option(tcp::socket::linger(true, 0), ignored);
        finish(sent_ ? Errc::Timeout : Errc::Unreachable);
    }

    void finish(Errc error)
    {
        timer_.cancel();
        ++call_;
        close();
        auto done = std::exchange(done_, nullptr);
        done(error, {});
    }

    std::shared_ptr<Client::State> state_;
    PeerAddress peer_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    Parser parser_;
    std::array<char, readChunkBytes> chunk_ {};
    std::string out_;
    std::optional<Response> response_;
    ResponseHandler done_;
    std::uint64_t call_ = 0; //!< completions of an earlier request are ignored
    bool sent_ = false;
    bool keepAlive_ = false;
    Instant idleSince_;
};

Client::Client(asio::io_context& context)
    : state_(std::make_shared<State>(context))
{
}

Client::~Client()
{
    state_->idle.clear();
}

void Client::send(const PeerAddress& peer, Request request, Instant deadline, ResponseHandler done)
{
    ++state_->counters.requests;
    std::shared_ptr<ClientConnection> connection;
    auto& idle = state_->idle[peer];
    while (!idle.empty() && !connection) {
        if (idle.back()->isUsable(now()))
            connection = idle.back();
        else
            idle.back()->close();
        idle.pop_back();
    }
    if (!connection)
        connection = std::make_shared<ClientConnection>(state_, peer);
    asio::post(state_->context, [connection, request = std::move(request), deadline, done = std::move(done)]() mutable {
        connection->run(request, deadline, std::move(done));
    });
}

void Client::closeIdleConnections(const PeerAddress& peer)
{
    auto found = state_->idle.find(peer);
    if (found == state_->idle.end())
        return;
    for (auto& connection : found->second)
        connection->close();
    state_->idle.erase(found);
}

const ClientCounters& Client::counters() const
{
    return state_->counters;
}

} // namespace agatevane::event_http
