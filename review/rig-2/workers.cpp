#include "workers.h"

#include "record.h"
#include <algorithm>
#include <chrono>
#include <thread>

namespace rig {

namespace {

    constexpr std::int64_t tickMs = 5;
    constexpr std::int64_t entryLifetimeHeartbeats = 3;

    std::int64_t workOf(const std::string& specification)
    {
        auto at = specification.find("work=");
        return at == std::string::npos ? 0 : std::stoll(specification.substr(at + 5));
    }

} // namespace

Workers::Workers(Store& store, const std::string& address, const std::string& service, const WorkerTimes& times)
    : store_(store)
    , address_(address)
    , service_(service)
    , times_(times)
{
    std::thread([this] {
        while (true) {
            sleepMs(tickMs);
            tick();
        }
    }).detach();
}

void Workers::add(const WorkerSpec& spec)
{
    std::lock_guard lock(mutex_);
    auto& worker = workers_[spec.id];
    worker.spec = spec;
    begin(worker, 0);
}

void Workers::begin(Worker& worker, std::int64_t clockOffsetMs)
{
    worker.server = std::make_unique<HttpServer>(
        address_, [this, id = worker.spec.id](const HttpRequest& request) { return handle(id, request); }, worker.port);
    worker.port = worker.server->port();
    worker.isUp = true;
    worker.isDraining = false;
    worker.born = unixMs() + clockOffsetMs;
    worker.clockStartMs = nowMs() - 1000;
    worker.fence = 0;
    worker.sequence = 0;
    worker.runs.clear();
    worker.highestEnded.clear();
    worker.ended.clear();
    worker.lastEnd = 0;
    worker.nextHeartbeatAtMs = nowMs();
    record("worker " + worker.spec.id + " begins a life, born " + std::to_string(worker.born));
}

void Workers::crash(const std::string& id)
{
    std::lock_guard lock(mutex_);
    auto& worker = workers_.at(id);
    auto at = nowMs();
    for (const auto& [task, run] : worker.runs) {
        ends_.push_back({ at, id, task, run.number, "crash" });
        record("ended by crash: " + task + " run " + std::to_string(run.number) + " on " + id);
    }
    worker.runs.clear();
    worker.isUp = false;
    worker.server->stop();
    record("worker " + id + " crashes");
}

void Workers::restart(const std::string& id, std::int64_t clockOffsetMs)
{
    std::lock_guard lock(mutex_);
    begin(workers_.at(id), clockOffsetMs);
}

void Workers::drain(const std::string& id, std::int64_t leaveAfterMs)
{
    std::lock_guard lock(mutex_);
    auto& worker = workers_.at(id);
    worker.isDraining = true;
    worker.leavesAtMs = nowMs() + leaveAfterMs;
    writeEntry(worker, nowMs());
    worker.drainingAtMs = nowMs();
    record("worker " + id + " is draining, the store has accepted it");
}

void Workers::takeDown(const std::string& id)
{
    std::lock_guard lock(mutex_);
    auto& worker = workers_.at(id);
    auto at = nowMs();
    for (const auto& [task, run] : worker.runs) {
        ends_.push_back({ at, id, task, run.number, "upkeep" });
        record("ended by upkeep: " + task + " run " + std::to_string(run.number) + " on " + id);
    }
    worker.runs.clear();
    worker.isUp = false;
    worker.server->stop();
    worker.hasEntry = false;
    store_.remove("servers/" + id);
    record("worker " + id + " goes down for an upkeep");
}

void Workers::tick()
{
    std::lock_guard lock(mutex_);
    auto at = nowMs();
    for (auto& [id, worker] : workers_) {
        if (worker.isUp)
            advance(worker, at);
        if (!worker.isUp && worker.hasEntry
            && at - worker.lastHeartbeatAtMs > entryLifetimeHeartbeats * times_.heartbeatMs) {
            worker.hasEntry = false;
            store_.remove("servers/" + id);
            record("the entry of worker " + id + " has lapsed");
        }
    }
}

void Workers::advance(Worker& worker, std::int64_t at)
{
    auto clock = clockOf(worker);
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, run] : worker.runs) {
        if (clock >= run.untilMs)
            over.emplace_back(task, "lapsed");
        else if (run.stopsAtMs != 0 && at >= run.stopsAtMs)
            over.emplace_back(task, "stopped");
        else if (run.workMs > 0 && at - run.startedAtMs >= run.workMs)
            over.emplace_back(task, "done");
    }
    for (const auto& [task, how] : over)
        end(worker, task, how);
    if (worker.isDraining && at >= worker.leavesAtMs) {
        for (const auto& [task, run] : worker.runs)
            ends_.push_back({ at, worker.spec.id, task, run.number, "left" });
        worker.runs.clear();
        worker.isUp = false;
        worker.server->stop();
        worker.hasEntry = false;
        store_.remove("servers/" + worker.spec.id);
        record("worker " + worker.spec.id + " has left");
        return;
    }
    if (at >= worker.nextHeartbeatAtMs)
        writeEntry(worker, at);
}

