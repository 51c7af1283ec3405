#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

//! A small HTTP/1.1 server with one thread, and blocking calls for clients.
namespace rig {

//! A loopback address of this process's own, so that runs beside each other don't take each other's ports.
const std::string& ownAddress();
//! Milliseconds of the machine's steady clock.
std::int64_t steadyMs();
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

using Headers = std::map<std::string, std::string>;

struct Request {
    std::string method;
    std::string target;
    Headers headers; //!< names in lower case
    std::string body;
};

struct Response {
    int status = 0; //!< 0: no answer
    std::string body;
};

class Server {
public:
    using Respond = std::function<void(int status, const std::string& body)>;
    using Handler = std::function<void(const Request& request, const Respond& respond)>;

    Server();
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    //! Listens at a free port of ownAddress(), which is returned. Only before start().
    int listen(Handler handler);
    //! `tick` is called every few milliseconds. Handlers and `tick` run on one thread and hold mutex().
    void start(std::function<void()> tick);
    void stop();
    std::mutex& mutex() { return mutex_; }

private:
    struct Connection;
    struct Listener {
        int socket = -1;
        Handler handler;
    };

    void run();
    void acceptFrom(const Listener& listener);
    bool receive(const std::shared_ptr<Connection>& connection);
    static void flush(Connection& connection);

    std::vector<Listener> listeners_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::function<void()> tick_;
    std::mutex mutex_;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

//! Sends one request on a connection of its own. The status is 0 if no complete answer comes within `timeoutMs`.
Response call(int port, const std::string& method, const std::string& target, const Headers& headers,
    const std::string& body, std::int64_t timeoutMs);

//! A port of ownAddress() that is free, and so are the next `count` - 1.
int freePorts(int count);

} // namespace rig
