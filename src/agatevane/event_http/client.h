#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/transfer.h"
#include "agatevane/event_http/message.h"
#include "agatevane/net/rpc.h"
#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

namespace agatevane::event_http {

using net::PeerAddress;

//! `error` is `Unreachable` if no byte was sent, so that the request had no effect: also if its deadline had passed
//! before it could be sent, on a clock that counts pauses of the process and suspension of the machine. `Timeout` and
//! `Disconnected` leave open whether it had an effect.
using ResponseHandler = std::function<void(std::error_code error, Response response)>;

//! Totals since the client was created.
struct ClientCounters {
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t timeouts = 0;
};

//! Sends requests over kept-alive connections, one request at a time on each. All members are called on the event
//! loop's thread.
class Client {
public:
    explicit Client(asio::io_context& context);
    ~Client();

    //! `done` is called exactly once, never from within this call. The response may be of any size within the limits.
    void send(const PeerAddress& peer, Request request, const TransferLimits& limits, ResponseHandler done);
    //! For responses of bounded size: the response has to be complete by `deadline`.
    void send(const PeerAddress& peer, Request request, Instant deadline, ResponseHandler done);
    //! Before a connection is opened beyond this number, the one that has been idle for the longest time is closed. If
    //! none is idle, it is opened all the same. No limit by default.
    void limitConnections(std::size_t most);
    //! Connections that are open or being opened.
    std::size_t openConnections() const;
    //! Closes the idle connections to `peer`, for example when it has left.
    void closeIdleConnections(const PeerAddress& peer);
    const ClientCounters& counters() const;

    struct State;

private:
    std::shared_ptr<State> state_;
};

} // namespace agatevane::event_http
