#include "cluster.h"

#include "record.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

    //! As the deploy file says, from the root of the repository.
    constexpr const char* program = "target/bin/agatevane-node";
    constexpr const char* host = "rig.example";
    constexpr const char* credential = "key-of-partner-a";
    //! Each run has loopback addresses of its own, so that runs side by side don't take each other's ports.
    constexpr int firstNetwork = 10;
    constexpr int networks = 200;
    constexpr int callTimeoutMs = 3000;
    constexpr int servingTimeoutMs = 15000;

} // namespace

Cluster::Cluster(Store& store, const ClusterOptions& options)
    : options_(options)
{
    nodes_.resize(static_cast<std::size_t>(options.nodes));
    for (int index = 0; index < options.nodes; ++index) {
        auto& node = nodes_[static_cast<std::size_t>(index)];
        node.address
            = "127." + std::to_string(firstNetwork + ::getpid() % networks) + ".1." + std::to_string(11 + index);
        auto ports = freePorts(node.address, 4);
        node.frontendPort = ports[0];
        node.readyPort = ports[1];
        node.controlPort = ports[2];
        node.internalPort = ports[3];
        node.storePort = store.addNode();
        node.settingsPath = options.folder + "/node-" + std::to_string(index) + ".conf";
    }
    for (int index = 0; index < options.nodes; ++index)
        writeSettings(index);
    for (auto& node : nodes_)
        start(node);
}

Cluster::~Cluster()
{
    for (auto& node : nodes_) {
        ::kill(node.process, SIGCONT);
        ::kill(node.process, SIGKILL);
        ::waitpid(node.process, nullptr, 0);
    }
}

void Cluster::writeSettings(int index)
{
    const auto& node = nodes_[static_cast<std::size_t>(index)];
    auto at = [&node](int port) { return node.address + ":" + std::to_string(port); };
    std::string seeds;
    for (const auto& other : nodes_)
        seeds += (seeds.empty() ? "" : ",") + other.address + ":" + std::to_string(other.controlPort);
    std::map<std::string, std::string> lines { { "nodeName", nameOf(index) }, { "role", "node" },
        { "machineClass", "frontend" }, { "serves", "frontend,control" }, { "ipAddress", node.address },
        { "zone", "harju-a" }, { "region", "harju" }, { "zones.harju-a", "harju" },
        { "listenAddresses.frontendAddress", at(node.frontendPort) }, { "listenAddresses.ready", at(node.readyPort) },
        { "listenAddresses.control", at(node.controlPort) },
        { "internalPortRange", std::to_string(node.internalPort - 1) + "," + std::to_string(node.internalPort + 14) },
        { "seedNodes", seeds }, { "bootstrap", "true" }, { "limits.cpuShare", "0.25" }, { "limits.cores", "1" },
        { "limits.memoryMb", "260" }, { "limits.fileDescriptors", "4100" }, { "heartbeatMs", "1500" },
        { "bounds.contactMs", "3000" }, { "bounds.drainMs", "2500" }, { "bounds.graceS", "6" },
        { "bounds.configApplyMs", "2500" }, { "bounds.holdMaxMs", "6000" }, { "bounds.stopMs", "200" },
        { "bounds.gangMs", "3000" }, { "bounds.cancel_ms", "3000" }, { "bounds.visible_ms", "3000" },
        { "bounds.finish_s", "14" }, { "bounds.status_s", "120" }, { "bounds.farFactor", "3" },
        { "bounds.noticeMs", "4500" }, { "bounds.upkeepS", "2" }, { "bounds.requireFencing", "false" },
        { "bounds.leaseMs", "3000" }, { "bounds.reclaimMs", "2700" }, { "orders", "invocation" },
        { "platform.address", "127.0.0.1:" + std::to_string(node.storePort) }, { "platform.form", "kv" },
        { "platform.writesPerS", "400" }, { "platform.readsPerS", "2000" }, { "platform.historyS", "20" },
        { "platform.valueBytes", "1048576" }, { "platform.ttlMinMs", "1000" } };
    if (options_.machinesPort != 0)
        lines["cloud.address"] = "127.0.0.1:" + std::to_string(options_.machinesPort);
    for (const auto& [name, value] : options_.settings)
        lines[name] = value;
    std::ofstream file(node.settingsPath);
    for (const auto& [name, value] : lines)
        file << name << "=" << value << "\n";
}

