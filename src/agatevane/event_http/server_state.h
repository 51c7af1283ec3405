#pragma once

#include "agatevane/event_http/server.h"
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <set>

namespace agatevane::event_http {

class ServerConnection;

//! What the connections of one server share.
struct Server::State : std::enable_shared_from_this<Server::State> {
    State(asio::io_context& context, Handler requestHandler, ServerOptions serverOptions);

    void accept();
    void stop();
    Pressure pressure() const;
    void noteClosed(CloseReason reason, std::size_t refusedRequests) const;
    //! Closes connections while the pressure is critical.
    void relieveCriticalPressure();
    //! Lets the connections read that wait for the pressure to fall, if it has fallen.
    void resumeReading();
    //! Starts accepting, and checking deadlines and the pressure once a second.
    void start();

    asio::ip::tcp::acceptor acceptor;
    Handler handler;
    ServerOptions options;
    int port = 0;
    bool isDraining = false;
    int requestsInProgress = 0;
    std::set<ServerConnection*> connections; //!< also closed ones that the event loop has not given up yet
    std::size_t openConnections = 0;
    std::map<asio::ip::address, std::size_t> connectionsOfSource; //!< empty if the number is not limited
    std::deque<std::shared_ptr<ServerConnection>> waiting; //!< have bytes to read once the pressure has fallen
    std::array<char, 16384> readBuffer {}; //!< all connections read into it, one after the other

private:
    void admit(asio::ip::tcp::socket socket);
    bool makeRoomFor(const asio::ip::address& source);
    bool closeLongestIdle();
    void acceptLater();
    void sweepLater();
    void sweep();
    void closeOverdue(Instant at);
    //! Closes connections, those first that hold the most memory for the least progress, until `isEnough`.
    void closeLargest(Instant at, const std::function<bool()>& isEnough);

    asio::steady_timer sweepTimer_;
    asio::steady_timer acceptTimer_;
    Instant sweepDueAt_;
    bool isStopped_ = false;
};

} // namespace agatevane::event_http
