#include "standins/worker/worker_fleet.h"

#include "agatevane/json/reader.h"

namespace agatevane::standin {

WorkerFleet::WorkerFleet(const FleetSettings& settings)
    : settings_(settings)
    , control_(http::ServerLimits { .threads = 4 })
{
    if (settings_.namePrefix.empty())
        settings_.namePrefix = settings_.worker.dataCentre.value + "-w";
    Random random(settings_.seed);
    for (int i = 0; i < settings_.count; ++i) {
        auto worker = settings_.worker;
        worker.name = { settings_.namePrefix + std::to_string(i) };
        worker.rack = { worker.dataCentre.value + "-r" + std::to_string(i / settings_.rackSize) };
        worker.port = settings_.firstPort == 0 ? 0 : settings_.firstPort + i;
        worker.clockOffsetMs = uniform(random, 0, 1'000'000'000);
        // Instance tokens must differ from those of an earlier process with the same seed.
        auto seed = random() ^ static_cast<std::uint64_t>(now().time_since_epoch().count());
        workers_.push_back(std::make_unique<Worker>(std::move(worker), seed));
    }
    addControlRoutes();
}

std::error_code WorkerFleet::start()
{
    for (auto& worker : workers_) {
        if (auto error = worker->start())
            return error;
    }
    if (auto error = control_.bind(settings_.worker.address, settings_.controlPort))
        return error;
    control_.start();
    return {};
}

void WorkerFleet::stop()
{
    control_.stop();
    for (auto& worker : workers_)
        worker->stop();
}

nlohmann::json WorkerFleet::describe() const
{
    auto list = nlohmann::json::array();
    for (const auto& worker : workers_) {
        const auto& settings = worker->settings();
        list.push_back({ { "id", settings.name.value }, { "rack", settings.rack.value },
            { "address", settings.address + ":" + std::to_string(worker->port()) }, { "slots", settings.slots },
            { "connections", settings.connections },
            { "capacity",
                { { "accelerators", settings.capacity.accelerators }, { "cores", settings.capacity.cores },
                    { "memoryMiB", settings.capacity.memoryMiB } } } });
    }
    return { { "control", controlPort() }, { "workers", std::move(list) } };
}

void WorkerFleet::routeAction(const std::string& action, std::function<void(Worker&, const nlohmann::json& body)> apply)
{
    // The name "all" in the path selects every worker.
    control_.route("POST", "/control/workers/([^/]+)/" + action,
        [this, apply = std::move(apply)](const http::Request& request, http::Response& response) {
            Findings findings;
            auto body = nlohmann::json::object();
            if (!request.body.empty())
                json::parse(request.body, "body", body, findings);
            bool isFound = false;
            for (auto& worker : workers_) {
                if (!findings.empty())
                    break;
                if (request.matches.at(1) != "all" && request.matches.at(1) != worker->settings().name.value)
                    continue;
                isFound = true;
                apply(*worker, body);
            }
            response.status = !findings.empty() ? 400 : isFound ? 200 : 404;
            response.body = "{}";
        });
}

void WorkerFleet::routeLog(const std::string& name, nlohmann::json (Worker::*log)())
{
    control_.route("GET", "/control/" + name, [this, log](const http::Request&, http::Response& response) {
        auto all = nlohmann::json::array();
        for (auto& worker : workers_) {
            auto part = ((*worker).*log)();
            if (part.is_array())
                all.insert(all.end(), part.begin(), part.end());
            else
                all.push_back(std::move(part));
        }
        response.body = json::dump(all);
    });
}

void WorkerFleet::addControlRoutes()
{
    control_.route("GET", "/control/workers",
        [this](const http::Request&, http::Response& response) { response.body = json::dump(describe()); });
    routeAction("faults", [](Worker& worker, const nlohmann::json& body) {
        WorkerFaults faults;
        Findings findings;
        json::ObjectReader reader(body, "", findings);
        reader.read("leaving", faults.leaving, json::Presence::Optional);
        reader.read("failsAll", faults.failsAll, json::Presence::Optional);
        reader.read("rejects", faults.rejects, json::Presence::Optional);
        reader.read("silent", faults.silent, json::Presence::Optional);
        reader.read("slowMs", faults.slowMs, json::Presence::Optional, 0, 600000);
        reader.read("dropNext", faults.dropNext, json::Presence::Optional, 0);
        reader.read("dropShare", faults.dropShare, json::Presence::Optional, 0.0, 1.0);
        worker.setFaults(faults);
    });
    routeAction("restart", [](Worker& worker, const nlohmann::json& body) {
        Findings findings;
        bool keepsEpoch = false;
        json::ObjectReader(body, "", findings).read("keepsEpoch", keepsEpoch, json::Presence::Optional);
        worker.restart(keepsEpoch);
    });
    routeLog("runs", &Worker::runs);
    routeLog("executions", &Worker::executions);
    routeLog("counters", &Worker::counters);
}

} // namespace agatevane::standin
