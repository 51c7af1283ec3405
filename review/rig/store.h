#pragma once

#include "agatevane/event_http/server.h"
#include "node/timer.h"
#include "rig/record.h"
#include "standins/platform/kv_model.h"
#include <asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace review {

//! The platform's metadata store over its published HTTP interface, and the list of machines, which is empty.
class Store {
public:
    Store(asio::io_context& context, Record& record);

    int port() const { return server_->port(); }
    //! While the store is down, it answers 503, does nothing, and leases pause.
    void setDown(bool isDown);
    bool isDown() const { return isDown_; }
    void put(const std::string& key, const std::string& value);

private:
    using Request = agatevane::event_http::Request;
    using Respond = agatevane::event_http::Respond;

    std::int64_t millis() const;
    void handle(const Request& request, const Respond& respond);
    void read(const std::string& path, std::map<std::string, std::string> query, const Respond& respond);
    void watch(const std::string& prefix, std::int64_t after, std::int64_t untilMs, const Respond& respond);
    void write(const std::string& method, const std::string& path, const nlohmann::json& body, const Respond& respond);

    asio::io_context& context_;
    Record& record_;
    agatevane::standin::KvModel kv_;
    std::unique_ptr<agatevane::event_http::Server> server_;
    bool isDown_ = false;
    std::int64_t downSinceMs_ = 0;
    std::int64_t pausedMs_ = 0; //!< sum of the ended outages, for which leases did not run
};

agatevane::event_http::Response jsonResponse(int status, const nlohmann::json& body = nlohmann::json::object());

} // namespace review
