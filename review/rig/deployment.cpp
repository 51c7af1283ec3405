#include "rig/deployment.h"

#include "rig/ports.h"
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using namespace agatevane;
using nlohmann::json;

namespace {

    constexpr std::int64_t clientTimeoutMs = 3000;
    constexpr std::int64_t serviceTimeoutMs = 15000;
    constexpr int statusOk = 200;

    constexpr std::size_t maxNodes = 8;
    //! Process ids of the nodes, for endNodes(); 0: none.
    std::array<volatile pid_t, maxNodes> nodePids {};

    //! Handles the signal with which run.sh ends a case that takes too long.
    void endNodes(int)
    {
        for (auto pid : nodePids) {
            if (pid > 0)
                ::kill(pid, SIGKILL);
        }
        ::_exit(exitCouldNotRun);
    }

    std::string environmentOr(const char* name, const std::string& fallback)
    {
        const char* value = std::getenv(name);
        return value && *value ? value : fallback;
    }

    //! The nodes must not inherit the sockets of the stand-ins, which would stay open when a stand-in closes them.
    void closeDescriptorsInChildren()
    {
        constexpr int firstDescriptor = 3;
        constexpr int endDescriptor = 4096;
        for (int descriptor = firstDescriptor; descriptor < endDescriptor; ++descriptor)
            ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }

} // namespace

Options readOptions()
{
    Options options;
    options.nodeProgram = environmentOr("NODE_PROGRAM", options.nodeProgram);
    options.recordPath = environmentOr("RECORD", options.recordPath);
    options.hasTrouble = environmentOr("TROUBLE", "1") != "0";
    return options;
}

Deployment::Deployment(const Options& options, const WorkerTimes& times)
    : options_(options)
    , context_(1)
    , record_(options.recordPath)
    , store_(context_, record_)
    , workers_(context_, store_, record_, times)
    , client_(context_)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, endNodes);
    std::signal(SIGINT, endNodes);
    auto pattern = std::filesystem::temp_directory_path().string() + "/agatevane-review-XXXXXX";
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    record_.line(options.hasTrouble ? "with the disruption" : "without the disruption");
}

Deployment::~Deployment()
{
    for (const auto& node : nodes_) {
        ::kill(node.pid, SIGKILL);
        ::waitpid(node.pid, nullptr, 0);
    }
    std::error_code ignored;
    if (environmentOr("KEEP_LOGS", "0") == "0")
        std::filesystem::remove_all(folder_, ignored);
}

void Deployment::putDesiredState()
{
    json queue { { "name", "queue-1" }, { "host", "127.0.0.1" }, { "prefix", "/jobs/" }, { "service", "training" },
        { "priority", 1 }, { "maxAttempts", 3 }, { "stretch", 3.0 }, { "targetLatencyMs", 1200 } };
    json state { { "version", 1 }, { "routes", json::array({ queue }) },
        { "services", { { { "name", "training" }, { "rejectsOverload", false } } } },
        { "tenants", { { { "name", "tenant-1" }, { "apiKeys", { "key-1" } }, { "guaranteed", { { "gpu", 8 } } } } } },
        { "limits", { { "maxBodyBytes", 262144 } } } };
    store_.put("op/config", state.dump());
}

