#include "rig/relay.h"

#include <array>
#include <asio/write.hpp>
#include <vector>

namespace review {

using asio::ip::tcp;

struct Relay::Pump {
    explicit Pump(asio::io_context& context)
        : from(context)
    {
    }

    tcp::socket from;
    std::array<char, 65536> buffer {};
    std::string held; //!< read and not forwarded yet
    bool hasEnded = false; //!< `from` sends nothing more
    bool isWriting = false;
};

struct Relay::Session {
    Session(asio::io_context& context, Relay& owner)
        : relay(owner)
        , client(context)
        , target(context)
    {
    }

    Pump& pump(bool isToTarget) { return isToTarget ? client : target; }
    tcp::socket& sink(bool isToTarget) { return isToTarget ? target.from : client.from; }
    void close()
    {
        std::error_code ignored;
        client.from.close(ignored);
        target.from.close(ignored);
    }

    Relay& relay;
    Pump client;
    Pump target;
};

Relay::Relay(asio::io_context& context, Record& record, std::string name)
    : context_(context)
    , record_(record)
    , name_(std::move(name))
    , acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
{
    accept();
}

int Relay::port() const
{
    return acceptor_.local_endpoint().port();
}

void Relay::setCut(bool isCut)
{
    record_.line(name_ + (isCut ? " is cut" : " is whole again"));
    isCut_ = isCut;
    auto sessions = std::exchange(sessions_, {});
    for (const auto& each : sessions) {
        auto session = each.lock();
        if (!session)
            continue;
        sessions_.push_back(each);
        if (isCut)
            continue;
        // Opened during the cut: nothing of it has arrived.
        if (!session->target.from.is_open()) {
            session->close();
            continue;
        }
        deliver(session, true);
        deliver(session, false);
    }
}

void Relay::accept()
{
    auto session = std::make_shared<Session>(context_, *this);
    acceptor_.async_accept(session->client.from, [this, session](std::error_code error) {
        if (error)
            return;
        accept();
        sessions_.push_back(session);
        if (isCut_)
            return read(session, true);
        tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(targetPort_));
        session->target.from.async_connect(endpoint, [session](std::error_code failure) {
            if (failure)
                return session->close();
            std::error_code ignored;
            session->client.from.set_option(tcp::no_delay(true), ignored);
            session->target.from.set_option(tcp::no_delay(true), ignored);
            read(session, true);
            read(session, false);
        });
    });
}

void Relay::read(const std::shared_ptr<Session>& session, bool isToTarget)
{
    auto& pump = session->pump(isToTarget);
    pump.from.async_read_some(
        asio::buffer(pump.buffer), [session, isToTarget](std::error_code error, std::size_t size) {
            auto& current = session->pump(isToTarget);
            if (error && error != asio::error::eof)
                return session->close();
            current.held.append(current.buffer.data(), size);
            current.hasEnded = error == asio::error::eof;
            deliver(session, isToTarget);
            if (!current.hasEnded)
                read(session, isToTarget);
        });
}

void Relay::deliver(const std::shared_ptr<Session>& session, bool isToTarget)
{
    auto& pump = session->pump(isToTarget);
    if (session->relay.isCut_ || pump.isWriting || !session->target.from.is_open())
        return;
    if (pump.held.empty()) {
        std::error_code ignored;
        if (pump.hasEnded)
            session->sink(isToTarget).shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    pump.isWriting = true;
    auto bytes = std::make_shared<std::string>(std::exchange(pump.held, {}));
    asio::async_write(session->sink(isToTarget), asio::buffer(*bytes),
        [session, bytes, isToTarget](std::error_code error, std::size_t) {
            session->pump(isToTarget).isWriting = false;
            if (error)
                return session->close();
            deliver(session, isToTarget);
        });
}

} // namespace review
