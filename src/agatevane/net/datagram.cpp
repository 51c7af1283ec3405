#include "agatevane/net/rpc.h"

#include "agatevane/base/error.h"
#include <array>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>

namespace agatevane::net {

using asio::ip::udp;

struct DatagramSocket::State : std::enable_shared_from_this<DatagramSocket::State> {
    State(asio::io_context& context, DatagramHandler datagramHandler)
        : strand(asio::make_strand(context))
        , socket(strand)
        , handler(std::move(datagramHandler))
    {
    }

    void receive()
    {
        socket.async_receive_from(
            asio::buffer(buffer), sender, [self = shared_from_this()](std::error_code error, std::size_t size) {
                if (!self->socket.is_open())
                    return;
                if (!error && size <= maxDatagramBytes) {
                    PeerAddress from { self->sender.address().to_string(), self->sender.port() };
                    self->handler(std::string_view(self->buffer.data(), size), from);
                }
                self->receive();
            });
    }

    asio::strand<asio::io_context::executor_type> strand;
    udp::socket socket;
    DatagramHandler handler;
    udp::endpoint sender;
    std::array<char, 2048> buffer {};
    int port = 0;
};

DatagramSocket::DatagramSocket(asio::io_context& context, DatagramHandler handler)
    : state_(std::make_shared<State>(context, std::move(handler)))
{
}

DatagramSocket::~DatagramSocket()
{
    close();
}

std::error_code DatagramSocket::bind(const PeerAddress& address)
{
    std::error_code error;
    auto ip = asio::ip::make_address(address.address, error);
    if (error)
        return error;
    udp::endpoint endpoint(ip, static_cast<unsigned short>(address.port));
    state_->socket.open(endpoint.protocol(), error);
    if (!error)
        state_->socket.bind(endpoint, error);
    if (error)
        return error;
    state_->port = state_->socket.local_endpoint().port();
    asio::post(state_->strand, [state = state_] { state->receive(); });
    return {};
}

int DatagramSocket::port() const
{
    return state_->port;
}

void DatagramSocket::send(std::string bytes, const PeerAddress& to)
{
    if (bytes.size() > maxDatagramBytes)
        return;
    asio::post(state_->strand, [state = state_, bytes = std::move(bytes), to] {
        std::error_code error;
        auto ip = asio::ip::make_address(to.address, error);
        if (error || !state->socket.is_open())
            return;
        // Sending to a stopped peer may fail. The error is ignored: membership detects the peer by its missing answers.
        state->socket.send_to(asio::buffer(bytes), udp::endpoint(ip, static_cast<unsigned short>(to.port)), 0, error);
    });
}

void DatagramSocket::close()
{
    asio::post(state_->strand, [state = state_] {
        std::error_code ignored;
        state->socket.close(ignored);
    });
}

} // namespace agatevane::net
