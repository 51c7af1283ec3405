#pragma once

#include "machines.h"
#include <sys/types.h>

namespace rig {

struct ClusterOptions {
    std::string folder; //!< temporary folder for settings and logs
    int nodes = 3;
    int machinesPort = 0; //!< 0: no interface for machines
    std::map<std::string, std::string> settings; //!< replaces or adds lines of the settings file
};

//! The project's nodes as processes of their own, each on a loopback address of its own, with one queue.
class Cluster {
public:
    Cluster(Store& store, const ClusterOptions& options);
    ~Cluster();

    //! Waits until all nodes are ready and one of them serves jobs. False if that takes too long.
    bool waitUntilServing();
    //! Sends a signal to the node's process.
    void signal(int node, int number);
    //! The node's name is the duty holder of its orders.
    static std::string nameOf(int node) { return "frontend-harju-a-" + std::to_string(node + 1); }
    int size() const { return static_cast<int>(nodes_.size()); }

    HttpResult call(
        int node, const std::string& method, const std::string& job, const Json& body = {}, int timeoutMs = 3000);
    //! Tries the nodes in turn until a 2xx answer, as a consumer does with one id. False if there is none in time.
    bool submit(const std::string& job, const Json& body, int timeoutMs = 10000);
    std::string stateOf(int node, const std::string& job);

private:
    struct Node {
        std::string address;
        int frontendPort = 0;
        int readyPort = 0;
        int controlPort = 0;
        int internalPort = 0;
        int storePort = 0;
        std::string settingsPath;
        pid_t process = -1;
    };

    void writeSettings(int index);
    void start(Node& node);

    ClusterOptions options_;
    std::vector<Node> nodes_;
};

//! A desired state with the queues "visits" (/visits/, priority 1) and "urgent" (/urgent/, priority 0).
std::string desiredState(int version);

//! A job of one step.
Json jobOf(const std::string& specification, const Json& step);

//! The exit codes of a case.
enum Verdict { held = 0, broken = 1, notRun = 2 };

//! Reads the arguments FOLDER RECORD and the variable TROUBLE; opens the record.
struct Arguments {
    std::string folder;
    bool isTroubled = true;
};
Arguments readArguments(int count, char** values);

//! Writes the verdict with its reason to the record and to the output.
int conclude(Verdict verdict, const std::string& reason);

} // namespace rig
