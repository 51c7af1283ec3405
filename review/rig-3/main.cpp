#include "cases.h"

#include <atomic>
#include <exception>
#include <iostream>
#include <map>
#include <thread>

using namespace rig;

namespace {

Json desiredState()
{
    Json route { { "name", "r-ce7ejsm" }, { "host", "nony24.example" }, { "prefix", "/lohu930/" }, { "kind", "unsafe" },
        { "timeoutMs", 3000 }, { "targetLatencyMs", 1200 }, { "priority", 1 }, { "service", "visitdesk" },
        { "maxAttempts", 3 }, { "stretch", 3.0 }, { "allowAnonymous", false } };
    Json service { { "name", "visitdesk" }, { "healthCheckPath", "/health" }, { "maxConnections", 64 },
        { "protocol", "h1" }, { "tls", false }, { "rejectsOverload", false }, { "spare", false } };
    Json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } };
    Json tenant { { "name", "kaje80" }, { "apiKeys", { "d4a3hwrr6x73d3zji9n7" } }, { "priority", 1 },
        { "guaranteed", { { "gpu", 8 } } } };
    return { { "version", 7 }, { "routes", { route } }, { "services", { service } }, { "limits", limits },
        { "tenants", { tenant } } };
}

std::string idOf(const char* prefix, int number)
{
    auto digits = std::to_string(number);
    return prefix + std::string(12 - digits.size(), '0') + digits;
}

} // namespace

std::string rig::targetOf(const std::string& id)
{
    return "/lohu930/" + id;
}

std::string rig::ordinaryId(int number)
{
    return idOf("0a0a", number);
}

std::string rig::troubleId(int number)
{
    return idOf("0b0b", number);
}

Setting::Setting(const CaseOptions& caseOptions, const std::vector<std::string>& workerKinds)
    : options(caseOptions)
    , record(options.recordPath)
    , platform(workerKinds, record, [](const std::string& task) { return task.starts_with("0a0a"); })
{
    platform.putDesiredState(desiredState());
}

bool Setting::start()
{
    constexpr int nodeCount = 3;
    constexpr std::int64_t startTimeoutMs = 20000;
    // The workers and the desired state are there before the nodes.
    sleepMs(200);
    nodes = std::make_unique<Deployment>(options.command, nodeCount, platform.storePort(), record);
    if (!nodes->awaitReady(startTimeoutMs)) {
        record.say("the nodes are not ready");
        return false;
    }
    // A new owner waits for the workers that may have runs of an earlier one.
    sleepMs(1500);
    return true;
}

bool Setting::submitOrdinary(int number, const std::string& specification, int steps)
{
    Json job { { "specification", specification }, { "steps", Json::array() } };
    for (int step = 0; step < steps; ++step) {
        Json spec { { "count", 1 }, { "cpu", 1000 }, { "taskMemoryMb", 256 }, { "estimatedMs", 1000 },
            { "requirements", "a" } };
        if (step > 0)
            spec["after"] = { step - 1 };
        job["steps"].push_back(spec);
    }
    constexpr int attempts = 5;
    auto id = ordinaryId(number);
    auto answer = nodes->callWithRetries("POST", targetOf(id), job.dump(), attempts);
    record.note("job " + id + " submitted: " + std::to_string(answer.status));
    if (answer.status != 200)
        return false;
    ordinaryJobs.push_back(id);
    stepsOf[id] = steps;
    return true;
}

std::string Setting::stateOf(const std::string& id, int attempts)
{
    auto answer = nodes->callWithRetries("GET", targetOf(id), {}, attempts);
    auto body = Json::parse(answer.body, nullptr, false);
    auto state = answer.status == 200 && body.is_object() ? body.value("state", std::string()) : std::string();
    record.note("job " + id + " asked: " + std::to_string(answer.status) + " " + state);
    return answer.status == 410 ? "410" : state;
}

bool Setting::cancel(const std::string& id)
{
    static std::atomic<int> nextNode { 0 };
    auto sentAt = steadyMs();
    for (auto left = ackTimeoutMs; left > 0; left = ackTimeoutMs - (steadyMs() - sentAt)) {
        auto answer = nodes->call(nextNode++ % nodes->size(), "DELETE", targetOf(id), {}, left);
        record.note("job " + id + " cancelled: " + std::to_string(answer.status) + " after "
            + std::to_string(steadyMs() - sentAt) + " ms");
        if (answer.status == 200 || answer.status == 410)
            return true;
        sleepMs(100);
    }
    return false;
}

int Setting::cancelOrdinaryJobs()
{
    std::atomic<int> unacknowledged { 0 };
    std::vector<std::thread> threads;
    for (const auto& id : ordinaryJobs)
        threads.emplace_back([&, id] { unacknowledged += cancel(id) ? 0 : 1; });
    for (auto& thread : threads)
        thread.join();
    return unacknowledged;
}

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)(const CaseOptions&)> cases { { "many-scheduled-jobs", manyScheduledJobs },
        { "many-due-jobs", manyDueJobs }, { "foreign-entry", foreignEntry }, { "crowd", crowd },
        { "large-bodies", largeBodies }, { "large-job", largeJob } };
    constexpr int argumentCount = 5;
    if (argc != argumentCount || !cases.contains(argv[1])) {
        std::cerr << "usage: review-rig-3 CASE COMMAND RECORD TROUBLE(0|1)\n";
        return couldNotRun;
    }
    try {
        return cases.at(argv[1])({ argv[2], argv[3], std::string(argv[4]) != "0" });
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return couldNotRun;
    }
}
