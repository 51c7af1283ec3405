#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

//! A small blocking HTTP/1.1 server and client on loopback addresses, one thread for each connection.
namespace rig {

//! Milliseconds on the steady clock.
std::int64_t nowMs();
//! Milliseconds since 1970.
std::int64_t unixMs();
void sleepMs(std::int64_t duration);

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; //!< names in lower case
    std::string body;
};

enum class Delivery {
    Answer,
    NoAnswer, //!< the channel returns nothing further
    Reset //!< the channel is reset
};

struct HttpReply {
    int status = 200;
    std::string body;
    Delivery delivery = Delivery::Answer;
};

class HttpServer {
public:
    using Handler = std::function<HttpReply(const HttpRequest&)>;

    //! Listens on a free port of `address`, or on `port`. Ends the program if that fails.
    HttpServer(const std::string& address, Handler handler, int port = 0, int backlog = 128);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    int port() const { return port_; }
    //! Closes the listener and resets all connections.
    void stop();
    //! Neither accepts channels nor reads requests until resumed, as an overloaded process. What has arrived until then
    //! is dropped: those channels are reset when the server resumes.
    void setStalled(bool isStalled);

private:
    struct State;

    std::shared_ptr<State> state_;
    int port_ = 0;
};

struct HttpResult {
    int status = 0; //!< 0: no answer
    std::string body;
};

//! Sends one request on a channel of its own.
HttpResult send(const std::string& address, int port, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs);

//! Different ports of `address` that were free just now.
std::vector<int> freePorts(const std::string& address, int count);

} // namespace rig
