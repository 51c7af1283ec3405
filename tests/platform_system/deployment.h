#pragma once

#include "agatevane/event_http/client.h"
#include "standins/relay/relay.h"
#include "tests/system/process.h"
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

//! Starts nodes and the platform's stand-in as processes on the loopback interface.
namespace agatevane::test {

struct DeploymentOptions {
    int nodes = 3;
    int workers = 4;
    std::int64_t maxLeaseMs = 6000; //!< longest lease that workers grant
    //! Forwards the nodes' connections to the store ("store-N", from node N), to the workers ("worker-ID-N", from node
    //! N) and to each other ("peer-N", to node N), and the callers' connections ("caller-N", to node N), over links of
    //! these names. If null, they connect directly.
    standin::Relay* relay = nullptr;
    int memoryMiB = 0; //!< memory of a node's machine; 0: the node's default
    int fileDescriptors = 0; //!< file descriptors of a node's machine; 0: the node's default
};

//! Throws std::runtime_error if a process can't be started.
class PlatformDeployment {
public:
    static constexpr const char* readinessPath = "/api/readiness";

    explicit PlatformDeployment(const DeploymentOptions& options = {});

    //! Sends a caller's request about the job `id` to a node. Returns the HTTP status, or 0 if there was no answer.
    int sendJobRequest(int node, const std::string& method, const std::string& id, const nlohmann::json& body = nullptr,
        std::string* answer = nullptr, const std::string& key = "key-1");
    //! Submits a job of two tasks. Returns the HTTP status, or 0 if there was no answer.
    int submit(int node, const std::string& id, std::int64_t durationMs);
    //! The job's state as the node reports it, or the HTTP status as text if it is not 200.
    std::string stateOf(int node, const std::string& id);
    bool awaitState(int node, const std::string& id, const std::string& state, Millis limit);
    //! Sends a control request to the platform's stand-in. Throws std::runtime_error if it is refused.
    void postControl(const std::string& path, const std::string& body);
    nlohmann::json readControl(const std::string& path);
    //! All runs that the stand-in's workers have started.
    nlohmann::json runs();
    //! Writes a desired state with one queue that jobs use and one tenant, whose API keys are `keys`. Unused queues are
    //! added until it has `bytes`; 0: none.
    void putDesiredState(int version, const std::vector<std::string>& keys, std::size_t bytes = 0);
    //! The node that owns the fleet according to the nodes' metrics; -1 if there is none. Nodes that don't answer
    //! within `timeout` don't count.
    int owner(Millis timeout = defaultTimeout);
    //! The text of a node's metrics; empty if it does not answer.
    std::string metricsOf(int node, Millis timeout = defaultTimeout);

    Process& node(int index) { return *nodes_.at(static_cast<std::size_t>(index)).process; }
    void startNode(int index);
    //! Adds a line to the node's settings file without sending a signal to the node.
    void addSetting(int index, const std::string& line);
    //! The output of the node's present and earlier processes.
    std::string logOf(int index) const;
    int nodeCount() const { return static_cast<int>(nodes_.size()); }
    int metricsPort(int node) const { return nodes_.at(static_cast<std::size_t>(node)).metricsPort; }
    int advertisedCallersPort(int node) const
    {
        return nodes_.at(static_cast<std::size_t>(node)).advertisedCallersPort;
    }
    int readinessPort(int node) const { return nodes_.at(static_cast<std::size_t>(node)).readinessPort; }
    std::vector<std::string> workers() const { return workers_; }
    //! False if the condition does not hold within the limit.
    bool await(Millis limit, const std::function<bool()>& condition);

private:
    struct NodeInstance {
        std::string settingsFile;
        int callersPort = 0;
        int readinessPort = 0;
        int peersPort = 0;
        int metricsPort = 0;
        int storePort = 0; //!< port of the store or of the link to it
        int advertisedPeersPort = 0; //!< port at which other nodes reach this one
        int advertisedCallersPort = 0; //!< port at which callers reach this one
        std::unique_ptr<Process> process;
        std::string earlierOutput; //!< output of the node's earlier processes
    };

    static constexpr Millis defaultTimeout { 4000 };

    int send(int port, event_http::Request request, std::string* answer, Millis timeout = defaultTimeout);
    void writeSettings(NodeInstance& instance, int index, const DeploymentOptions& options);
    void publishWorkersForRelay();
    //! Adds the links of a node to the workers. Returns the port of the store through which the node sees them.
    int relayWorkers(standin::Relay& relay, int node);

    asio::io_context context_;
    event_http::Client client_;
    std::unique_ptr<Process> platform_;
    int storePort_ = 0;
    int controlPort_ = 0;
    int machinesPort_ = 0;
    std::vector<std::string> workers_;
    std::vector<NodeInstance> nodes_;
};

} // namespace agatevane::test
