#include "agatevane/event_http/client.h"

#include "agatevane/base/error.h"
#include "agatevane/event_http/connection_pool.h"
#include "agatevane/event_http/parser.h"
#include "agatevane/event_http/read_buffer.h"
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <limits>
#include <netinet/tcp.h>
#include <optional>

namespace agatevane::event_http {

namespace {

    using asio::ip::tcp;

    //! Header bytes and body bytes.
    constexpr MessageLimits responseLimits { 65536, 67108864 };
    //! A connection that was idle for longer is not reused, because servers close idle connections after 15 s.
    constexpr Millis maxIdleTime { 10000 };
    constexpr std::size_t maxIdleConnectionsPerPeer = 4;

    struct ResponseLimits {
        TransferLimits transfer;
        bool isLimitedAsWhole = false; //!< the response has to be complete when it would otherwise have to begin
    };

} // namespace

class ClientConnection;

struct Client::State {
    explicit State(asio::io_context& ioContext)
        : context(ioContext)
    {
    }

    //! Returns an idle connection to `peer`, or a new one.
    static std::shared_ptr<ClientConnection> connectionTo(const std::shared_ptr<State>& state, const PeerAddress& peer);
    static void send(const std::shared_ptr<State>& state, const PeerAddress& peer, Request request,
        ResponseLimits limits, ResponseHandler done);

    asio::io_context& context;
    ClientCounters counters;
    ConnectionPool<ClientConnection> idleConnections;
    std::size_t openConnections = 0;
    std::size_t mostConnections = std::numeric_limits<std::size_t>::max();
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(std::shared_ptr<Client::State> state, const PeerAddress& peer)
        : state_(std::move(state))
        , peer_(peer)
        , socket_(state_->context)
        , timer_(state_->context)
        , parser_(HTTP_RESPONSE, responseLimits, [this](const Request&, Response response, bool isKeepAlive) {
            response_ = std::move(response);
            isKeepAlive_ = isKeepAlive;
        })
    {
    }

    //! The request is not sent after `sendBy`, on the clock of bootNow().
    void run(const Request& request, Instant sendBy, ResponseLimits limits, ResponseHandler done)
    {
        encode(request);
        sendBy_ = sendBy;
        stallGuard_ = StallGuard(limits.transfer.beginBy);
        parser_.limitBody(limits.transfer.maxBytes > 0 ? limits.transfer.maxBytes : responseLimits.bodyBytes);
        limits_ = std::move(limits);
        progress_ = {};
        done_ = std::move(done);
        response_.reset();
        ++requestNumber_;
        if (isTooLateToSend())
            return fail(Errc::Unreachable);
        watchTime();
        if (socket_.is_open())
            return write();
        connect();
    }

    bool isReusable(Instant at) const { return socket_.is_open() && at - idleSince_ < maxIdleTime; }

    void close()
    {
        if (std::exchange(isCounted_, false))
            --state_->openConnections;
        std::error_code ignored;
        socket_.close(ignored);
    }

private:
    //! The end of the request moves on while its response arrives.
    void watchTime()
    {
        timer_.expires_at(stallGuard_.endsAt());
        timer_.async_wait([self = shared_from_this(), number = requestNumber_](std::error_code error) {
            if (error || number != self->requestNumber_)
                return;
            if (now() < self->stallGuard_.endsAt())
                return self->watchTime();
            self->expireRequest();
        });
    }

    //! The process may have been paused, or its machine suspended, since the request was handed over.
    bool isTooLateToSend() const { return bootNow() >= sendBy_; }

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
            return fail(Errc::Unreachable);
        if (state_->openConnections >= state_->mostConnections)
            state_->idleConnections.closeOldest();
        ++state_->counters.connections;
        ++state_->openConnections;
        isCounted_ = true;
        didStartSending_ = false;
        socket_.async_connect({ ip, static_cast<unsigned short>(peer_.port) },
            [self = shared_from_this(), number = requestNumber_](std::error_code failure) {
                if (number != self->requestNumber_ || !self->done_)
                    return;
                if (failure || self->isTooLateToSend())
                    return self->fail(Errc::Unreachable);
                self->setOptions();
                self->write();
                self->read();
            });
    }

    void setOptions()
    {
        std::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        // Bounds how long the kernel keeps a connection whose peer does not acknowledge what was sent.
        constexpr int userTimeoutMs = 3000;
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        socket_.set_option(UserTimeout(userTimeoutMs), ignored);
    }

    void write()
    {
        didStartSending_ = true;
        asio::async_write(socket_, asio::buffer(out_),
            [self = shared_from_this(), number = requestNumber_](std::error_code error, std::size_t) {
                if (error && number == self->requestNumber_ && self->done_)
                    self->fail(Errc::Disconnected);
            });
    }

