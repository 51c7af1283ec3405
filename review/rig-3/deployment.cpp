#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

    constexpr int internalPorts = 16;
    constexpr std::int64_t restartDelayMs = 500;
    constexpr std::int64_t watchIntervalMs = 20;
    constexpr std::int64_t retryPauseMs = 250;
    constexpr std::int64_t stopTimeoutMs = 8000;

    std::size_t residentKb(pid_t process)
    {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::stoul(line.substr(6));
        }
        return 0;
    }

    std::string settingsOf(int index, const std::vector<int>& ports, const std::string& seeds, int storePort)
    {
        auto at = [&ports](int offset) {
            return ownAddress() + ":" + std::to_string(ports[static_cast<std::size_t>(offset)]);
        };
        std::ostringstream text;
        text << "nodeName=frontend-" << index << "\nrole=node\nmachineClass=frontend\nserves=frontend,control\n"
             << "ipAddress=" << ownAddress() << "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
             << "listenAddresses.frontendAddress=" << at(0) << "\nlistenAddresses.ready=" << at(1)
             << "\nlistenAddresses.control=" << at(2) << "\ninternalPortRange=" << ports[3] << ","
             << ports[3] + internalPorts - 1 << "\nseedNodes=" << seeds
             << "\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=" << Deployment::memoryMb
             << "\nlimits.fileDescriptors=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
             << "discovery=platform\nentry=virtual_ip\nheartbeatMs=1500\n"
             << "contracts=base,drain,config,cost,recover,sched,tenants,platform\n"
             << "bounds.contactMs=3000\nbounds.ackTimeoutMs=4000\nbounds.drainMs=2500\nbounds.graceS=6\n"
             << "bounds.configApplyMs=2500\nbounds.holdMaxMs=6000\nbounds.stopMs=200\nbounds.gangMs=3000\n"
             << "bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n"
             << "bounds.status_s=120\nbounds.farFactor=3\nbounds.checkpointIntervalS=2\nbounds.restoreMs=250\n"
             << "bounds.reclaimMs=2700\norders=invocation\nplatform.address=" << ownAddress() << ":" << storePort
             << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
             << "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
        return text.str();
    }

} // namespace

Headers consumerHeaders()
{
    return { { "Host", "nony24.example" }, { "X-Agatevane-Credential", "d4a3hwrr6x73d3zji9n7" },
        { "X-Agatevane-Deadline-Milliseconds", "3000" } };
}

