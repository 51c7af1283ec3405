#include "agatevane/event_http/server.h"

#include "agatevane/event_http/server_connection.h"
#include <algorithm>

namespace agatevane::event_http {

namespace {

    using asio::ip::tcp;

    constexpr Millis sweepInterval { 1000 };
    //! A sweep that is later than this closes no connection for its deadlines: the process has stood still, and what
    //! clients have sent meanwhile is not read yet.
    constexpr Millis maxSweepDelay { 500 };
    //! Delay before the next connection is accepted after a failure, such as a lack of descriptors.
    constexpr Millis acceptRetryDelay { 100 };

    ServerOptions optionsOf(const MessageLimits& limits)
    {
        ServerOptions options;
        options.limits.message = limits;
        return options;
    }

} // namespace

Server::State::State(asio::io_context& context, Handler requestHandler, ServerOptions serverOptions)
    : acceptor(context)
    , handler(std::move(requestHandler))
    , options(std::move(serverOptions))
    , sweepTimer_(context)
    , acceptTimer_(context)
{
}

void Server::State::start()
{
    accept();
    if (options.budget || hasDeadlines(options.limits))
        sweepLater();
}

void Server::State::stop()
{
    std::error_code ignored;
    acceptor.close(ignored);
    acceptTimer_.cancel();
    sweepTimer_.cancel();
    isStopped_ = true;
    auto all = connections;
    for (auto* connection : all)
        connection->close();
    waiting.clear();
}

void Server::State::accept()
{
    acceptor.async_accept([self = shared_from_this()](std::error_code error, tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (!error)
            self->admit(std::move(socket));
        if (!error || error == asio::error::connection_aborted)
            return self->accept();
        if (error == asio::error::no_descriptors)
            self->closeLongestIdle();
        self->acceptLater();
    });
}

void Server::State::acceptLater()
{
    acceptTimer_.expires_after(acceptRetryDelay);
    acceptTimer_.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error && self->acceptor.is_open())
            self->accept();
    });
}

void Server::State::admit(tcp::socket socket)
{
    std::error_code error;
    auto source = socket.remote_endpoint(error).address();
    if (error)
        return;
    socket.non_blocking(true, error);
    std::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (error || !makeRoomFor(source))
        return sendRefusal(socket);
    std::make_shared<ServerConnection>(std::move(socket), source, shared_from_this())->read();
}

//! False if a connection from `source` would exceed a limit.
bool Server::State::makeRoomFor(const asio::ip::address& source)
{
    const auto& limits = options.limits;
    auto found = connectionsOfSource.find(source);
    if (found != connectionsOfSource.end() && found->second >= limits.connectionsPerSource) {
        noteClosed(CloseReason::SourceLimit, 0);
        return false;
    }
    if (openConnections < limits.connections || closeLongestIdle())
        return true;
    noteClosed(CloseReason::ConnectionLimit, 0);
    return false;
}

//! Closes the connection that has been idle longest. False if all handle requests.
bool Server::State::closeLongestIdle()
{
    ServerConnection* longestIdle = nullptr;
    for (auto* connection : connections) {
        if (connection->isOpen() && !connection->isHandlingRequests()
            && (!longestIdle || connection->idleSince() < longestIdle->idleSince()))
            longestIdle = connection;
    }
    if (longestIdle)
        longestIdle->closeBecause(CloseReason::ConnectionLimit);
    return longestIdle != nullptr;
}

Pressure Server::State::pressure() const
{
    return options.budget ? options.budget->pressure(options.audience) : Pressure::None;
}

void Server::State::noteClosed(CloseReason reason, std::size_t refusedRequests) const
{
    if (options.closed)
        options.closed(reason, refusedRequests);
}

void Server::State::relieveCriticalPressure()
{
    if (pressure() == Pressure::Critical)
        closeLargest(now(), [this] { return pressure() != Pressure::Critical; });
}

void Server::State::closeLargest(Instant at, const std::function<bool()>& isEnough)
{
    std::vector<std::pair<double, ServerConnection*>> candidates;
    for (auto* connection : connections) {
        auto memory = connection->freeableMemory(at);
        if (connection->isOpen() && memory.bytes > 0)
            candidates.emplace_back(closingOrder(memory, at), connection);
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    for (const auto& [order, connection] : candidates) {
        if (isEnough())
            return;
        connection->closeBecause(CloseReason::Memory);
    }
}

void Server::State::resumeReading()
{
    while (!waiting.empty() && pressure() == Pressure::None) {
        auto connection = std::move(waiting.front());
        waiting.pop_front();
        if (connection->isOpen())
            connection->receive();
    }
}

void Server::State::sweepLater()
{
    sweepDueAt_ = now() + sweepInterval;
    sweepTimer_.expires_after(sweepInterval);
    sweepTimer_.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->isStopped_)
            return;
        self->sweep();
        self->sweepLater();
    });
}

void Server::State::sweep()
{
    auto at = now();
    if (at - sweepDueAt_ < maxSweepDelay)
        closeOverdue(at);
    // Without this, messages that never end would keep the pressure up, and no other client would be served.
    if (!waiting.empty() && pressure() != Pressure::None)
        closeLargest(at, [this] { return options.budget->hasRecovered(options.audience); });
    std::erase_if(waiting, [](const auto& connection) { return !connection->isOpen(); });
    resumeReading();
}

void Server::State::closeOverdue(Instant at)
{
    for (auto* connection : connections) {
        if (auto reason = connection->exceededLimit(at); reason && connection->isOpen())
            connection->closeBecause(*reason);
    }
}

Server::Server(asio::io_context& context, Handler handler, const MessageLimits& limits)
    : Server(context, std::move(handler), optionsOf(limits))
{
}

Server::Server(asio::io_context& context, Handler handler, ServerOptions options)
    : state_(std::make_shared<State>(context, std::move(handler), std::move(options)))
{
}

Server::~Server()
{
    state_->stop();
}

std::error_code Server::listen(const std::string& address, int port)
{
    std::error_code error;
    auto ip = asio::ip::make_address(address, error);
    if (error)
        return error;
    tcp::endpoint endpoint(ip, static_cast<unsigned short>(port));
    auto& acceptor = state_->acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    // Connections inherit the sizes of the listening socket's buffers.
    if (auto bytes = static_cast<int>(state_->options.limits.socketBufferBytes); !error && bytes > 0) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), error);
        if (!error)
            acceptor.set_option(asio::socket_base::send_buffer_size(bytes), error);
    }
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    state_->port = acceptor.local_endpoint().port();
    state_->start();
    return {};
}

int Server::port() const
{
    return state_->port;
}

void Server::startDraining()
{
    state_->isDraining = true;
}

void Server::closeListenerAndIdleConnections()
{
    std::error_code ignored;
    state_->acceptor.close(ignored);
    auto connections = state_->connections;
    for (auto* connection : connections)
        connection->closeIfIdle();
}

int Server::requestsInProgress() const
{
    return state_->requestsInProgress;
}

std::size_t Server::connectionCount() const
{
    return state_->openConnections;
}

} // namespace agatevane::event_http
