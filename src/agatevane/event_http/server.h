#pragma once

#include "agatevane/event_http/byte_budget.h"
#include "agatevane/event_http/message.h"
#include "agatevane/event_http/server_limits.h"
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace agatevane::event_http {

//! Sends the response to one request; called at most once, at any time, on the event loop's thread.
using Respond = std::function<void(Response response)>;
using Handler = std::function<void(Request request, Respond respond)>;

//! A connection was closed or refused because of a limit. `refusedRequests` had begun or were queued on it; none of
//! them has reached the handler.
using CloseObserver = std::function<void(CloseReason reason, std::size_t refusedRequests)>;

struct ServerOptions {
    ServerLimits limits;
    std::shared_ptr<ByteBudget> budget; //!< null: the memory of the connections is not limited
    Audience audience = Audience::Callers; //!< whose share of the budget is used
    CloseObserver closed; //!< null: nobody is told
};

//! Serves requests on one address. Requests of one connection are answered one after the other. A request that is
//! refused because of a limit is never handed to the handler.
//! All members are called on the event loop's thread.
class Server {
public:
    Server(asio::io_context& context, Handler handler, const MessageLimits& limits = {});
    Server(asio::io_context& context, Handler handler, ServerOptions options);
    //! Closes all connections.
    ~Server();

    //! If `port` is 0, the system chooses a free port.
    std::error_code listen(const std::string& address, int port);
    int port() const;
    //! From now on, each response asks the client to close its connection.
    void startDraining();
    //! Stops accepting connections and closes those that have no request in progress.
    void closeListenerAndIdleConnections();
    //! Requests that were read completely and whose responses are not written completely yet.
    int requestsInProgress() const;
    std::size_t connectionCount() const;

    struct State;

private:
    std::shared_ptr<State> state_;
};

} // namespace agatevane::event_http
