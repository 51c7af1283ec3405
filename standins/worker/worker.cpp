#include "standins/worker/worker.h"

#include "agatevane/base/hash.h"
#include "agatevane/json/reader.h"
#include <thread>

namespace agatevane::standin {

namespace {

    constexpr Millis stopCheckInterval { 20 };

    void writeRefusal(http::Response& response, int status, const char* reason)
    {
        response.status = status;
        response.contentType = "application/problem+json";
        response.body = json::dump({ { "title", reason }, { "status", status } });
    }

    http::ServerLimits limitsOf(const WorkerSettings& settings)
    {
        http::ServerLimits limits;
        limits.threads = settings.threads;
        return limits;
    }

} // namespace

Worker::Worker(WorkerSettings settings, std::uint64_t seed)
    : settings_(std::move(settings))
    , server_(limitsOf(settings_))
    , random_(seed)
{
    tasks_.instance = randomToken(random_);
    tasks_.accelerators = settings_.capacity.accelerators;
    tasks_.checkpointMs = settings_.checkpointMs;
    addRoutes();
}

Worker::~Worker()
{
    stop();
}

std::error_code Worker::start()
{
    if (auto error = server_.bind(settings_.address, settings_.port))
        return error;
    server_.start();
    return {};
}

void Worker::stop()
{
    stopping_ = true;
    slotFreed_.notify_all();
    server_.stop();
}

std::int64_t Worker::clockMs() const
{
    return std::chrono::duration_cast<Millis>(now().time_since_epoch()).count() + settings_.clockOffsetMs;
}

void Worker::pause(Millis duration)
{
    auto end = now() + duration;
    while (!stopping_ && now() < end)
        std::this_thread::sleep_for(std::min<Instant::duration>(stopCheckInterval, end - now()));
}

bool Worker::consumesDrop()
{
    std::lock_guard lock(mutex_);
    if (faults_.dropNext > 0) {
        --faults_.dropNext;
        return true;
    }
    return faults_.dropShare > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < faults_.dropShare;
}

void Worker::route(const std::string& method, const std::string& path, bool hasEffect, http::Handler handler)
{
    server_.route(method, path,
        [this, hasEffect, handler = std::move(handler)](const http::Request& request, http::Response& response) {
            ++requests_;
            bytesIn_ += request.body.size();
            WorkerFaults faults;
            {
                std::lock_guard lock(mutex_);
                faults = faults_;
            }
            if (faults.silent) {
                pause(Millis(settings_.lostAnswerMs));
                writeRefusal(response, 504, "no answer");
                return;
            }
            pause(Millis(faults.slowMs));
            handler(request, response);
            if (hasEffect && consumesDrop()) {
                pause(Millis(settings_.lostAnswerMs));
                response = {};
                writeRefusal(response, 504, "no answer");
            }
            bytesOut_ += response.body.size();
        });
}

template <typename Command>
void Worker::routeCommand(
    const std::string& path, CommandStatus (*apply)(TaskTable&, const Command&, std::int64_t clockMs))
{
    route("POST", "/v1/tasks/" + path, true, [this, apply](const http::Request& request, http::Response& response) {
        Command command;
        if (auto findings = decode(request.body, command); !findings.empty()) {
            writeRefusal(response, 400, format(findings).c_str());
            return;
        }
        std::lock_guard lock(mutex_);
        writeStatus(apply(tasks_, command, clockMs()), response);
    });
}

void Worker::writeStatus(CommandStatus status, http::Response& response) const
{
    switch (status) {
    case CommandStatus::Done:
        response.body = "{}";
        break;
    case CommandStatus::StaleEpoch:
        response.status = 409;
        response.contentType = "application/problem+json";
        response.body = json::dump({ { "title", "stale_epoch" }, { "status", 409 }, { "epoch", tasks_.epoch } });
        break;
    case CommandStatus::Unknown:
        writeRefusal(response, 404, "unknown");
        break;
    case CommandStatus::Full:
        writeRefusal(response, 503, "full");
        break;
    case CommandStatus::Leaving:
        writeRefusal(response, 503, "leaving");
        break;
    case CommandStatus::Ended:
        writeRefusal(response, 410, "ended");
        break;
    case CommandStatus::NotPossible:
        writeRefusal(response, 422, "not_possible");
        break;
    }
}

void Worker::addRoutes()
{
    route("GET", "/v1/report", false, [this](const http::Request&, http::Response& response) {
        response.body = json::dump(nlohmann::json(report()));
    });
    routeCommand("prepare", &prepare);
    routeCommand("start", &standin::start);
    routeCommand("renew", &renew);
    routeCommand("checkpoint", &checkpoint);
    routeCommand("stop", &standin::stop);
    routeCommand("throttle", &throttle);
    routeCommand("forget", &forget);
    route("POST", "/v1/calls", true,
        [this](const http::Request& request, http::Response& response) { handleCall(request, response); });
    route("GET", "/v1/calls/([^/]+)", false, [this](const http::Request& request, http::Response& response) {
        AttemptId attempt { request.matches.at(1) };
        std::lock_guard lock(mutex_);
        writeCall(attempt, find(calls_, attempt), response);
    });
    route("POST", "/v1/calls/([^/]+)/forbid", true, [this](const http::Request& request, http::Response& response) {
        AttemptId attempt { request.matches.at(1) };
        std::lock_guard lock(mutex_);
        forbid(calls_, attempt);
        writeCall(attempt, find(calls_, attempt), response);
    });
}

void Worker::writeCall(const AttemptId& attempt, const CallRecord& record, http::Response& response) const
{
    response.headers.emplace("Agatevane-Attempt", attempt.value);
    response.headers.emplace("Agatevane-Instance", tasks_.instance);
    auto write = [&response](int status, const char* state) {
        response.status = status;
        response.headers.emplace("Agatevane-Call-State", state);
        response.body = json::dump({ { "state", state } });
    };
    switch (record.state) {
    case CallState::NeverSeen:
        write(404, "never_seen");
        break;
    case CallState::Running:
        write(202, "running");
        break;
    case CallState::Forbidden:
        write(410, "forbidden");
        break;
    case CallState::Done:
        write(record.answer.status, "done");
        response.body = record.answer.body;
        response.headers.emplace("Agatevane-Length", std::to_string(response.body.size()));
        response.headers.emplace("Agatevane-Digest", digestOf(response.body));
        break;
    }
}

void Worker::handleCall(const http::Request& request, http::Response& response)
{
    AttemptId attempt;
    ServiceId service;
    std::string body;
    Findings findings;
    nlohmann::json message;
    if (json::parse(request.body, "body", message, findings)) {
        json::ObjectReader reader(message, "", findings);
        reader.read("attempt", attempt);
        reader.read("service", service);
        reader.read("body", body, json::Presence::Required, 4 << 20);
    }
    if (!findings.empty()) {
        writeRefusal(response, 400, format(findings).c_str());
        return;
    }
    std::unique_lock lock(mutex_);
    // A restart clears the forbidden attempts, so a call that was sent to an earlier instance must not start.
    auto expected = http::headerOf(request.headers, "Agatevane-Instance");
    if (!expected.empty() && expected != tasks_.instance) {
        writeRefusal(response, 503, "other_instance");
        return;
    }
    if (tasks_.leaving) {
        writeRefusal(response, 503, "leaving");
        return;
    }
    if (faults_.rejects || slotsUsed_ >= settings_.slots || connectionsUsed_ >= settings_.connections) {
        writeRefusal(response, 503, "full");
        return;
    }
    if (!begin(calls_, { attempt, service, digestOf(body), tasks_.instance, clockMs() })) {
        writeCall(attempt, find(calls_, attempt), response);
        return;
    }
    recordUsage(1, 1);
    auto work = parseCallWork(body, settings_.callMs);
    if (faults_.failsAll)
        work.status = 500;
    auto instance = tasks_.instance;
    lock.unlock();
    pause(Millis(work.durationMs));
    lock.lock();
    recordUsage(-1, -1);
    if (instance != tasks_.instance) {
        writeRefusal(response, 504, "no answer"); // The worker was restarted while the call ran.
        return;
    }
    finish(calls_, attempt, makeAnswer(service, body, work));
    writeCall(attempt, find(calls_, attempt), response);
}

void Worker::recordUsage(int slots, int connections)
{
    slotsUsed_ += slots;
    connectionsUsed_ += connections;
    usage_.push_back({ clockMs(), slotsUsed_, connectionsUsed_ });
    // Keeps the newest entry that is older than the lag at the front, because the report uses it.
    while (usage_.size() > 1 && usage_[1].clockMs <= clockMs() - settings_.usageLagMs)
        usage_.pop_front();
}

WorkerReport Worker::report()
{
    std::lock_guard lock(mutex_);
    recordUsage(0, 0);
    auto clock = clockMs();
    advance(tasks_, clock);
    WorkerReport report { .worker = settings_.name,
        .instance = tasks_.instance,
        .clockMs = clock,
        .epoch = tasks_.epoch,
        .leaving = tasks_.leaving,
        .slots = settings_.slots,
        .slotsUsed = usage_.front().slots,
        .connections = settings_.connections,
        .connectionsUsed = usage_.front().connections,
        .capacity = settings_.capacity,
        .rack = settings_.rack,
        .dataCentre = settings_.dataCentre };
    for (const auto& [attempt, task] : tasks_.tasks)
        report.tasks.push_back(task.report);
    return report;
}

void Worker::setFaults(const WorkerFaults& faults)
{
    std::lock_guard lock(mutex_);
    advance(tasks_, clockMs());
    faults_ = faults;
    tasks_.leaving = faults.leaving;
    tasks_.rejectsAll = faults.rejects;
    tasks_.failsAll = faults.failsAll;
}

void Worker::restart(bool keepsEpoch)
{
    std::lock_guard lock(mutex_);
    standin::restart(tasks_, randomToken(random_), keepsEpoch, clockMs());
    calls_.calls.clear();
}

nlohmann::json Worker::runs()
{
    std::lock_guard lock(mutex_);
    advance(tasks_, clockMs());
    auto list = nlohmann::json::array();
    for (const auto& run : tasks_.runs) {
        auto ended = run.endedMs < 0 ? run.endedMs : run.endedMs - settings_.clockOffsetMs;
        list.push_back({ { "worker", settings_.name.value }, { "instance", run.instance }, { "job", run.job.value },
            { "attempt", run.attempt.value }, { "part", run.part }, { "parts", run.parts },
            { "accelerators", run.accelerators }, { "epoch", run.epoch },
            { "startedMs", run.startedMs - settings_.clockOffsetMs }, { "endedMs", ended },
            { "state", nameOf(run.state) } });
    }
    return list;
}

nlohmann::json Worker::executions()
{
    std::lock_guard lock(mutex_);
    auto list = nlohmann::json::array();
    for (const auto& execution : calls_.executions) {
        list.push_back({ { "worker", settings_.name.value }, { "instance", execution.instance },
            { "attempt", execution.attempt.value }, { "service", execution.service.value },
            { "bodyDigest", execution.bodyDigest }, { "startedMs", execution.startedMs - settings_.clockOffsetMs } });
    }
    return list;
}

nlohmann::json Worker::counters()
{
    std::lock_guard lock(mutex_);
    return { { "worker", settings_.name.value }, { "requests", requests_.load() }, { "bytesIn", bytesIn_.load() },
        { "bytesOut", bytesOut_.load() }, { "executions", calls_.executions.size() }, { "runs", tasks_.runs.size() } };
}

} // namespace agatevane::standin
