#include "standins/relay/link.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace agatevane::standin {

using asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds stallCheckInterval { 20 };

} // namespace

//! One forwarded connection, with a pump that copies data in each direction.
struct TcpLink::Session : std::enable_shared_from_this<TcpLink::Session> {
    struct Pump {
        tcp::socket& from;
        tcp::socket& to;
        BusyUntil& busyUntil;
        asio::steady_timer timer;
        std::array<char, 65536> buffer {};

        Pump(tcp::socket& source, tcp::socket& sink, BusyUntil& direction)
            : from(source)
            , to(sink)
            , busyUntil(direction)
            , timer(source.get_executor())
        {
        }
    };

    Session(TcpLink& owner, tcp::socket accepted)
        : link(owner)
        , client(std::move(accepted))
        , server(link.context_)
        , clientToServer(client, server, link.toServerBusyUntil_)
        , serverToClient(server, client, link.toClientBusyUntil_)
    {
    }

    void connect()
    {
        server.async_connect(link.target_, [self = shared_from_this()](std::error_code error) {
            if (error || self->isClosed) {
                self->end();
                return;
            }
            std::error_code ignored;
            self->client.set_option(tcp::no_delay(true), ignored);
            self->server.set_option(tcp::no_delay(true), ignored);
            self->read(self->clientToServer);
            self->read(self->serverToClient);
        });
    }

    void read(Pump& pump)
    {
        pump.from.async_read_some(
            asio::buffer(pump.buffer), [self = shared_from_this(), &pump](std::error_code error, std::size_t length) {
                if (error == asio::error::connection_reset)
                    self->end();
                else if (error)
                    self->endDirection(pump);
                else if (!self->isClosed)
                    self->wait(pump, length, self->link.state_.delay + self->link.queueBytes(pump.busyUntil, length));
            });
    }

    void wait(Pump& pump, std::size_t length, std::chrono::nanoseconds delay)
    {
        bool isHeld = link.state_.isStalled || (link.state_.holdsAnswers && &pump == &serverToClient);
        if (delay.count() == 0 && !isHeld) {
            write(pump, length);
            return;
        }
        if (wasReset(pump.from)) {
            end();
            return;
        }
        pump.timer.expires_after(delay.count() == 0 ? std::chrono::nanoseconds(stallCheckInterval) : delay);
        pump.timer.async_wait([self = shared_from_this(), &pump, length](std::error_code error) {
            if (!error && !self->isClosed)
                self->wait(pump, length, std::chrono::nanoseconds(0));
        });
    }

    //! Whether the sender reset the connection. Data that the link has not forwarded by then is lost.
    static bool wasReset(tcp::socket& socket)
    {
        char byte = 0;
        std::error_code error;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::connection_reset;
    }

    void write(Pump& pump, std::size_t length)
    {
        link.counts_.bytes += length;
        asio::async_write(pump.to, asio::buffer(pump.buffer.data(), length),
            [self = shared_from_this(), &pump](std::error_code error, std::size_t) {
                if (error)
                    self->end();
                else if (!self->isClosed)
                    self->read(pump);
            });
    }

    //! Handles the end of one side's stream. The other direction continues until it ends too.
    void endDirection(Pump& pump)
    {
        std::error_code ignored;
        pump.to.shutdown(tcp::socket::shutdown_send, ignored);
        if (++endedDirections == 2 || isClosed)
            end();
    }

    void close()
    {
        isClosed = true;
        std::error_code ignored;
        clientToServer.timer.cancel();
        serverToClient.timer.cancel();
        client.close(ignored);
        server.close(ignored);
    }

    void end()
    {
        if (isClosed)
            return;
        close();
        link.sessions_.erase(shared_from_this());
    }

    TcpLink& link; //!< not used after close(), because a link closes its sessions before it is destroyed
    tcp::socket client;
    tcp::socket server;
    Pump clientToServer;
    Pump serverToClient;
    int endedDirections = 0;
    bool isClosed = false;
};

TcpLink::TcpLink(asio::io_context& context, const tcp::endpoint& listen, tcp::endpoint target)
    : context_(context)
    , listen_(listen)
    , target_(std::move(target))
    , acceptor_(context)
{
    open();
}

TcpLink::~TcpLink()
{
    for (const auto& session : sessions_)
        session->close();
}

void TcpLink::open()
{
    acceptor_.open(listen_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen_);
    acceptor_.listen();
    listen_ = acceptor_.local_endpoint();
    accept();
}

void TcpLink::accept()
{
    acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](std::error_code error, tcp::socket socket) {
        if (error || alive.expired())
            return; // A cut or the destructor closed the acceptor.
        ++counts_.connections;
        auto session = std::make_shared<Session>(*this, std::move(socket));
        sessions_.insert(session);
        session->connect();
        accept();
    });
}

//! Returns how long it takes until the link has carried `length` more bytes.
std::chrono::nanoseconds TcpLink::queueBytes(BusyUntil& direction, std::size_t length) const
{
    if (state_.bytesPerSecond == 0)
        return std::chrono::nanoseconds(0);
    auto at = BusyUntil::clock::now();
    auto duration = std::chrono::nanoseconds(std::chrono::seconds(length)) / state_.bytesPerSecond;
    direction = std::max(direction, at) + duration;
    return direction - at;
}

void TcpLink::apply(const LinkState& state)
{
    bool wasCut = state_.isCut;
    state_ = state;
    if (state.isCut && !wasCut) {
        acceptor_.close();
        auto sessions = std::move(sessions_);
        sessions_.clear();
        for (const auto& session : sessions)
            session->close();
    } else if (!state.isCut && wasCut) {
        open();
    }
}

void TcpLink::reset()
{
    auto sessions = std::move(sessions_);
    sessions_.clear();
    for (const auto& session : sessions) {
        // With a linger time of 0, closing the socket sends a reset instead of an orderly end of the stream.
        std::error_code ignored;
        session->client.set_option(tcp::socket::linger(true, 0), ignored);
        session->server.set_option(tcp::socket::linger(true, 0), ignored);
        session->close();
    }
}

} // namespace agatevane::standin
