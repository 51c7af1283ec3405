#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/http/server.h"
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace agatevane::standin {

struct VmListSettings {
    std::string address = "127.0.0.1";
    int port = 0;
    int controlPort = 0;
    std::int64_t lagMs = 2000; //!< age of the list that is served
};

//! Serves the platform's list of VMs: GET /v1/vms returns the list that the control path had set `lagMs` ago.
class VmListServer {
public:
    explicit VmListServer(const VmListSettings& settings);

    std::error_code start();
    void stop();
    int port() const { return server_.port(); }
    int controlPort() const { return control_.port(); }

    //! Replaces the list from `at` on. `vms` is an array of {name, dataCentre, address, state}.
    void set(nlohmann::json vms, Instant at);
    nlohmann::json listAt(Instant at);

private:
    struct Version {
        Instant since;
        nlohmann::json vms;
    };

    VmListSettings settings_;
    std::mutex mutex_;
    std::deque<Version> versions_; //!< in order of time; the first one is served
    bool isDown_ = false;
    http::Server server_;
    http::Server control_;
};

} // namespace agatevane::standin
