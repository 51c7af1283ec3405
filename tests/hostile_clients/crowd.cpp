#include "crowd.h"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <netinet/tcp.h>

namespace agatevane::test {

namespace {

    using asio::ip::tcp;

    constexpr Millis reconnectDelay { 500 };
    constexpr Millis slowReadDelay { 200 };

} // namespace

class Crowd::Client : public std::enable_shared_from_this<Client> {
public:
    Client(Crowd& crowd, const tcp::endpoint& server, const Behaviour& behaviour)
        : crowd_(crowd)
        , server_(server)
        , behaviour_(behaviour)
        , socket_(crowd.context_)
        , timer_(crowd.context_)
        , readTimer_(crowd.context_)
    {
    }

    void connect()
    {
        std::error_code ignored;
        socket_ = tcp::socket(crowd_.context_);
        socket_.open(tcp::v4(), ignored);
        if (behaviour_.reading != Reading::Prompt)
            receiveLittle();
        sentParts_ = 0;
        offset_ = 0;
        ++connection_;
        socket_.async_connect(server_, [self = shared_from_this(), number = connection_](std::error_code error) {
            if (error)
                return self->lose(number);
            self->write(number);
            if (self->behaviour_.reading != Reading::Never)
                self->read(number);
        });
    }

private:
    //! Small segments and a small receive buffer keep the kernel from taking answers that the client does not read.
    void receiveLittle()
    {
        std::error_code ignored;
        constexpr int bufferBytes = 1; // the kernel takes its least size
        constexpr int segmentBytes = 1400;
        socket_.set_option(asio::socket_base::receive_buffer_size(bufferBytes), ignored);
        using SegmentSize = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
        socket_.set_option(SegmentSize(segmentBytes), ignored);
    }

    void write(std::size_t number)
    {
        const auto& part = sentParts_ == 0 ? behaviour_.opening : behaviour_.repeated;
        if (offset_ >= part.size()) {
            offset_ = 0;
            ++sentParts_;
            if (sentParts_ > behaviour_.repetitions || behaviour_.repeated.empty())
                return noteActed();
            return write(number);
        }
        auto size = std::min(behaviour_.pieceBytes, part.size() - offset_);
        socket_.async_write_some(asio::buffer(part.data() + offset_, size),
            [self = shared_from_this(), number](std::error_code error, std::size_t written) {
                if (error)
                    return self->lose(number);
                self->offset_ += written;
                if (self->behaviour_.pause == Millis(0))
                    return self->write(number);
                self->noteActed();
                self->timer_.expires_after(self->behaviour_.pause);
                self->timer_.async_wait([self, number](std::error_code failure) {
                    if (!failure && number == self->connection_)
                        self->write(number);
                });
            });
    }

    void read(std::size_t number)
    {
        auto size = behaviour_.reading == Reading::Slow ? 1 : bytes_.size();
        socket_.async_read_some(
            asio::buffer(bytes_.data(), size), [self = shared_from_this(), number](std::error_code error, std::size_t) {
                if (error)
                    return self->lose(number);
                if (self->behaviour_.reading == Reading::Prompt)
                    return self->read(number);
                self->readTimer_.expires_after(slowReadDelay);
                self->readTimer_.async_wait([self, number](std::error_code failure) {
                    if (!failure && number == self->connection_)
                        self->read(number);
                });
            });
    }

    void lose(std::size_t number)
    {
        if (number != connection_)
            return;
        ++connection_;
        noteActed();
        std::error_code ignored;
        socket_.close(ignored);
        timer_.expires_after(reconnectDelay);
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error)
                self->connect();
        });
    }

    void noteActed()
    {
        if (!std::exchange(hasActed_, true))
            ++crowd_.actedClients_;
    }

    Crowd& crowd_;
    tcp::endpoint server_;
    const Behaviour& behaviour_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer readTimer_;
    std::array<char, 4096> bytes_ {};
    std::size_t sentParts_ = 0;
    std::size_t offset_ = 0; //!< within the current part
    std::size_t connection_ = 0; //!< number of the current connection; completions of earlier ones are ignored
    bool hasActed_ = false;
};

Crowd::Crowd(const net::PeerAddress& server, std::size_t clients, std::vector<Behaviour> behaviours)
    : behaviours_(std::move(behaviours))
    , clients_(clients)
{
    tcp::endpoint endpoint(asio::ip::make_address(server.address), static_cast<unsigned short>(server.port));
    for (std::size_t index = 0; index < clients; ++index)
        std::make_shared<Client>(*this, endpoint, behaviours_.at(index % behaviours_.size()))->connect();
    thread_ = std::thread([this] { context_.run(); });
}

Crowd::~Crowd()
{
    context_.stop();
    thread_.join();
}

} // namespace agatevane::test