void Workers::writeEntry(Worker& worker, std::int64_t at)
{
    Json entry { { "service", service_ }, { "address", address_ + ":" + std::to_string(worker.port) },
        { "zone", "harju-a" }, { "version", "v1" }, { "slots", 8 },
        { "state", worker.isDraining ? "draining" : "ready" }, { "coldRemainingMs", 0 },
        { "capacity", { { "cpu", 128000 }, { "taskMemoryMb", 262144 }, { "gpu", worker.spec.gpu } } },
        { "labels", { worker.spec.kind, worker.spec.rack } }, { "machine", worker.spec.machine },
        { "clockMs", clockOf(worker) }, { "born", worker.born }, { "sequence", ++worker.sequence } };
    if (worker.isDraining)
        entry["remainingMs"] = std::max<std::int64_t>(0, worker.leavesAtMs - at);
    store_.put("servers/" + worker.spec.id, entry.dump());
    worker.hasEntry = true;
    worker.lastHeartbeatAtMs = at;
    worker.nextHeartbeatAtMs = at + times_.heartbeatMs;
}

void Workers::end(Worker& worker, const std::string& task, const std::string& how)
{
    auto run = worker.runs.at(task);
    worker.runs.erase(task);
    worker.highestEnded[task] = std::max(worker.highestEnded[task], run.number);
    worker.ended.push_back({ ++worker.lastEnd, task, run.number, how });
    ends_.push_back({ nowMs(), worker.spec.id, task, run.number, how });
    record("ended " + how + ": " + task + " run " + std::to_string(run.number) + " on " + worker.spec.id);
    changed_.notify_all();
}

int Workers::percentOf(const Run& run, const WorkerTimes& times)
{
    auto ran = nowMs() - run.startedAtMs;
    if (run.workMs == 0)
        return ran >= times.startupMs ? 100 : 0;
    return static_cast<int>(std::min<std::int64_t>(99, ran * 100 / run.workMs));
}

HttpReply Workers::answer(const Worker& worker, int status, Json body) const
{
    body["clockMs"] = clockOf(worker);
    body["born"] = worker.born;
    return { status, body.dump(), Delivery::Answer };
}

bool Workers::isFenced(Worker& worker, const Json& body)
{
    auto token = body.value("fencingToken", std::int64_t { 0 });
    if (token < worker.fence)
        return true;
    worker.fence = token;
    return false;
}

void Workers::extend(Worker& worker, const Json& body)
{
    auto until = std::min(body.value("untilMs", std::int64_t { 0 }), clockOf(worker) + times_.holdMaxMs);
    for (auto& [task, run] : worker.runs)
        run.untilMs = std::max(run.untilMs, until);
}

HttpReply Workers::handle(const std::string& id, const HttpRequest& request)
{
    auto body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || request.method != "POST")
        return { 400, "{}", Delivery::Answer };
    auto expected = request.headers.find("x-agatevane-expected-instance");
    if (expected != request.headers.end() && expected->second != id)
        return { 421, "{}", Delivery::Answer };
    if (request.path == "/api/hold")
        return hold(id, body);
    std::lock_guard lock(mutex_);
    auto& worker = workers_.at(id);
    if (!worker.isUp)
        return { 0, {}, Delivery::Reset };
    if (request.path == "/api/run-start")
        return start(worker, body);
    if (request.path == "/api/run-stop")
        return stop(worker, body);
    return request.path == "/api/pace" ? answer(worker, 200, Json::object())
                                       : HttpReply { 404, "{}", Delivery::Answer };
}