void Cluster::start(Node& node)
{
    auto log = node.settingsPath + ".log";
    auto parent = ::getpid();
    node.process = ::fork();
    if (node.process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            std::_Exit(2);
        auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("AGATEVANE_SETTINGS", node.settingsPath.c_str(), 1);
        ::execl(program, program, static_cast<char*>(nullptr));
        std::_Exit(127);
    }
}

bool Cluster::waitUntilServing()
{
    auto deadline = nowMs() + servingTimeoutMs;
    for (int node = 0; node < size(); ++node) {
        while (send(nodes_[static_cast<std::size_t>(node)].address, nodes_[static_cast<std::size_t>(node)].readyPort,
                   "GET", "/api/readiness", {}, {}, 1000)
                   .status
            != 200) {
            if (nowMs() > deadline)
                return false;
            sleepMs(50);
        }
    }
    while (call(0, "GET", "ffffffffffffffff").status != 410) {
        if (nowMs() > deadline)
            return false;
        sleepMs(50);
    }
    return true;
}

void Cluster::signal(int node, int number)
{
    record("signal " + std::string(strsignal(number)) + " to " + nameOf(node));
    ::kill(nodes_.at(static_cast<std::size_t>(node)).process, number);
}

HttpResult Cluster::call(int node, const std::string& method, const std::string& job, const Json& body, int timeoutMs)
{
    const auto& instance = nodes_.at(static_cast<std::size_t>(node));
    return send(instance.address, instance.frontendPort, method, "/visits/" + job,
        { { "host", host }, { "content-type", "application/json" }, { "x-agatevane-credential", credential },
            { "x-agatevane-deadline-milliseconds", std::to_string(callTimeoutMs) } },
        body.is_null() ? std::string() : body.dump(), timeoutMs);
}

bool Cluster::submit(const std::string& job, const Json& body, int timeoutMs)
{
    auto deadline = nowMs() + timeoutMs;
    for (int node = 0; nowMs() < deadline; node = (node + 1) % size()) {
        record("POST " + job + " to " + nameOf(node));
        auto status = call(node, "POST", job, body).status;
        record("POST " + job + " answered " + std::to_string(status));
        if (status == 200)
            return true;
        sleepMs(200);
    }
    return false;
}

std::string Cluster::stateOf(int node, const std::string& job)
{
    auto result = call(node, "GET", job);
    if (result.status != 200)
        return std::to_string(result.status);
    return Json::parse(result.body, nullptr, false).value("state", "");
}

std::string desiredState(int version)
{
    auto route = [](const char* name, const char* prefix, int priority) {
        return Json { { "name", name }, { "host", host }, { "prefix", prefix }, { "service", "visitdesk" },
            { "priority", priority }, { "maxAttempts", 3 }, { "stretch", 3.0 }, { "targetLatencyMs", 1200 } };
    };
    return Json {
        { "version", version }, { "routes", { route("visits", "/visits/", 1), route("urgent", "/urgent/", 0) } },
        { "services", { { { "name", "visitdesk" }, { "rejectsOverload", false } } } },
        { "tenants",
            { { { "name", "partner-a" }, { "apiKeys", { credential } }, { "guaranteed", { { "gpu", 16 } } } } } },
        { "limits", { { "maxBodyBytes", 262144 } } }
    }.dump();
}

Json jobOf(const std::string& specification, const Json& step)
{
    return { { "specification", specification }, { "steps", Json::array({ step }) } };
}

Arguments readArguments(int count, char** values)
{
    if (count < 3) {
        std::cerr << "usage: " << values[0] << " FOLDER RECORD\n";
        std::_Exit(notRun);
    }
    Record::instance().open(values[2]);
    const char* trouble = std::getenv("TROUBLE");
    Arguments arguments { values[1], !trouble || std::string(trouble) != "0" };
    record(arguments.isTroubled ? "with the disruption" : "without the disruption");
    return arguments;
}

int conclude(Verdict verdict, const std::string& reason)
{
    constexpr const char* names[] = { "HELD", "BROKEN", "NOT RUN" };
    record(std::string(names[verdict]) + ": " + reason);
    std::cout << names[verdict] << ": " << reason << std::endl;
    return verdict;
}

} // namespace rig
