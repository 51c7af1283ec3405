#include "rig/workers.h"

#include "rig/ports.h"
#include <algorithm>

namespace review {

using namespace agatevane;

namespace {

    constexpr Millis tickInterval { 5 };
    //! The pages: ends are returned 500 at a time.
    constexpr std::size_t maxEndsPerAnswer = 500;
    constexpr std::int64_t fullPercent = 100;
    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusConflict = 409;
    constexpr int statusMisdirected = 421;

    std::int64_t workOf(const std::string& specification)
    {
        constexpr std::string_view name = "ms=";
        auto at = specification.find(name);
        return at == std::string::npos ? 1000 : std::atoll(specification.c_str() + at + name.size());
    }

} // namespace

Workers::Workers(asio::io_context& context, Store& store, Record& record, const WorkerTimes& times)
    : context_(context)
    , store_(store)
    , record_(record)
    , times_(times)
    , timer_(context)
{
    tick();
}

void Workers::add(const std::string& id, const std::string& kind, const std::string& rack)
{
    auto& worker = workers_[id];
    worker.id = id;
    worker.rack = rack;
    worker.port = freePort();
    start(id, kind);
}

void Workers::start(const std::string& id, const std::string& kind)
{
    auto& worker = workers_.at(id);
    worker.kind = kind;
    worker.isUp = true;
    worker.bornUnixMs = node::unixMillis();
    worker.startedMs = rigMillis();
    worker.nextReportMs = worker.startedMs + times_.firstReportMs;
    worker.sequence = worker.fencingToken = worker.leaseUntilMs = worker.lastEnd = 0;
    worker.runs.clear();
    worker.highestEndedRun.clear();
    worker.ends.clear();
    worker.holds.clear();
    worker.server = std::make_unique<event_http::Server>(context_,
        [this, &worker](const Request& request, const Respond& respond) { handle(worker, request, respond); });
    if (worker.server->listen("127.0.0.1", worker.port))
        throw std::runtime_error("worker " + id + " can't listen");
    record_.line("worker " + id + " starts: kind " + kind + ", born " + std::to_string(worker.bornUnixMs));
}

void Workers::crash(const std::string& id)
{
    auto& worker = workers_.at(id);
    record_.line("worker " + id + " crashes with " + std::to_string(worker.runs.size()) + " runs");
    for (const auto& [key, run] : worker.runs)
        history_[run.record].endedMs = rigMillis();
    worker.runs.clear();
    worker.holds.clear();
    worker.isUp = false;
    worker.server.reset();
}

std::size_t Workers::runsOf(const std::string& job) const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : workers_) {
        for (const auto& [key, run] : worker.runs)
            count += key.first.starts_with(job + ".") ? 1 : 0;
    }
    return count;
}

std::int64_t Workers::clockOf(const Worker& worker)
{
    return rigMillis() - worker.startedMs + 1;
}

void Workers::tick()
{
    timer_.arm(tickInterval, [this] { tick(); });
    for (auto& [id, worker] : workers_) {
        if (!worker.isUp)
            continue;
        advance(worker);
        if (rigMillis() >= worker.nextReportMs && !store_.isDown())
            report(worker);
    }
}

void Workers::advance(Worker& worker)
{
    bool hasLapsed = clockOf(worker) >= worker.leaseUntilMs;
    if (hasLapsed) {
        for (const auto& end : worker.ends)
            history_[end.record].hasLeaseLapsed = true;
    }
    std::vector<std::pair<RunKey, std::string>> ended;
    for (const auto& [key, run] : worker.runs) {
        if (run.stopAtMs >= 0 && rigMillis() >= run.stopAtMs)
            ended.emplace_back(key, "stopped");
        else if (hasLapsed)
            ended.emplace_back(key, "lapsed");
        else if (run.stopAtMs < 0 && rigMillis() >= run.beganMs + run.workMs)
            ended.emplace_back(key, "done");
    }
    for (const auto& [key, how] : ended)
        endRun(worker, key, how);
    auto holds = std::exchange(worker.holds, {});
    for (auto& each : holds) {
        if (!worker.ends.empty() || rigMillis() >= each.untilMs)
            answerHold(worker, each.respond);
        else
            worker.holds.push_back(std::move(each));
    }
}