HttpReply Workers::start(Worker& worker, const Json& body)
{
    std::string task = body.at("task");
    auto number = body.at("run").get<std::int64_t>();
    if (isFenced(worker, body))
        return answer(worker, 409, { { "reason", "fence" } });
    extend(worker, body);
    auto ended = worker.highestEnded.find(task);
    auto present = worker.runs.find(task);
    if (present != worker.runs.end() && present->second.number == number)
        return answer(worker, 200, Json::object());
    if ((ended != worker.highestEnded.end() && number <= ended->second)
        || (present != worker.runs.end() && number < present->second.number))
        return answer(worker, 409, { { "reason", "old" } });
    if (body.at("untilMs").get<std::int64_t>() <= clockOf(worker))
        return answer(worker, 409, { { "reason", "late" } });
    Run run;
    run.number = number;
    run.startedAtMs = nowMs();
    run.untilMs = std::min(body.at("untilMs").get<std::int64_t>(), clockOf(worker) + times_.holdMaxMs);
    run.workMs = workOf(body.value("specification", std::string()));
    run.fencingToken = body.value("fencingToken", std::int64_t { 0 });
    worker.runs[task] = run;
    starts_.push_back({ run.startedAtMs, worker.spec.id, task, number, run.fencingToken });
    record("started: " + task + " run " + std::to_string(number) + " on " + worker.spec.id + ", token "
        + std::to_string(run.fencingToken));
    return answer(worker, 200, Json::object());
}

HttpReply Workers::stop(Worker& worker, const Json& body)
{
    std::string task = body.at("task");
    auto number = body.at("run").get<std::int64_t>();
    if (isFenced(worker, body))
        return answer(worker, 409, { { "reason", "fence" } });
    record("stop order: " + task + " run " + std::to_string(number) + " on " + worker.spec.id);
    auto present = worker.runs.find(task);
    if (present != worker.runs.end() && present->second.number <= number) {
        if (present->second.stopsAtMs == 0)
            present->second.stopsAtMs = nowMs() + times_.stopMs;
    } else {
        worker.highestEnded[task] = std::max(worker.highestEnded[task], number);
    }
    return answer(worker, 200, Json::object());
}

HttpReply Workers::hold(const std::string& id, const Json& body)
{
    std::unique_lock lock(mutex_);
    auto& worker = workers_.at(id);
    auto born = worker.born;
    if (!worker.isUp)
        return { 0, {}, Delivery::Reset };
    if (isFenced(worker, body))
        return answer(worker, 409, { { "reason", "fence" } });
    extend(worker, body);
    auto lastSeen = body.value("lastSeen", std::int64_t { 0 });
    while (!worker.ended.empty() && worker.ended.front().number <= lastSeen)
        worker.ended.pop_front();
    auto until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(std::min<std::int64_t>(2000, body.value("waitMs", std::int64_t { 0 })));
    while (worker.ended.empty() && std::chrono::steady_clock::now() < until)
        changed_.wait_until(lock, until);
    if (!worker.isUp || worker.born != born)
        return { 0, {}, Delivery::Reset };
    auto running = Json::array();
    for (const auto& [task, run] : worker.runs)
        running.push_back({ task, run.number, "", percentOf(run, times_), 0 });
    auto ended = Json::array();
    for (const auto& each : worker.ended)
        ended.push_back({ each.number, each.task, each.run, each.how, "" });
    return answer(worker, 200, { { "running", running }, { "ended", ended } });
}

std::vector<StartedRun> Workers::starts()
{
    std::lock_guard lock(mutex_);
    return starts_;
}

std::vector<EndedRun> Workers::ends()
{
    std::lock_guard lock(mutex_);
    return ends_;
}

std::vector<std::pair<StartedRun, int>> Workers::running()
{
    std::lock_guard lock(mutex_);
    std::vector<std::pair<StartedRun, int>> found;
    for (const auto& [id, worker] : workers_) {
        for (const auto& [task, run] : worker.runs)
            found.push_back({ { run.startedAtMs, id, task, run.number, run.fencingToken }, percentOf(run, times_) });
    }
    return found;
}

bool Workers::isUp(const std::string& id)
{
    std::lock_guard lock(mutex_);
    return workers_.at(id).isUp;
}

} // namespace rig
