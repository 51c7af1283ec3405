#include "deployment.h"

#include "standins/platform/published_address.h"
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace agatevane::test {

namespace {

    constexpr Millis startTimeout { 15000 };
    constexpr Millis pollInterval { 50 };

    nlohmann::json queueNamed(const std::string& name, const std::string& prefix)
    {
        return { { "name", name }, { "host", "127.0.0.1" }, { "prefix", prefix }, { "service", "training" },
            { "priority", 1 }, { "maxAttempts", 3 }, { "stretch", 3.0 }, { "targetLatencyMs", 1000 } };
    }

    void require(bool condition, const std::string& what)
    {
        if (!condition)
            throw std::runtime_error(what);
    }

} // namespace

PlatformDeployment::PlatformDeployment(const DeploymentOptions& options)
    : client_(context_)
    , platform_(std::make_unique<Process>("standin-platform",
          std::vector<std::string> {
              "--workers", std::to_string(options.workers), "--max-lease-ms", std::to_string(options.maxLeaseMs) }))
{
    require(await(startTimeout, [this] { return platform_->output().find("}") != std::string::npos; }),
        "the platform's stand-in has not started within " + std::to_string(startTimeout.count()) + " ms");
    auto ports = nlohmann::json::parse(platform_->output());
    storePort_ = ports.at("store");
    controlPort_ = ports.at("control");
    machinesPort_ = ports.at("machines");
    putDesiredState(1, { "key-1" });
    auto workers = readControl("/workers");
    for (const auto& [id, port] : workers.items())
        workers_.push_back(id);
    if (options.relay)
        publishWorkersForRelay();
    for (int index = 0; index < options.nodes; ++index) {
        auto& instance = nodes_.emplace_back();
        instance.callersPort = freePort();
        instance.readinessPort = freePort();
        instance.peersPort = freePort();
        instance.metricsPort = freePort();
        auto linkTo = [&](const std::string& name, int port) {
            return options.relay
                ? options.relay->add({ name + std::to_string(index), "tcp", freePort(), "127.0.0.1", port })
                : port;
        };
        instance.storePort = linkTo("store-", options.relay ? relayWorkers(*options.relay, index) : storePort_);
        instance.advertisedPeersPort = linkTo("peer-", instance.peersPort);
        instance.advertisedCallersPort = linkTo("caller-", instance.callersPort);
        require(instance.storePort > 0 && instance.advertisedPeersPort > 0 && instance.advertisedCallersPort > 0,
            "a link of the relay to or from node " + std::to_string(index) + " can't listen");
    }
    for (int index = 0; index < options.nodes; ++index) {
        writeSettings(nodes_[static_cast<std::size_t>(index)], index, options);
        startNode(index);
    }
    require(await(startTimeout, [this] { return owner() >= 0 && stateOf(0, "ffffffffffffffff") == "410"; }),
        "the fleet has no owner or node 0 does not serve callers after " + std::to_string(startTimeout.count())
            + " ms");
}

void PlatformDeployment::publishWorkersForRelay()
{
    auto ports = readControl("/workers");
    for (const auto& [id, port] : ports.items())
        postControl("/workers/" + id + "/publish",
            std::string(standin::publishedWorkersAddress) + ":" + std::to_string(port.get<int>()));
}

//! Each node reaches the workers at an IP address of its own, on the workers' own ports.
int PlatformDeployment::relayWorkers(standin::Relay& relay, int node)
{
    constexpr int firstHost = 101;
    auto address = "127.0.1." + std::to_string(firstHost + node);
    auto ports = readControl("/workers");
    for (const auto& [id, port] : ports.items()) {
        auto name = "worker-" + id + "-" + std::to_string(node);
        require(relay.add({ name, "tcp", port, "127.0.0.1", port, address }) > 0, "the link " + name + " can't listen");
    }
    std::string answer;
    nlohmann::json view { { "workersAddress", address } };
    require(send(controlPort_, { "POST", "/views", {}, view.dump() }, &answer) == 200,
        "the platform's stand-in has refused a port of the store for node " + std::to_string(node));
    return nlohmann::json::parse(answer).at("port");
}

void PlatformDeployment::writeSettings(NodeInstance& instance, int index, const DeploymentOptions& options)
{
    instance.settingsFile
        = "/tmp/agatevane_node_" + std::to_string(::getpid()) + "_" + std::to_string(instance.peersPort);
    std::string seeds;
    for (const auto& other : nodes_)
        seeds += (seeds.empty() ? "" : ",") + std::string("127.0.0.1:") + std::to_string(other.advertisedPeersPort);
    std::ofstream file(instance.settingsFile);
    file << "nodeName=node-" << index << "\nipAddress=127.0.0.1\nzone=zone-a\nregion=region-a\n"
         << "listenAddresses.frontendAddress=127.0.0.1:" << instance.callersPort << "\n"
         << "listenAddresses.ready=127.0.0.1:" << instance.readinessPort << "\n"
         << "listenAddresses.control=127.0.0.1:" << instance.peersPort << "\n"
         << "internalPortRange=" << instance.metricsPort - 1 << "," << instance.metricsPort + 1 << "\n"
         << "seedNodes=" << seeds << "\nplatform.address=127.0.0.1:" << instance.storePort << "\n"
         << "cloud.address=127.0.0.1:" << machinesPort_ << "\n"
         << "platform.ttlMinMs=1000\nbounds.graceS=6\nbounds.holdMaxMs=" << options.maxLeaseMs
         << "\nbounds.status_s=120\n";
    if (options.memoryMiB > 0)
        file << "limits.memoryMb=" << options.memoryMiB << "\n";
    if (options.fileDescriptors > 0)
        file << "limits.fileDescriptors=" << options.fileDescriptors << "\n";
}

void PlatformDeployment::startNode(int index)
{
    auto& instance = nodes_.at(static_cast<std::size_t>(index));
    if (instance.process)
        instance.earlierOutput += instance.process->output();
    instance.process = std::make_unique<Process>("agatevane-node",
        std::vector<std::string> { "--settings", instance.settingsFile, "--advertised-peers-address",
            "127.0.0.1:" + std::to_string(instance.advertisedPeersPort) });
}

void PlatformDeployment::addSetting(int index, const std::string& line)
{
    std::ofstream file(nodes_.at(static_cast<std::size_t>(index)).settingsFile, std::ios::app);
    file << line << "\n";
}

std::string PlatformDeployment::logOf(int index) const
{
    const auto& instance = nodes_.at(static_cast<std::size_t>(index));
    return instance.earlierOutput + (instance.process ? instance.process->output() : std::string());
}

bool PlatformDeployment::await(Millis limit, const std::function<bool()>& condition)
{
    auto end = now() + limit;
    while (!condition()) {
        if (now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

int PlatformDeployment::send(int port, event_http::Request request, std::string* answer, Millis timeout)
{
    int status = -1;
    client_.send({ "127.0.0.1", port }, std::move(request), now() + timeout,
        [&](std::error_code error, const event_http::Response& response) {
            status = error ? 0 : response.status;
            if (answer)
                *answer = response.body;
        });
    while (status < 0) {
        context_.restart();
        context_.run_one_for(Millis(10));
    }
    return status;
}

int PlatformDeployment::sendJobRequest(int node, const std::string& method, const std::string& id,
    const nlohmann::json& body, std::string* answer, const std::string& key)
{
    event_http::Request request { method, "/jobs/" + id,
        { { "X-Agatevane-Credential", key }, { "X-Agatevane-Deadline-Milliseconds", "3000" } },
        body.is_null() ? std::string() : body.dump() };
    return send(nodes_.at(static_cast<std::size_t>(node)).callersPort, std::move(request), answer);
}

int PlatformDeployment::submit(int node, const std::string& id, std::int64_t durationMs)
{
    nlohmann::json step { { "count", 2 }, { "cpu", 1000 }, { "gpu", 2 }, { "estimatedMs", durationMs } };
    return sendJobRequest(node, "POST", id,
        { { "specification", "ms=" + std::to_string(durationMs) }, { "steps", nlohmann::json::array({ step }) } });
}

std::string PlatformDeployment::stateOf(int node, const std::string& id)
{
    std::string answer;
    auto status = sendJobRequest(node, "GET", id, nullptr, &answer);
    if (status != 200)
        return std::to_string(status);
    return nlohmann::json::parse(answer).value("state", "");
}

bool PlatformDeployment::awaitState(int node, const std::string& id, const std::string& state, Millis limit)
{
    return await(limit, [&] { return stateOf(node, id) == state; });
}

void PlatformDeployment::postControl(const std::string& path, const std::string& body)
{
    require(send(controlPort_, { "POST", path, {}, body }, nullptr) == 200,
        "the platform's stand-in has refused POST " + path);
}

nlohmann::json PlatformDeployment::readControl(const std::string& path)
{
    std::string answer;
    require(
        send(controlPort_, { "GET", path, {}, {} }, &answer) == 200, "the platform's stand-in has refused GET " + path);
    return nlohmann::json::parse(answer);
}

nlohmann::json PlatformDeployment::runs()
{
    return readControl("/runs");
}

void PlatformDeployment::putDesiredState(int version, const std::vector<std::string>& keys, std::size_t bytes)
{
    auto queues = nlohmann::json::array({ queueNamed("queue-1", "/jobs/") });
    auto unused = [](std::size_t number) {
        auto name = "unused-" + std::to_string(number);
        return queueNamed(name, "/" + name + "/");
    };
    constexpr std::size_t fixedBytes = 1024; // what else the state has
    auto queueBytes = unused(bytes).dump().size() + 1;
    for (std::size_t number = 0; fixedBytes + queues.size() * queueBytes < bytes; ++number)
        queues.push_back(unused(number));
    nlohmann::json state { { "version", version }, { "routes", queues }, { "services", { { { "name", "training" } } } },
        { "tenants", { { { "name", "tenant-1" }, { "apiKeys", keys }, { "guaranteed", { { "gpu", 8 } } } } } } };
    postControl("/desired", state.dump());
}

std::string PlatformDeployment::metricsOf(int node, Millis timeout)
{
    auto& instance = nodes_.at(static_cast<std::size_t>(node));
    std::string text;
    if (!instance.process || !instance.process->isRunning()
        || send(instance.metricsPort, { "GET", "/metrics", {}, {} }, &text, timeout) != 200)
        return {};
    return text;
}

int PlatformDeployment::owner(Millis timeout)
{
    for (int node = 0; node < nodeCount(); ++node) {
        if (metricsOf(node, timeout).find("\nagatevane_is_owner 1\n") != std::string::npos)
            return node;
    }
    return -1;
}

} // namespace agatevane::test
