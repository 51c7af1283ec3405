#include "machines.h"

#include "record.h"
#include <algorithm>
#include <thread>

namespace rig {

Machines::Machines(Workers& workers, const std::string& address, std::int64_t upkeepMs, int backlog)
    : workers_(workers)
    , upkeepMs_(upkeepMs)
    , server_(
          address, [this](const HttpRequest& request) { return handle(request); }, 0, backlog)
{
    std::thread([this] {
        while (true) {
            sleepMs(10);
            tick();
        }
    }).detach();
}

void Machines::add(const WorkerSpec& spec)
{
    std::lock_guard lock(mutex_);
    machines_[spec.machine].spec = spec;
}

HttpReply Machines::handle(const HttpRequest& request)
{
    if (request.path == "/api/machines" && request.method == "GET")
        return list();
    return request.path == "/api/machine-upkeep" ? beginUpkeep(request) : HttpReply { 404, "{}", Delivery::Answer };
}

HttpReply Machines::list()
{
    std::lock_guard lock(mutex_);
    auto rows = Json::array();
    for (const auto& [name, machine] : machines_) {
        bool isUp = machine.upAgainAtMs == 0;
        rows.push_back({ { "machine", name }, { "pool", "visitdesk" }, { "state", isUp ? "up" : "upkeep" },
            { "zone", "harju-a" }, { "labels", { machine.spec.kind, machine.spec.rack } },
            { "capacity", { { "cpu", 128000 }, { "taskMemoryMb", 262144 }, { "gpu", machine.spec.gpu } } },
            { "id", isUp ? machine.spec.id : "" } });
    }
    return { 200, Json { { "machines", rows } }.dump(), Delivery::Answer };
}

HttpReply Machines::beginUpkeep(const HttpRequest& request)
{
    auto body = Json::parse(request.body, nullptr, false);
    auto headerOf = [&request](const char* name) {
        auto found = request.headers.find(name);
        return found == request.headers.end() ? std::string() : found->second;
    };
    std::lock_guard lock(mutex_);
    UpkeepCall call { nowMs(), body.value("machine", ""), headerOf("x-agatevane-duty-holder"),
        std::stoll("0" + headerOf("x-agatevane-fencing-token")), 200 };
    auto found = machines_.find(call.machine);
    auto wave = body.value("wave", std::int64_t { 0 });
    std::string reason;
    if (found == machines_.end()) {
        call.status = 400;
    } else if (found->second.wavesDone.count(wave) == 0) {
        auto& machine = found->second;
        if (machine.upAgainAtMs != 0 || !workers_.isUp(machine.spec.id)) {
            call.status = 409;
            reason = "busy";
        } else {
            machine.wavesDone.insert(wave);
            machine.upAgainAtMs = nowMs() + upkeepMs_;
            workers_.takeDown(machine.spec.id);
            mostDown_ = std::max(mostDown_, countDown());
        }
    }
    calls_.push_back(call);
    record("upkeep call: " + call.machine + " by " + call.holder + ", token " + std::to_string(call.fencingToken)
        + " -> " + std::to_string(call.status) + " " + reason + ", machines down " + std::to_string(countDown()));
    return { call.status, reason.empty() ? "{}" : Json { { "reason", reason } }.dump(), Delivery::Answer };
}

void Machines::tick()
{
    std::lock_guard lock(mutex_);
    for (auto& [name, machine] : machines_) {
        if (machine.upAgainAtMs == 0 || nowMs() < machine.upAgainAtMs)
            continue;
        machine.upAgainAtMs = 0;
        machine.spec.id = name + "-after-" + std::to_string(++machine.upkeeps);
        workers_.add(machine.spec);
    }
}

int Machines::countDown() const
{
    return static_cast<int>(std::count_if(
        machines_.begin(), machines_.end(), [](const auto& each) { return each.second.upAgainAtMs != 0; }));
}

std::vector<UpkeepCall> Machines::calls()
{
    std::lock_guard lock(mutex_);
    return calls_;
}

int Machines::downCount()
{
    std::lock_guard lock(mutex_);
    return countDown();
}

int Machines::mostDown()
{
    std::lock_guard lock(mutex_);
    return mostDown_;
}

} // namespace rig
