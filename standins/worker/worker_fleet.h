#pragma once

#include "standins/worker/worker.h"
#include <memory>
#include <vector>

namespace agatevane::standin {

struct FleetSettings {
    WorkerSettings worker; //!< template of all workers; name, rack, port and clock offset are set for each worker
    std::string namePrefix; //!< empty: "<data centre>-w"
    int count = 1;
    int rackSize = 8;
    int firstPort = 0; //!< 0: any free ports
    int controlPort = 0;
    std::uint64_t seed = 1;
};

//! The workers of one data centre, with one control port for all of them.
class WorkerFleet {
public:
    explicit WorkerFleet(const FleetSettings& settings);

    std::error_code start();
    void stop();
    int controlPort() const { return control_.port(); }
    std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }
    //! {"control": port, "workers": [{"id", "rack", "address", ...}]}; each worker in the form of a catalogue entry.
    nlohmann::json describe() const;

private:
    void addControlRoutes();
    void routeAction(const std::string& action, std::function<void(Worker&, const nlohmann::json& body)> apply);
    void routeLog(const std::string& name, nlohmann::json (Worker::*log)());

    FleetSettings settings_;
    std::vector<std::unique_ptr<Worker>> workers_;
    http::Server control_;
};

} // namespace agatevane::standin
