#pragma once

#include "http.h"
#include "record.h"
#include <atomic>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

//! The nodes of a small deployment as separate processes. A node that holds more memory than its machine has is killed,
//! and each node that has ended is started again after a short delay, as DEPLOY.md says.
class Deployment {
public:
    static constexpr int memoryMb = 260;

    //! `command` is the program of the deploy file with its arguments.
    Deployment(const std::string& command, int nodes, int storePort, Record& record);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    int size() const { return static_cast<int>(nodes_.size()); }
    //! True once all nodes are ready.
    bool awaitReady(std::int64_t timeoutMs) const;
    //! A call of a consumer at one node.
    Response call(int node, const std::string& method, const std::string& target, const std::string& body = {},
        std::int64_t timeoutMs = 3000) const;
    //! As call(), repeated at the other nodes as a consumer does while there is no answer, or one that asks it to: 502,
    //! 503, 504.
    Response callWithRetries(
        const std::string& method, const std::string& target, const std::string& body, int attempts);
    //! How often nodes were killed for holding more memory than their machine has, and on how many machines.
    int memoryKills();
    int machinesWithMemoryKills(int atLeast);
    //! Nodes that ended without being killed by this program.
    int ownEnds();
    std::size_t mostMemoryMb();

private:
    struct Node {
        std::string settings;
        std::string log;
        int callersPort = 0;
        int readyPort = 0;
        pid_t process = -1;
        int memoryKills = 0;
        int ownEnds = 0;
        std::int64_t startAtMs = 0;
        bool isKilled = false;
    };

    void startProcess(Node& node);
    void watch();
    void watchNode(Node& node, int index);

    std::vector<std::string> command_;
    std::string folder_;
    Record& record_;
    std::vector<Node> nodes_;
    std::mutex mutex_;
    std::atomic<bool> isStopping_ { false };
    std::size_t mostMemoryKb_ = 0;
    std::atomic<int> nextNode_ { 0 };
    std::thread watcher_;
};

//! The headers of a consumer's call.
Headers consumerHeaders();

} // namespace rig
