#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/http/message.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace agatevane::http {

//! Address at which a server listens. `address` is an IP address.
struct Endpoint {
    std::string address;
    int port = 0;
    bool useTls = false;
    std::string caFile; //!< PEM; empty accepts any certificate

    auto operator<=>(const Endpoint&) const = default;
};

//! Reads "ip:port", "http://ip:port" or "https://ip:port". Returns false for any other text.
bool parseEndpoint(std::string_view text, Endpoint& endpoint);

struct ClientResult {
    //! After `Unreachable` there was no connection and no effect. After `Timeout` or `Disconnected` the request may
    //! have taken effect.
    std::error_code error;
    int status = 0;
    Headers headers;
    std::string body;
};

//! A thread-safe client of one server. Keeps idle connections for reuse.
class Client {
public:
    explicit Client(const Endpoint& endpoint);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    ClientResult request(const std::string& method, const std::string& path, const std::string& body, Instant deadline,
        const Headers& headers = {});

    //! Reads a streamed answer until it ends or `onChunk` returns false. `idleTimeout` bounds the time between two
    //! chunks.
    std::error_code stream(const std::string& method, const std::string& path, const std::string& body,
        Millis idleTimeout, const std::function<bool(std::string_view)>& onChunk);

    //! Disconnects the streams that are open now, so that threads blocked in `stream` return. A stream that is still
    //! connecting is not affected; repeat the call until those threads have ended.
    void abortStreams();

    const Endpoint& endpoint() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace agatevane::http
