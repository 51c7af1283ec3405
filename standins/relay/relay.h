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
    std::string protocol = "tcp"; //!< or "udp"
    int port = 0; //!< to listen on; 0: any
    std::string targetAddress = "127.0.0.1";
    int targetPort = 0;
};

//! Reads "name=protocol:ip:port" or "name=protocol:listenPort:ip:port". False if the text is neither.
bool parseLink(const std::string& text, LinkSettings& link);

//! Many links and a control port that cuts, delays and stalls them.
class Relay {
public:
    Relay(std::string address, int controlPort);
    ~Relay();

    std::error_code start();
    void stop();
    int controlPort() const { return control_.port(); }

    //! The port on which the link listens; 0 if it cannot.
    int add(const LinkSettings& settings);

    //! Applies to all links whose name matches `pattern`, in which a final '*' stands for any rest. Returns how many.
    int apply(const std::string& pattern, const LinkState& state);
    //! Resets the connections of all links whose name matches.
    void reset(const std::string& pattern);

    //! {"control": port, "links": {name: {port, connections, bytes, dropped}}}
    nlohmann::json describe();

private:
    void addControlRoutes();
    //! Runs on the thread of the links and waits for the end.
    void runOnLinks(const std::function<void()>& function);

    std::string address_;
    int settledControlPort_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::map<std::string, std::unique_ptr<Link>> links_;
    http::Server control_;
    std::thread thread_;
};

} // namespace agatevane::standin
