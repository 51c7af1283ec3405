#include "agatevane/event_http/server.h"

#include "agatevane/event_http/read_buffer.h"
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <deque>
#include <set>

namespace agatevane::event_http {

namespace {

    using asio::ip::tcp;

    //! The server stops reading from a connection while this many of its requests wait to be handled.
    constexpr std::size_t maxPipelinedRequests = 16;

    const char* reasonPhrase(int status)
    {
        return http_status_str(static_cast<http_status>(status));
    }

} // namespace

class ServerConnection;

struct Server::State : std::enable_shared_from_this<Server::State> {
    State(asio::io_context& context, Handler requestHandler, const MessageLimits& messageLimits)
        : acceptor(context)
        , handler(std::move(requestHandler))
        , limits(messageLimits)
    {
    }

    void accept();

    tcp::acceptor acceptor;
    Handler handler;
    MessageLimits limits;
    int port = 0;
    bool isDraining = false;
    int requestsInProgress = 0;
    std::set<ServerConnection*> connections;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(tcp::socket socket, std::shared_ptr<Server::State> server)
        : socket_(std::move(socket))
        , server_(std::move(server))
        , parser_(HTTP_REQUEST, server_->limits,
              [this](Request request, const Response&, bool isKeepAlive) { enqueue(std::move(request), isKeepAlive); })
    {
        server_->connections.insert(this);
    }

    ~ServerConnection()
    {
        server_->connections.erase(this);
        server_->requestsInProgress -= static_cast<int>(queue_.size()) + (isBusy_ ? 1 : 0);
    }

    void start() { read(); }

    void close()
    {
        std::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    void closeIfIdle()
    {
        if (!isHandlingRequests() && !parser_.isInMessage())
            close();
    }

private:
    struct QueuedRequest {
        Request request;
        bool isKeepAlive = false;
    };

    bool isHandlingRequests() const { return isBusy_ || !queue_.empty(); }

    void read()
    {
        if (isReading_ || hasPeerFinished_ || queue_.size() >= maxPipelinedRequests || !socket_.is_open())
            return;
        isReading_ = true;
        socket_.async_read_some(buffer_.space(), [self = shared_from_this()](std::error_code error, std::size_t size) {
            self->isReading_ = false;
            self->hasPeerFinished_ = error == asio::error::eof;
            if (self->hasPeerFinished_ && self->isHandlingRequests())
                return;
            if (error)
                return self->close();
            if (!self->parser_.feed(self->buffer_.take(size)))
                return self->reject();
            self->handleNext();
            self->read();
        });
    }

    void enqueue(Request request, bool isKeepAlive)
    {
        ++server_->requestsInProgress;
        queue_.push_back({ std::move(request), isKeepAlive });
    }

    void handleNext()
    {
        if (isBusy_ || queue_.empty())
            return;
        auto next = std::move(queue_.front());
        queue_.pop_front();
        isBusy_ = true;
        isKeepAlive_ = next.isKeepAlive;
        auto self = shared_from_this();
        auto didRespond = std::make_shared<bool>(false);
        server_->handler(std::move(next.request), [self, didRespond](Response response) {
            if (std::exchange(*didRespond, true))
                return;
            self->send(std::move(response));
        });
    }

    void send(Response response)
    {
        if (!socket_.is_open())
            return endCurrentRequest();
        bool isLastAnswer = queue_.empty() && (server_->isDraining || hasPeerFinished_);
        bool isKeptOpen = isKeepAlive_ && !isLastAnswer;
        out_ = "HTTP/1.1 " + std::to_string(response.status) + " " + reasonPhrase(response.status) + "\r\n";
        for (const auto& [name, value] : response.headers)
            out_ += name + ": " + value + "\r\n";
        out_ += "content-length: " + std::to_string(response.body.size()) + "\r\n";
        if (!isKeptOpen)
            out_ += "connection: close\r\n";
        out_ += "\r\n";
        out_ += response.body;
        asio::async_write(
            socket_, asio::buffer(out_), [self = shared_from_this(), isKeptOpen](std::error_code error, std::size_t) {
                self->endCurrentRequest();
                if (error || (!isKeptOpen && self->queue_.empty()))
                    return self->close();
                self->handleNext();
                self->read();
            });
    }

    void endCurrentRequest()
    {
        if (!std::exchange(isBusy_, false))
            return;
        --server_->requestsInProgress;
    }

    void reject()
    {
        if (isHandlingRequests())
            return close();
        isBusy_ = true;
        ++server_->requestsInProgress;
        isKeepAlive_ = false;
        send({ 400, {}, {} });
    }

    tcp::socket socket_;
    std::shared_ptr<Server::State> server_;
    Parser parser_;
    ReadBuffer buffer_;
    std::deque<QueuedRequest> queue_;
    std::string out_;
    bool isReading_ = false;
    bool hasPeerFinished_ = false; //!< the peer sends nothing more, but may still wait for answers
    bool isBusy_ = false; //!< a request is being handled or its response is being written
    bool isKeepAlive_ = false;
};

void Server::State::accept()
{
    acceptor.async_accept([self = shared_from_this()](std::error_code error, tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (!error) {
            std::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<ServerConnection>(std::move(socket), self)->start();
        }
        self->accept();
    });
}

Server::Server(asio::io_context& context, Handler handler, const MessageLimits& limits)
    : state_(std::make_shared<State>(context, std::move(handler), limits))
{
}

Server::~Server()
{
    std::error_code ignored;
    state_->acceptor.close(ignored);
    auto connections = state_->connections;
    for (auto* connection : connections)
        connection->close();
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
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    state_->port = acceptor.local_endpoint().port();
    state_->accept();
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

} // namespace agatevane::event_http
