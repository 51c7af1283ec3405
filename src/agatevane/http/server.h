#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/http/message.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace agatevane::http {

//! Bounds that prevent slow or malicious clients from using up the threads and memory of the server.
struct ServerLimits {
    int threads = 32; //!< requests served at the same time
    int queuedConnections = 256; //!< accepted connections that wait for a thread; more are answered with 503
    std::size_t maxBodyBytes = 1 << 20;
    Millis readTimeout { 5000 };
    Millis writeTimeout { 5000 };
    Millis keepAliveTimeout { 1000 }; //!< an idle connection holds a thread, so this is short
    int keepAliveRequests = 1000;
};

struct TlsFiles {
    std::string certificate; //!< path of a PEM file with the certificate chain
    std::string privateKey; //!< path of a PEM file
};

using Handler = std::function<void(const Request&, Response&)>;

//! Produces the next chunk of a streamed answer and returns false at the end of the stream. It may block for at most a
//! few hundred milliseconds. An empty chunk is not sent.
using ChunkSource = std::function<bool(std::string& chunk)>;
using StreamHandler = std::function<ChunkSource(const Request&, Response&)>;

//! An HTTP/1.1 server that uses one thread for each request in progress.
class Server {
public:
    explicit Server(const ServerLimits& limits = {}, const std::optional<TlsFiles>& tls = std::nullopt);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    //! `pattern` is an ECMAScript regular expression that must match the whole path. Call before `start`.
    void route(const std::string& method, const std::string& pattern, Handler handler);
    void routeStream(const std::string& method, const std::string& pattern, StreamHandler handler);

    //! Binds to an IP address; port 0 chooses a free port. `Errc::Refused` if the address is taken or the TLS files are
    //! unusable.
    std::error_code bind(const std::string& address, int port);
    int port() const;

    //! Starts to accept connections on a separate thread.
    void start();

    //! Accepts no more connections, finishes the requests in progress and joins all threads.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace agatevane::http