void Workers::report(Worker& worker)
{
    worker.nextReportMs = rigMillis() + times_.heartbeatMs;
    Json entry { { "service", "training" }, { "address", "127.0.0.1:" + std::to_string(worker.port) },
        { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
        { "sequence", ++worker.sequence }, { "born", worker.bornUnixMs },
        { "capacity", { { "cpu", 128000 }, { "taskMemoryMb", 262144 }, { "gpu", 8 } } },
        { "labels", { worker.kind, worker.rack } } };
    store_.put("servers/" + worker.id, entry.dump());
    if (worker.sequence == 1)
        record_.line("worker " + worker.id + " reports its lifetime " + std::to_string(worker.bornUnixMs)
            + " to the store, kind " + worker.kind);
}

void Workers::handle(Worker& worker, const Request& request, const Respond& respond)
{
    auto body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return respond(jsonResponse(statusBadRequest));
    if (event_http::headerOf(request.headers, "x-agatevane-expected-instance") != worker.id)
        return respond(jsonResponse(statusMisdirected, { { "clockMs", clockOf(worker) } }));
    auto token = body.value("fencingToken", std::int64_t { 0 });
    if (token < worker.fencingToken)
        return respond(jsonResponse(statusConflict, { { "clockMs", clockOf(worker) }, { "reason", "fence" } }));
    worker.fencingToken = token;
    advance(worker);
    if (request.target == "/api/run-start")
        return startRun(worker, body, respond);
    if (request.target == "/api/run-stop")
        return stopRun(worker, body, respond);
    if (request.target == "/api/hold")
        return hold(worker, body, respond);
    respond(
        jsonResponse(request.target == "/api/pace" ? statusOk : statusBadRequest, { { "clockMs", clockOf(worker) } }));
}

void Workers::extendLease(Worker& worker, const Json& body) const
{
    if (!body.contains("untilMs"))
        return;
    auto until = std::min(body.at("untilMs").get<std::int64_t>(), clockOf(worker) + times_.holdMaxMs);
    worker.leaseUntilMs = std::max(worker.leaseUntilMs, until);
}

void Workers::startRun(Worker& worker, const Json& body, const Respond& respond)
{
    RunKey key { body.at("task").get<std::string>(), body.at("run").get<std::int64_t>() };
    Json answer { { "clockMs", clockOf(worker) } };
    auto refuse = [&](const char* reason) {
        answer["reason"] = reason;
        record_.line("start of " + key.first + " run " + std::to_string(key.second) + " on " + worker.id
            + " refused: " + reason);
        respond(jsonResponse(statusConflict, answer));
    };
    if (worker.runs.contains(key)) {
        extendLease(worker, body);
        return respond(jsonResponse(statusOk, answer));
    }
    if (auto ended = worker.highestEndedRun.find(key.first);
        ended != worker.highestEndedRun.end() && key.second <= ended->second) {
        extendLease(worker, body);
        return refuse("old");
    }
    if (body.at("untilMs").get<std::int64_t>() <= clockOf(worker))
        return refuse("late");
    extendLease(worker, body);
    RunRecord begun { key.first, key.second, worker.id, worker.kind, rigMillis() };
    worker.runs[key] = { rigMillis(), workOf(body.value("specification", std::string())), -1, history_.size() };
    history_.push_back(begun);
    record_.line("start of " + key.first + " run " + std::to_string(key.second) + " on " + worker.id + " (kind "
        + worker.kind + ")");
    respond(jsonResponse(statusOk, answer));
}

void Workers::stopRun(Worker& worker, const Json& body, const Respond& respond)
{
    RunKey key { body.at("task").get<std::string>(), body.at("run").get<std::int64_t>() };
    record_.line("stop of " + key.first + " run " + std::to_string(key.second) + " on " + worker.id);
    if (auto found = worker.runs.find(key); found == worker.runs.end()) {
        auto& highest = worker.highestEndedRun[key.first];
        highest = std::max(highest, key.second);
    } else if (found->second.stopAtMs < 0) {
        found->second.stopAtMs = rigMillis() + times_.stopMs;
    }
    respond(jsonResponse(statusOk, { { "clockMs", clockOf(worker) } }));
}

void Workers::hold(Worker& worker, const Json& body, const Respond& respond)
{
    extendLease(worker, body);
    auto lastSeen = body.value("lastSeen", std::int64_t { 0 });
    while (!worker.ends.empty() && worker.ends.front().number <= lastSeen) {
        history_[worker.ends.front().record].notedMs = rigMillis();
        worker.ends.pop_front();
    }
    auto waitMs = body.value("waitMs", std::int64_t { 0 });
    if (worker.ends.empty() && waitMs > 0)
        worker.holds.push_back({ rigMillis() + waitMs, respond });
    else
        answerHold(worker, respond);
}

void Workers::answerHold(Worker& worker, const Respond& respond)
{
    auto running = Json::array();
    for (const auto& [key, run] : worker.runs) {
        auto percent = std::min(
            fullPercent - 1, fullPercent * (rigMillis() - run.beganMs) / std::max<std::int64_t>(1, run.workMs));
        running.push_back({ key.first, key.second, "", percent, 0 });
    }
    auto ended = Json::array();
    for (const auto& end : worker.ends) {
        if (ended.size() >= maxEndsPerAnswer)
            break;
        ended.push_back({ end.number, end.key.first, end.key.second, end.how, "" });
    }
    if (worker.ends.size() > maxEndsPerAnswer)
        record_.line("hold on " + worker.id + ": " + std::to_string(worker.ends.size()) + " ends wait, the first "
            + std::to_string(maxEndsPerAnswer) + " are returned");
    respond(jsonResponse(statusOk,
        { { "clockMs", clockOf(worker) }, { "born", worker.bornUnixMs }, { "running", running }, { "ended", ended } }));
}

void Workers::endRun(Worker& worker, const RunKey& key, const std::string& how)
{
    auto run = worker.runs.at(key);
    worker.runs.erase(key);
    auto& highest = worker.highestEndedRun[key.first];
    highest = std::max(highest, key.second);
    history_[run.record].endedMs = rigMillis();
    history_[run.record].how = how;
    worker.ends.push_back({ ++worker.lastEnd, key, how, run.record });
    record_.line("end " + std::to_string(worker.lastEnd) + " on " + worker.id + ": " + key.first + " run "
        + std::to_string(key.second) + " " + how);
}

} // namespace review
