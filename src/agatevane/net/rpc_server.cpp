#include "agatevane/net/frame.h"
#include "agatevane/net/rpc.h"

#include "agatevane/base/error.h"
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <deque>
#include <mutex>

namespace agatevane::net {

namespace {

    using asio::ip::tcp;

    //! A connection is closed, and its queued replies are dropped, when the peer leaves this many of them unread.
    constexpr std::size_t maxQueuedReplies = 10000;

    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(tcp::socket socket, std::shared_ptr<RequestHandler> handler)
            : socket_(std::move(socket))
            , strand_(asio::make_strand(socket_.get_executor()))
            , handler_(std::move(handler))
        {
        }

        void start() { readHeader(); }

    private:
        void readHeader()
        {
            auto self = shared_from_this();
            asio::async_read(socket_, asio::buffer(header_),
                asio::bind_executor(strand_, [self](std::error_code error, std::size_t) {
                    if (error || !decodeHeader(self->header_, self->frame_))
                        return self->close();
                    self->readPayload();
                }));
        }

        void readPayload()
        {
            payload_.resize(frame_.payloadBytes);
            auto self = shared_from_this();
            asio::async_read(socket_, asio::buffer(payload_),
                asio::bind_executor(strand_, [self](std::error_code error, std::size_t) {
                    if (error)
                        return self->close();
                    self->handle();
                    self->readHeader();
                }));
        }

        void handle()
        {
            auto reply = [self = shared_from_this(), id = frame_.requestId, kind = frame_.kind](std::string payload) {
                bool isTooLarge = payload.size() + headerBytes > maxFrameBytes;
                auto bytes = encodeFrame(id, kind, isTooLarge ? std::string_view() : std::string_view(payload));
                asio::post(self->strand_, [self, bytes = std::move(bytes)]() mutable { self->send(std::move(bytes)); });
            };
            (*handler_)(frame_.kind, payload_, std::move(reply));
        }

        void send(std::string bytes)
        {
            if (!socket_.is_open())
                return;
            if (outgoing_.size() >= maxQueuedReplies)
                return close();
            outgoing_.push_back(std::move(bytes));
            if (outgoing_.size() == 1)
                writeNext();
        }

        void writeNext()
        {
            auto self = shared_from_this();
            asio::async_write(socket_, asio::buffer(outgoing_.front()),
                asio::bind_executor(strand_, [self](std::error_code error, std::size_t) {
                    if (error)
                        return self->close();
                    self->outgoing_.pop_front();
                    if (!self->outgoing_.empty())
                        self->writeNext();
                }));
        }

        void close()
        {
            std::error_code ignored;
            socket_.close(ignored);
        }

        tcp::socket socket_;
        asio::strand<tcp::socket::executor_type> strand_;
        std::shared_ptr<RequestHandler> handler_;
        std::array<char, headerBytes> header_ {};
        FrameHeader frame_;
        std::string payload_;
        std::deque<std::string> outgoing_;
    };

} // namespace

struct RpcServer::State : std::enable_shared_from_this<RpcServer::State> {
    State(asio::io_context& context, RequestHandler requestHandler)
        : acceptor(context)
        , handler(std::make_shared<RequestHandler>(std::move(requestHandler)))
    {
    }

    void accept()
    {
        std::lock_guard lock(mutex);
        if (!acceptor.is_open())
            return;
        acceptor.async_accept([self = shared_from_this()](std::error_code error, tcp::socket socket) {
            if (!error) {
                std::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<Connection>(std::move(socket), self->handler)->start();
            }
            self->accept();
        });
    }

    void close()
    {
        std::lock_guard lock(mutex);
        std::error_code ignored;
        acceptor.close(ignored);
    }

    std::mutex mutex; //!< guards `acceptor`, which any thread may close while a thread of the io_context accepts again
    tcp::acceptor acceptor;
    std::shared_ptr<RequestHandler> handler;
    int port = 0;
};

RpcServer::RpcServer(asio::io_context& context, RequestHandler handler)
    : state_(std::make_shared<State>(context, std::move(handler)))
{
}

RpcServer::~RpcServer()
{
    close();
}

std::error_code RpcServer::listen(const PeerAddress& address)
{
    std::error_code error;
    auto ip = asio::ip::make_address(address.address, error);
    if (error)
        return error;
    tcp::endpoint endpoint(ip, static_cast<unsigned short>(address.port));
    state_->acceptor.open(endpoint.protocol(), error);
    if (!error)
        state_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        state_->acceptor.bind(endpoint, error);
    if (!error)
        state_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    state_->port = state_->acceptor.local_endpoint().port();
    state_->accept();
    return {};
}

int RpcServer::port() const
{
    return state_->port;
}

void RpcServer::close()
{
    state_->close();
}

} // namespace agatevane::net