int Deployment::startNode(Relay* control, Relay* storeLink)
{
    Node node;
    int number = static_cast<int>(nodes_.size());
    node.clients = freePort();
    node.ready = freePort();
    node.control = freePort();
    int internal = freePort();
    int metrics = freePort();
    while (metrics != internal + 1) {
        internal = metrics;
        metrics = freePort();
    }
    node.folder = folder_;
    if (control)
        control->setTarget(node.control);
    if (storeLink)
        storeLink->setTarget(store_.port());
    auto storePort = storeLink ? storeLink->port() : store_.port();
    node.advertised = "127.0.0.1:" + std::to_string(control ? control->port() : node.control);
    auto seeds = node.advertised;
    for (const auto& other : nodes_)
        seeds += "," + other.advertised;
    auto settings = folder_ + "/node-" + std::to_string(number) + ".conf";
    std::ofstream file(settings);
    file << "nodeName=frontend-zone-a-" << number + 1 << "\nrole=node\nmachineClass=frontend\n"
         << "serves=frontend,control\nipAddress=127.0.0.1\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
         << "listenAddresses.frontendAddress=127.0.0.1:" << node.clients << "\n"
         << "listenAddresses.ready=127.0.0.1:" << node.ready << "\n"
         << "listenAddresses.control=127.0.0.1:" << node.control << "\n"
         << "internalPortRange=" << internal << "," << internal + 15 << "\nseedNodes=" << seeds << "\n"
         << "bootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
         << "limits.fileDescriptors=4100\nheartbeatMs=1500\nbounds.contactMs=3000\nbounds.ackTimeoutMs=4000\n"
         << "bounds.drainMs=2500\nbounds.graceS=6\nbounds.configApplyMs=2500\nbounds.holdMaxMs=6000\n"
         << "bounds.stopMs=200\nbounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
         << "bounds.finish_s=14\nbounds.status_s=120\nbounds.farFactor=3\nbounds.reclaimMs=2700\n"
         << "bounds.requireFencing=false\nbounds.leaseMs=3000\norders=invocation\n"
         << "platform.address=127.0.0.1:" << storePort << "\nplatform.form=kv\nplatform.writesPerS=400\n"
         << "platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
         << "cloud.address=127.0.0.1:" << store_.port() << "\n";
    file.close();
    auto log = folder_ + "/node-" + std::to_string(number) + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<std::string> environment { "AGATEVANE_SETTINGS=" + settings, "PATH=/usr/bin:/bin", "LANG=C" };
    if (control)
        environment.push_back("AGATEVANE_ADVERTISED_PEERS_ADDRESS=" + node.advertised);
    std::vector<char*> variables;
    for (auto& each : environment)
        variables.push_back(each.data());
    variables.push_back(nullptr);
    closeDescriptorsInChildren();
    std::vector<char*> arguments { options_.nodeProgram.data(), nullptr };
    int failure
        = ::posix_spawn(&node.pid, options_.nodeProgram.c_str(), &actions, nullptr, arguments.data(), variables.data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("can't start " + options_.nodeProgram);
    nodes_.push_back(node);
    nodePids.at(static_cast<std::size_t>(number)) = node.pid;
    record_.line("node " + std::to_string(number) + " started");
    return number;
}

bool Deployment::await(std::int64_t limitMs, const std::function<bool()>& condition)
{
    auto end = rigMillis() + limitMs;
    while (!condition()) {
        if (rigMillis() >= end)
            return false;
        context_.restart();
        context_.run_one_for(Millis(10));
    }
    return true;
}

void Deployment::sleep(std::int64_t ms)
{
    await(ms, [] { return false; });
}

void Deployment::callLater(int node, const std::string& method, const std::string& job, const json& body,
    const std::function<void(int status)>& done)
{
    record_.line("client sends " + method + " " + job + " to node " + std::to_string(node));
    event_http::Request request { method, "/jobs/" + job,
        { { "X-Agatevane-Credential", "key-1" },
            { "X-Agatevane-Deadline-Milliseconds", std::to_string(clientTimeoutMs) } },
        body.is_null() ? std::string() : body.dump() };
    client_.send({ "127.0.0.1", nodes_.at(static_cast<std::size_t>(node)).clients }, std::move(request),
        now() + Millis(clientTimeoutMs),
        [this, method, job, done](std::error_code error, const event_http::Response& response) {
            int status = error ? 0 : response.status;
            record_.line("client gets " + (error ? std::string("no answer") : std::to_string(status)) + " for " + method
                + " " + job);
            done(status);
        });
}

int Deployment::call(int node, const std::string& method, const std::string& job, const json& body, std::string* answer)
{
    record_.line("client sends " + method + " " + job + " to node " + std::to_string(node));
    event_http::Request request { method, "/jobs/" + job,
        { { "X-Agatevane-Credential", "key-1" },
            { "X-Agatevane-Deadline-Milliseconds", std::to_string(clientTimeoutMs) } },
        body.is_null() ? std::string() : body.dump() };
    int status = -1;
    std::string text;
    client_.send({ "127.0.0.1", nodes_.at(static_cast<std::size_t>(node)).clients }, std::move(request),
        now() + Millis(clientTimeoutMs), [&](std::error_code error, const event_http::Response& response) {
            status = error ? 0 : response.status;
            text = response.body;
        });
    while (status < 0) {
        context_.restart();
        context_.run_one_for(Millis(10));
    }
    record_.line("client gets " + (status == 0 ? std::string("no answer") : std::to_string(status)) + " for " + method
        + " " + job + " " + text);
    if (answer)
        *answer = text;
    return status;
}

std::string Deployment::stateOf(int node, const std::string& job)
{
    std::string answer;
    auto status = call(node, "GET", job, nullptr, &answer);
    if (status != statusOk)
        return std::to_string(status);
    auto body = json::parse(answer, nullptr, false);
    return body.is_object() ? body.value("state", std::string()) : std::string();
}

bool Deployment::awaitService(int node)
{
    return await(serviceTimeoutMs, [this, node] {
        sleep(100);
        return stateOf(node, "ffffffffffffffff") == "410";
    });
}

} // namespace review
