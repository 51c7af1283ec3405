#include "standins/relay/link.h"

#include <asio/buffer.hpp>

namespace agatevane::standin {

using asio::ip::udp;

struct UdpLink::Flow {
    Flow(asio::io_context& context, const udp::endpoint& from)
        : socket(context, udp::endpoint(from.protocol(), 0))
        , sender(from)
    {
    }

    udp::socket socket;
    udp::endpoint sender; //!< receives the answers
    udp::endpoint answerer;
    std::array<char, 65536> buffer {};
};

UdpLink::UdpLink(asio::io_context& context, const udp::endpoint& listen, udp::endpoint target)
    : context_(context)
    , target_(std::move(target))
    , socket_(context, listen)
{
    receive();
}

void UdpLink::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
        [this, alive = std::weak_ptr(alive_)](std::error_code error, std::size_t length) {
            if (error == asio::error::operation_aborted || alive.expired())
                return;
            if (!error) {
                auto& flow = flows_[sender_];
                if (!flow) {
                    ++counts_.connections;
                    flow = std::make_shared<Flow>(context_, sender_);
                    receiveAnswers(flow);
                }
                forward(flow->socket, flow, std::string(buffer_.data(), length), target_);
            }
            receive();
        });
}

void UdpLink::receiveAnswers(const std::shared_ptr<Flow>& flow)
{
    flow->socket.async_receive_from(asio::buffer(flow->buffer), flow->answerer,
        [this, weak = std::weak_ptr<Flow>(flow)](std::error_code error, std::size_t length) {
            auto flow = weak.lock(); // The link owns its flows, so an expired flow means that the link was destroyed.
            if (!flow || error == asio::error::operation_aborted)
                return;
            if (!error)
                forward(socket_, flow, std::string(flow->buffer.data(), length), flow->sender);
            receiveAnswers(flow);
        });
}

void UdpLink::forward(
    udp::socket& socket, const std::shared_ptr<Flow>& flow, std::string bytes, const udp::endpoint& to)
{
    if (state_.isCut || state_.isStalled) {
        ++counts_.dropped;
        return;
    }
    counts_.bytes += bytes.size();
    std::error_code ignored; // A datagram that can't be sent is lost without notice.
    if (state_.delay.count() == 0) {
        socket.send_to(asio::buffer(bytes), to, 0, ignored);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, state_.delay);
    timer->async_wait(
        [timer, &socket, weak = std::weak_ptr<Flow>(flow), bytes = std::move(bytes), to](std::error_code error) {
            auto flow = weak.lock();
            std::error_code ignored;
            if (!error && flow)
                socket.send_to(asio::buffer(bytes), to, 0, ignored);
        });
}

} // namespace agatevane::standin
