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

//! Nodes and the platform's stand-in as processes on loopback.
namespace agatevane::test {

struct DeploymentOptions {
    int nodes = 3;
    int workers = 4;
    //! Forwards what the nodes send to the store, to the workers and to each other over links named "store-N",
    //! "worker-ID" and "peer-N" (to node N), and what callers send over "caller-N"; null: they send it directly.
    standin::Relay* relay = nullptr;
};

//! Throws std::runtime_error if a process can't be started.
class PlatformDeployment {
public:
    explicit PlatformDeployment(const DeploymentOptions& options = {});

    //! Status of the answer, 0 if there was none.
    int sendJobRequest(int node, const std::string& method, const std::string& id, const nlohmann::json& body = nullptr,
        std::string* answer = nullptr, const std::string& key = "key-1");
    int submit(int node, const std::string& id, std::int64_t durationMs);
    std::string stateOf(int node, const std::string& id);
    bool awaitState(int node, const std::string& id, const std::string& state, Millis limit);
    void postControl(const std::string& path, const std::string& body);
    nlohmann::json readControl(const std::string& path);
    nlohmann::json runs();
    void putDesiredState(int version, const std::vector<std::string>& keys);
    //! The node that owns the fleet, as the metrics say; -1: none.
    int owner();

    Process& node(int index) { return *nodes_.at(static_cast<std::size_t>(index)).process; }
    void startNode(int index);
    //! Adds a line to the node's settings file, without a signal.
    void addSetting(int index, const std::string& line);
    //! What the node's processes have written since the beginning.
    std::string logOf(int index) const;
    int nodeCount() const { return static_cast<int>(nodes_.size()); }
    int metricsPort(int node) const { return nodes_.at(static_cast<std::size_t>(node)).metricsPort; }
    int advertisedCallersPort(int node) const
    {
        return nodes_.at(static_cast<std::size_t>(node)).advertisedCallersPort;
    }
    std::vector<std::string> workers() const { return workers_; }
    bool await(Millis limit, const std::function<bool()>& condition);

private:
    struct Member {
        std::string settingsFile;
        int callersPort = 0;
        int readinessPort = 0;
        int peersPort = 0;
        int metricsPort = 0;
        int storePort = 0; //!< of the store or of the link to it
        int advertisedPort = 0; //!< at which other nodes reach this one
        int advertisedCallersPort = 0; //!< at which callers reach this one
        std::unique_ptr<Process> process;
        std::string earlierOutput; //!< of the processes before
    };

    int send(int port, event_http::Request request, std::string* answer);
    void writeSettings(Member& member, int index);
    void relayWorkers(standin::Relay& relay);

    asio::io_context context_;
    event_http::Client client_;
    std::unique_ptr<Process> platform_;
    int storePort_ = 0;
    int controlPort_ = 0;
    int machinesPort_ = 0;
    std::vector<std::string> workers_;
    std::vector<Member> nodes_;
};

} // namespace agatevane::test
