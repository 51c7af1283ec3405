//! The machines on which the modelled workers run, and the control paths for tests.
#include "agatevane/base/base64.h"
#include "agatevane/json/reader.h"
#include "platform/wire.h"
#include "standins/platform/platform_server.h"
#include "standins/platform/replies.h"

namespace agatevane::standin {

namespace {

    using event_http::Request;
    using nlohmann::json;

    //! Time for which a machine is down for its upkeep.
    constexpr std::int64_t upkeepDurationMs = 2000;
    //! Remaining time that a worker announces when it starts to drain; it stays at least this long.
    constexpr std::int64_t drainNoticeMs = 2500;

} // namespace

void PlatformServer::handleMachines(const Request& request, const Respond& respond)
{
    if (pathOf(request.target) == "/api/machines") {
        auto rows = json::array();
        for (const auto& [id, machine] : machines_)
            rows.push_back({ { "machine", id }, { "pool", options_.service },
                { "state", machine.upkeepEndsAtMs >= 0 ? "upkeep" : "up" }, { "zone", "zone-a" },
                { "id", machine.worker } });
        return respond(reply(platform::statusOk, { { "machines", rows }, { "nextPageToken", nullptr } }));
    }
    auto body = json::parse(request.body, nullptr, false);
    if (request.target != "/api/machine-upkeep" || !body.is_object()
        || event_http::headerOf(request.headers, "x-agatevane-duty-holder").empty())
        return respond(reply(platform::statusBadRequest));
    respond(startUpkeep(body));
}

event_http::Response PlatformServer::startUpkeep(const Json& body)
{
    auto found = machines_.find(platform::textOrEmpty(body, "machine"));
    auto wave = platform::integerOr(body, "wave", 0);
    if (found == machines_.end())
        return reply(platform::statusBadRequest);
    auto& machine = found->second;
    if (machine.startedWaves.contains(wave))
        return reply(platform::statusOk);
    if (machine.upkeepEndsAtMs >= 0)
        return reply(platform::statusConflict, { { "reason", "busy" } });
    machine.startedWaves.insert(wave);
    machine.upkeepEndsAtMs = modelMillis() + upkeepDurationMs;
    if (workers_.isUp(machine.worker))
        workers_.crash(machine.worker, modelMillis());
    return reply(platform::statusOk);
}

void PlatformServer::finishUpkeeps()
{
    for (auto& [id, machine] : machines_) {
        if (machine.upkeepEndsAtMs < 0 || modelMillis() < machine.upkeepEndsAtMs)
            continue;
        auto listing = workers_.listing(machine.worker);
        listing.id = "i-" + id.substr(2) + "-" + std::to_string(++machine.upkeeps);
        if (!addWorker(listing))
            continue;
        machine.worker = listing.id;
        machine.upkeepEndsAtMs = -1;
    }
}

//! Writes any bytes under any key, as another writer may. Without a value, the key is removed.
bool PlatformServer::putItem(const std::string& text)
{
    auto body = json::parse(text, nullptr, false);
    auto key = platform::textOrEmpty(body, "key");
    auto value = fromBase64(platform::textOrEmpty(body, "value"));
    if (key.empty() || !value)
        return false;
    kv::Txn txn;
    if (body.contains("value"))
        txn.puts.push_back({ key, *value, 0 });
    else
        txn.deletes.push_back(key);
    kv_.commit(txn, modelMillis());
    return true;
}

bool PlatformServer::putWave(const std::string& text)
{
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return false;
    kv_.commit(
        { {}, { { "op/wave/" + std::to_string(platform::integerOr(body, "wave", 0)), text, 0 } }, {} }, modelMillis());
    return true;
}

//! Control paths for tests:
//! POST /faults {down, losesAnswers, delayMs, lateMs}, /compact, /desired, /waves, /items {key, value in base64},
//! /workers/ID/(restart|crash|drain|fail|mend|publish|late).
//! GET /runs, /workers, /status.
void PlatformServer::handleControl(const Request& request, const Respond& respond)
{
    if (request.target == "/runs") {
        auto runs = json::array();
        for (const auto& record : workers_.history())
            runs.push_back({ { "task", fleet::toString(record.key.first) }, { "run", record.key.second },
                { "worker", record.worker }, { "beganMs", record.beganMs }, { "endedMs", record.endedMs },
                { "how", record.end ? std::string(nameOf(*record.end)) : std::string() },
                { "isNoted", record.wasAcknowledgedInTime } });
        return respond(reply(platform::statusOk, runs));
    }
    if (request.target == "/waves")
        return respond(reply(putWave(request.body) ? platform::statusOk : platform::statusBadRequest));
    if (request.target == "/items")
        return respond(reply(putItem(request.body) ? platform::statusOk : platform::statusBadRequest));
    if (request.target == "/status") {
        auto status = json::object();
        for (const auto& item : kv_.list("status/", modelMillis()).items)
            status[item.key] = item.value;
        return respond(reply(platform::statusOk, status));
    }
    if (request.target == "/workers") {
        auto ports = json::object();
        for (const auto& [id, endpoint] : endpoints_)
            ports[id] = endpoint.server->port();
        return respond(reply(platform::statusOk, ports));
    }
    if (request.target == "/desired") {
        putDesiredState(request.body);
        return respond(reply(platform::statusOk));
    }
    if (request.target == "/compact") {
        kv_.compact();
        return respond(reply(platform::statusOk));
    }
    if (request.target == "/faults") {
        auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return respond(reply(platform::statusBadRequest));
        faults_ = { platform::flagOrFalse(body, "down"), platform::flagOrFalse(body, "losesAnswers"),
            static_cast<int>(platform::integerOr(body, "delayMs", 0)),
            static_cast<int>(platform::integerOr(body, "lateMs", 0)) };
        return respond(reply(platform::statusOk));
    }
    constexpr std::string_view workersPath = "/workers/";
    auto slash = request.target.rfind('/');
    if (!request.target.starts_with(workersPath) || slash < workersPath.size())
        return respond(reply(statusNotFound));
    auto worker = request.target.substr(workersPath.size(), slash - workersPath.size());
    auto action = request.target.substr(slash + 1);
    if (!endpoints_.contains(worker))
        return respond(reply(statusNotFound));
    if (action == "restart") {
        if (!restartWorker(worker))
            return respond(reply(platform::statusUnavailable));
    } else if (action == "crash")
        workers_.crash(worker, modelMillis());
    else if (action == "drain")
        workers_.drain(worker, modelMillis() + drainNoticeMs);
    else if (action == "fail")
        workers_.setFailing(worker, true);
    else if (action == "mend")
        workers_.setFailing(worker, false);
    else if (action == "late")
        endpoints_.at(worker).unansweredDelayMs = std::atoi(request.body.c_str());
    else if (action == "publish")
        endpoints_.at(worker).publishedAddress = request.body;
    else
        return respond(reply(statusNotFound));
    respond(reply(platform::statusOk));
}

void PlatformServer::putDesiredState(const std::string& text)
{
    kv_.commit({ {}, { { "op/config", text, 0 } }, {} }, modelMillis());
}

} // namespace agatevane::standin