Deployment::Deployment(const std::string& command, int nodes, int storePort, Record& record)
    : record_(record)
{
    std::istringstream words(command);
    for (std::string word; words >> word;)
        command_.push_back(word);
    std::string pattern = (std::filesystem::temp_directory_path() / "review-rig-3-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    std::vector<std::vector<int>> ports;
    std::string seeds;
    constexpr int portsPerNode = 3 + internalPorts;
    auto firstOfAll = freePorts(nodes * portsPerNode);
    for (int index = 0; index < nodes; ++index) {
        auto first = firstOfAll + index * portsPerNode;
        ports.push_back({ first, first + 1, first + 2, first + 3 });
        seeds += (seeds.empty() ? "" : ",") + ownAddress() + ":" + std::to_string(first + 2);
    }
    for (int index = 0; index < nodes; ++index) {
        Node node;
        node.settings = folder_ + "/node-" + std::to_string(index) + ".conf";
        node.log = folder_ + "/node-" + std::to_string(index) + ".log";
        node.callersPort = ports[static_cast<std::size_t>(index)][0];
        node.readyPort = ports[static_cast<std::size_t>(index)][1];
        std::ofstream(node.settings) << settingsOf(index, ports[static_cast<std::size_t>(index)], seeds, storePort);
        nodes_.push_back(node);
    }
    for (auto& node : nodes_)
        startProcess(node);
    watcher_ = std::thread([this] { watch(); });
}

Deployment::~Deployment()
{
    isStopping_ = true;
    watcher_.join();
    for (auto& node : nodes_) {
        if (node.process > 0)
            ::kill(node.process, SIGTERM);
    }
    auto deadline = steadyMs() + stopTimeoutMs;
    for (auto& node : nodes_) {
        while (node.process > 0 && ::waitpid(node.process, nullptr, WNOHANG) == 0) {
            if (steadyMs() >= deadline) {
                ::kill(node.process, SIGKILL);
                ::waitpid(node.process, nullptr, 0);
                break;
            }
            sleepMs(watchIntervalMs);
        }
    }
    if (const char* kept = std::getenv("KEEP_LOGS"); !kept)
        std::filesystem::remove_all(folder_);
    else
        record_.say("logs in " + folder_);
}

void Deployment::startProcess(Node& node)
{
    std::vector<char*> words;
    for (auto& word : command_)
        words.push_back(word.data());
    words.push_back(nullptr);
    auto settings = "AGATEVANE_SETTINGS=" + node.settings;
    std::vector<std::string> variables { settings };
    for (const char* name : { "PATH", "HOME", "LANG" }) {
        if (const char* value = std::getenv(name))
            variables.push_back(std::string(name) + "=" + value);
    }
    std::vector<char*> environment;
    for (auto& variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    int log = ::open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    node.isKilled = false;
    node.process = ::fork();
    if (node.process == 0) {
        // A node does not outlive this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(words[0], words.data(), environment.data());
        ::_exit(127);
    }
    ::close(log);
}

void Deployment::watch()
{
    while (!isStopping_) {
        {
            std::lock_guard lock(mutex_);
            for (std::size_t index = 0; index < nodes_.size(); ++index)
                watchNode(nodes_[index], static_cast<int>(index));
        }
        sleepMs(watchIntervalMs);
    }
}

void Deployment::watchNode(Node& node, int index)
{
    auto name = "node " + std::to_string(index);
    if (node.process < 0) {
        if (steadyMs() >= node.startAtMs) {
            startProcess(node);
            record_.say(name + " is started again");
        }
        return;
    }
    auto held = residentKb(node.process);
    mostMemoryKb_ = std::max(mostMemoryKb_, held);
    if (!node.isKilled && held > std::size_t(memoryMb) * 1024) {
        ++node.memoryKills;
        node.isKilled = true;
        ::kill(node.process, SIGKILL);
        record_.say(name + " holds " + std::to_string(held / 1024)
            + " MB, more than memoryMb=" + std::to_string(memoryMb) + ", and is killed");
    }
    int status = 0;
    if (::waitpid(node.process, &status, WNOHANG) <= 0)
        return;
    if (!node.isKilled) {
        ++node.ownEnds;
        record_.say(name + " has ended by itself, status " + std::to_string(status));
    }
    node.process = -1;
    node.startAtMs = steadyMs() + restartDelayMs;
}

bool Deployment::awaitReady(std::int64_t timeoutMs) const
{
    auto deadline = steadyMs() + timeoutMs;
    while (steadyMs() < deadline) {
        auto ready = std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) {
            return rig::call(node.readyPort, "GET", "/api/readiness", {}, {}, 1000).status == 200;
        });
        if (ready)
            return true;
        sleepMs(100);
    }
    return false;
}

Response Deployment::call(int node, const std::string& method, const std::string& target, const std::string& body,
    std::int64_t timeoutMs) const
{
    return rig::call(
        nodes_[static_cast<std::size_t>(node)].callersPort, method, target, consumerHeaders(), body, timeoutMs);
}

Response Deployment::callWithRetries(
    const std::string& method, const std::string& target, const std::string& body, int attempts)
{
    Response response;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        response = call(nextNode_++ % size(), method, target, body);
        if (response.status != 0 && response.status != 502 && response.status != 503 && response.status != 504)
            return response;
        sleepMs(retryPauseMs);
    }
    return response;
}

int Deployment::memoryKills()
{
    std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& node : nodes_)
        count += node.memoryKills;
    return count;
}

int Deployment::machinesWithMemoryKills(int atLeast)
{
    std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(
        nodes_.begin(), nodes_.end(), [atLeast](const Node& node) { return node.memoryKills >= atLeast; }));
}

int Deployment::ownEnds()
{
    std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& node : nodes_)
        count += node.ownEnds;
    return count;
}

std::size_t Deployment::mostMemoryMb()
{
    std::lock_guard lock(mutex_);
    return mostMemoryKb_ / 1024;
}

} // namespace rig
