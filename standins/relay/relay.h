#pragma once

#include "agatevane/http/server.h"
#include "standins/relay/link.h"
#include <asio/executor_work_guard.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

namespace agatevane::standin {

struct LinkSettings {
    std::string name;
    std::string protocol = "tcp"; //!< "tcp" or "udp"
    int port = 0; //!< port to listen on; 0: any free port
    std::string targetAddress = "127.0.0.1";
    int targetPort = 0;
    std::string listenAddress; //!< empty: the address of the relay
};

//! Reads "name=protocol:ip:port" or "name=protocol:listenPort:ip:port". False if the text has neither form.
bool parseLink(const std::string& text, LinkSettings& link);

//! A set of links, and a control port through which tests cut, delay and stall them.
class Relay {
public:
    Relay(std::string address, int controlPort);
    ~Relay();

    std::error_code start();
    void stop();
    int controlPort() const { return control_.port(); }

    //! Adds a link. Returns the port on which it listens, or 0 if it cannot listen.
    int add(const LinkSettings& settings);

    //! Applies to all links whose name matches `pattern`, in which a final '*' matches any suffix. Returns
    //! the number of links to which the state was applied.
    int apply(const std::string& pattern, const LinkState& state);
    //! Resets the connections of all links whose name matches `pattern`.
    void reset(const std::string& pattern);

    //! {"control": port, "links": {name: {port, connections, bytes, dropped}}}
    nlohmann::json describe();

private:
    void addControlRoutes();
    //! Runs `function` on the thread of the links and waits until it has returned.
    void runOnLinks(const std::function<void()>& function);

    std::string address_;
    int requestedControlPort_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::map<std::string, std::unique_ptr<Link>> links_;
    http::Server control_;
    std::thread thread_;
};

} // namespace agatevane::standin
