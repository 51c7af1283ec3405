#include "workers.h"

#include <algorithm>
#include <sstream>

namespace rig {

namespace {

    constexpr std::int64_t firstClockMs = 1000;
    constexpr std::int64_t maxLeaseMs = 6000;
    constexpr std::int64_t stopMs = 200;
    constexpr std::int64_t heartbeatMs = 1500;
    constexpr std::int64_t checkpointIntervalMs = 2000;
    constexpr std::size_t maxEndsPerAnswer = 500;
    constexpr std::int64_t fullPercent = 100;

    std::int64_t numberOf(const Json& body, const char* name)
    {
        auto found = body.find(name);
        return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
    }

    std::int64_t wordOf(const std::string& specification, const std::string& name, std::int64_t fallback)
    {
        std::istringstream words(specification);
        for (std::string word; words >> word;) {
            if (word.starts_with(name + "="))
                return std::stoll(word.substr(name.size() + 1));
        }
        return fallback;
    }

    std::string jobOf(const std::string& task)
    {
        return task.substr(0, task.find('.'));
    }

    //! A checkpoint of the given length.
    std::string checkpointOf(const std::string& task, std::int64_t run, std::size_t bytes)
    {
        auto text = std::to_string(std::hash<std::string> {}(task)) + "-" + std::to_string(run) + "-";
        while (text.size() < bytes)
            text += "0a1b2c3d";
        return text.substr(0, bytes);
    }

} // namespace

Worker::Worker(const Options& options, Store& store, Record& record, IsRecorded isRecorded, RunTimes& runTimes)
    : options_(options)
    , store_(store)
    , record_(record)
    , isRecorded_(std::move(isRecorded))
    , runTimes_(runTimes)
    , born_(unixMs())
    , startMs_(steadyMs())
{
}

Worker::Activity Worker::activityOf(const std::string& job) const
{
    auto found = activities_.find(job);
    return found == activities_.end() ? Activity {} : found->second;
}

std::int64_t Worker::clockMs() const
{
    return firstClockMs + steadyMs() - startMs_;
}

Json Worker::answer() const
{
    return { { "clockMs", clockMs() }, { "born", born_ } };
}

void Worker::extendLease(std::int64_t untilMs)
{
    leaseUntilMs_ = std::max(leaseUntilMs_, std::min(untilMs, clockMs() + maxLeaseMs));
}

void Worker::handle(const Request& request, const Server::Respond& respond)
{
    if (request.method == "GET")
        return respond(200, "{}");
    auto instance = request.headers.find("x-agatevane-expected-instance");
    if (instance != request.headers.end() && instance->second != options_.id)
        return respond(421, "{}");
    auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond(400, "{}");
    if (numberOf(body, "fencingToken") < fencingToken_) {
        ++fencedOrders_;
        auto refusal = answer();
        refusal["reason"] = "fence";
        return respond(409, refusal.dump());
    }
    fencingToken_ = numberOf(body, "fencingToken");
    if (request.target == "/api/run-start")
        return start(body, respond);
    if (request.target == "/api/run-stop")
        return stop(body, respond);
    if (request.target == "/api/hold")
        return hold(body, respond);
    if (request.target == "/api/pace")
        return respond(200, answer().dump());
    respond(400, "{}");
}

void Worker::start(const Json& body, const Server::Respond& respond)
{
    RunKey key { body.at("task"), numberOf(body, "run") };
    auto untilMs = numberOf(body, "untilMs");
    auto refuse = [&](const char* reason) {
        auto refusal = answer();
        refusal["reason"] = reason;
        respond(409, refusal.dump());
    };
    if (runs_.contains(key)) {
        extendLease(untilMs);
        return respond(200, answer().dump());
    }
    if (auto ended = highestEnded_.find(key.first); ended != highestEnded_.end() && key.second <= ended->second) {
        extendLease(untilMs);
        return refuse("old");
    }
    if (untilMs <= clockMs())
        return refuse("late");
    extendLease(untilMs);
    auto specification = body.value("specification", std::string());
    Run run;
    run.beganMs = steadyMs();
    run.endsMs = run.beganMs + wordOf(specification, "ms", 1000);
    run.savedBytes = static_cast<std::size_t>(wordOf(specification, "saves", 0));
    run.saved = body.value("checkpoint", std::string());
    endTimes_.emplace(run.endsMs, key);
    runs_.emplace(key, std::move(run));
    ++startCount_;
    if (isRecorded_(key.first)) {
        ++activities_[jobOf(key.first)].running;
        runTimes_[key.first].push_back({ options_.id, key.second, steadyMs() });
        record_.note("run " + key.first + " " + std::to_string(key.second) + " begins on " + options_.id);
    }
    respond(200, answer().dump());
}

void Worker::stop(const Json& body, const Server::Respond& respond)
{
    RunKey key { body.at("task"), numberOf(body, "run") };
    auto found = runs_.find(key);
    if (found == runs_.end()) {
        auto& highest = highestEnded_[key.first];
        highest = std::max(highest, key.second);
    } else if (found->second.endsMs > steadyMs() + stopMs) {
        found->second.endsMs = -1;
        endTimes_.emplace(steadyMs() + stopMs / 2, key);
    }
    respond(200, answer().dump());
}

void Worker::hold(const Json& body, const Server::Respond& respond)
{
    auto lastSeen = numberOf(body, "lastSeen");
    while (!ends_.empty() && ends_.front().number <= lastSeen)
        ends_.pop_front();
    if (body.contains("untilMs"))
        extendLease(numberOf(body, "untilMs"));
    auto waitMs = std::min<std::int64_t>(2000, numberOf(body, "waitMs"));
    if (waitMs > 0 && ends_.empty())
        holds_.push_back({ steadyMs() + waitMs, respond });
    else
        respond(200, lists());
}

std::string Worker::lists() const
{
    auto all = answer();
    auto running = Json::array();
    for (const auto& [key, run] : runs_) {
        auto duration = std::max<std::int64_t>(1, run.endsMs - run.beganMs);
        auto percent
            = run.endsMs < 0 ? 0 : std::min(fullPercent - 1, fullPercent * (steadyMs() - run.beganMs) / duration);
        running.push_back({ key.first, key.second, run.saved, percent, 0 });
    }
    auto ended = Json::array();
    for (const auto& each : ends_) {
        if (ended.size() < maxEndsPerAnswer)
            ended.push_back({ each.number, each.key.first, each.key.second, each.how, each.saved });
    }
    all["running"] = std::move(running);
    all["ended"] = std::move(ended);
    return all.dump();
}

void Worker::end(const RunKey& key, const std::string& how)
{
    auto found = runs_.find(key);
    if (found == runs_.end())
        return;
    auto saved = found->second.saved;
    runs_.erase(found);
    auto& highest = highestEnded_[key.first];
    highest = std::max(highest, key.second);
    ends_.push_back({ ++lastEnd_, key, how, saved });
    if (!isRecorded_(key.first))
        return;
    auto& activity = activities_[jobOf(key.first)];
    --activity.running;
    activity.done += how == "done" ? 1 : 0;
    activity.lastEndMs = steadyMs();
    for (auto& run : runTimes_[key.first]) {
        if (run.worker == options_.id && run.number == key.second)
            run.endedMs = steadyMs();
    }
    record_.note("run " + key.first + " " + std::to_string(key.second) + " ends " + how + " on " + options_.id);
}

void Worker::tick()
{
    auto at = steadyMs();
    if (!runs_.empty() && clockMs() >= leaseUntilMs_) {
        std::vector<RunKey> keys;
        for (const auto& [key, run] : runs_)
            keys.push_back(key);
        for (const auto& key : keys)
            end(key, "lapsed");
    }
    while (!endTimes_.empty() && endTimes_.begin()->first <= at) {
        auto key = endTimes_.begin()->second;
        auto due = endTimes_.begin()->first;
        endTimes_.erase(endTimes_.begin());
        auto run = runs_.find(key);
        if (run == runs_.end())
            continue;
        if (run->second.endsMs < 0)
            end(key, "stopped");
        else if (due == run->second.endsMs)
            end(key, "done");
    }
    for (auto& [key, run] : runs_) {
        if (run.savedBytes > 0 && run.saved.empty() && at - run.beganMs >= checkpointIntervalMs)
            run.saved = checkpointOf(key.first, key.second, run.savedBytes);
    }
    std::erase_if(holds_, [&](const Hold& waiting) {
        if (ends_.empty() && at < waiting.untilMs)
            return false;
        waiting.respond(200, lists());
        return true;
    });
    if (at >= nextEntryMs_)
        writeEntry();
}

void Worker::writeEntry()
{
    nextEntryMs_ = steadyMs() + heartbeatMs;
    Json entry { { "service", options_.service }, { "address", ownAddress() + ":" + std::to_string(port_) },
        { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
        { "capacity", { { "cpu", options_.cpu }, { "taskMemoryMb", options_.memoryMb }, { "gpu", options_.gpu } } },
        { "labels", { options_.kind, options_.rack } }, { "clockMs", clockMs() }, { "sequence", ++sequence_ },
        { "born", born_ } };
    store_.put("servers/" + options_.id, entry.dump());
}

} // namespace rig
