#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace agatevane::standin {

//! The faults that a test sets on a link.
struct LinkState {
    bool isCut = false; //!< TCP: refuses connections and closes existing ones; UDP: drops everything
    bool isStalled = false; //!< TCP: forwards nothing and keeps connections; UDP: drops everything
    bool holdsAnswers = false; //!< TCP: forwards only what the connecting side sends
    std::chrono::milliseconds delay { 0 }; //!< added in each direction
    std::uint64_t bytesPerSecond = 0; //!< TCP: rate of all connections together, in each direction; 0: no limit
};

struct LinkCounts {
    std::uint64_t connections = 0;
    std::uint64_t bytes = 0;
    std::uint64_t dropped = 0; //!< number of dropped datagrams
};

//! Forwards one listening port to one target. All members are used only on the single thread of the io_context.
class Link {
public:
    virtual ~Link() = default;
    virtual int port() const = 0;
    virtual void apply(const LinkState& state) = 0;
    //! TCP: resets the existing connections on both sides.
    virtual void reset() { }
    const LinkCounts& counts() const { return counts_; }

protected:
    LinkState state_;
    LinkCounts counts_;
    //! Queued handlers hold a weak pointer to this, to detect that the link was destroyed before they run.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

class TcpLink : public Link {
public:
    //! Port 0 selects a free port, which stays the same after a cut. Throws std::system_error if it cannot listen.
    TcpLink(asio::io_context& context, const asio::ip::tcp::endpoint& listen, asio::ip::tcp::endpoint target);
    ~TcpLink() override;

    int port() const override { return listen_.port(); }
    void apply(const LinkState& state) override;
    void reset() override;

private:
    struct Session;

    //! The time at which the link has carried one of its directions' bytes.
    using BusyUntil = std::chrono::steady_clock::time_point;

    void open();
    void accept();
    std::chrono::nanoseconds queueBytes(BusyUntil& direction, std::size_t length) const;

    asio::io_context& context_;
    BusyUntil toServerBusyUntil_;
    BusyUntil toClientBusyUntil_;
    asio::ip::tcp::endpoint listen_;
    asio::ip::tcp::endpoint target_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Session>> sessions_;
};

class UdpLink : public Link {
public:
    UdpLink(asio::io_context& context, const asio::ip::udp::endpoint& listen, asio::ip::udp::endpoint target);

    int port() const override { return socket_.local_endpoint().port(); }
    void apply(const LinkState& state) override { state_ = state; }

private:
    struct Flow; //!< forwards the datagrams of one sender and the answers to them

    void receive();
    void receiveAnswers(const std::shared_ptr<Flow>& flow);
    //! Sends the datagram after the link's delay, or drops it if the link is cut or stalled.
    void forward(asio::ip::udp::socket& socket, const std::shared_ptr<Flow>& flow, std::string bytes,
        const asio::ip::udp::endpoint& to);

    asio::io_context& context_;
    asio::ip::udp::endpoint target_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sender_;
    std::array<char, 65536> buffer_ {};
    std::map<asio::ip::udp::endpoint, std::shared_ptr<Flow>> flows_;
};

} // namespace agatevane::standin