    void read()
    {
        socket_.async_read_some(buffer_.space(), [self = shared_from_this()](std::error_code error, std::size_t size) {
            if (error) {
                if (self->done_ && self->parser_.finish() && self->response_)
                    return self->complete();
                return self->done_ ? self->fail(Errc::Disconnected) : self->close();
            }
            if (!self->done_)
                return self->close();
            bool isValid = self->parser_.feed(self->buffer_.take(size));
            self->noteProgress(size);
            if (!isValid)
                return self->rejectResponse();
            if (self->response_)
                self->complete();
            if (self->socket_.is_open())
                self->read();
        });
    }

    void noteProgress(std::size_t size)
    {
        progress_.receivedBytes += size;
        progress_.expectedBytes = parser_.announcedBodyBytes();
        if (!limits_.isLimitedAsWhole)
            stallGuard_.note(progress_.receivedBytes, now());
        if (limits_.transfer.progressed)
            limits_.transfer.progressed(progress_);
    }

    void rejectResponse()
    {
        discardInTransit();
        fail(parser_.isTooLarge() ? Errc::TooLarge : Errc::Malformed);
    }

    //! A reset discards bytes that are still in transit, in both directions.
    void discardInTransit()
    {
        std::error_code ignored;
        socket_.set_option(tcp::socket::linger(true, 0), ignored);
    }

    void complete()
    {
        auto response = std::move(*response_);
        response_.reset();
        timer_.cancel();
        ++requestNumber_;
        auto done = std::exchange(done_, nullptr);
        idleSince_ = now();
        if (isKeepAlive_ && state_->idleConnections.countTo(peer_) < maxIdleConnectionsPerPeer)
            state_->idleConnections.add(peer_, shared_from_this());
        else
            close();
        done({}, std::move(response));
    }

    //! Ends the request at its deadline. The connection may be broken without a reset, and so may the idle connections
    //! to the same peer, which are therefore not reused either.
    void expireRequest()
    {
        ++state_->counters.timeouts;
        state_->idleConnections.closeAllTo(peer_);
        // Otherwise the peer may carry out the request seconds later.
        discardInTransit();
        fail(didStartSending_ ? Errc::Timeout : Errc::Unreachable);
    }

    void fail(Errc error)
    {
        timer_.cancel();
        ++requestNumber_;
        close();
        auto done = std::exchange(done_, nullptr);
        done(error, {});
    }

    std::shared_ptr<Client::State> state_;
    PeerAddress peer_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    Parser parser_;
    ReadBuffer buffer_;
    std::string out_;
    std::optional<Response> response_;
    ResponseLimits limits_;
    TransferProgress progress_;
    Instant sendBy_; //!< on the clock of bootNow()
    StallGuard stallGuard_ { Instant() };
    ResponseHandler done_;
    std::uint64_t requestNumber_ = 0; //!< number of the current request; completions of earlier ones are ignored
    bool didStartSending_ = false; //!< the peer may have received a part of the request
    bool isKeepAlive_ = false;
    bool isCounted_ = false; //!< as one of `State::openConnections`
    Instant idleSince_;
};

Client::Client(asio::io_context& context)
    : state_(std::make_shared<State>(context))
{
}

Client::~Client()
{
    state_->idleConnections.clear();
}

std::shared_ptr<ClientConnection> Client::State::connectionTo(
    const std::shared_ptr<State>& state, const PeerAddress& peer)
{
    while (auto connection = state->idleConnections.take(peer)) {
        if (connection->isReusable(now()))
            return connection;
        connection->close();
    }
    return std::make_shared<ClientConnection>(state, peer);
}

void Client::State::send(const std::shared_ptr<State>& state, const PeerAddress& peer, Request request,
    ResponseLimits limits, ResponseHandler done)
{
    ++state->counters.requests;
    auto sendBy = bootNow() + elapsed(now(), limits.transfer.beginBy);
    asio::post(state->context,
        [connection = connectionTo(state, peer), request = std::move(request), sendBy, limits = std::move(limits),
            done = std::move(done)]() mutable {
            connection->run(request, sendBy, std::move(limits), std::move(done));
        });
}

void Client::send(const PeerAddress& peer, Request request, const TransferLimits& limits, ResponseHandler done)
{
    State::send(state_, peer, std::move(request), { limits, false }, std::move(done));
}

void Client::send(const PeerAddress& peer, Request request, Instant deadline, ResponseHandler done)
{
    State::send(state_, peer, std::move(request), { { deadline, {} }, true }, std::move(done));
}

void Client::closeIdleConnections(const PeerAddress& peer)
{
    state_->idleConnections.closeAllTo(peer);
}

void Client::limitConnections(std::size_t most)
{
    state_->mostConnections = most;
}

std::size_t Client::openConnections() const
{
    return state_->openConnections;
}

const ClientCounters& Client::counters() const
{
    return state_->counters;
}

} // namespace agatevane::event_http
