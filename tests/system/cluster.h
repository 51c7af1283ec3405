#pragma once

#include "agatevane/http/client.h"
#include "agatevane/net/rpc.h"
#include "agatevane/peer_api/messages.h"
#include "process.h"
#include <asio/executor_work_guard.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace agatevane::test {

//! Options of a small deployment of real processes on loopback: the stand-ins of the platform and some entry VMs.
struct ClusterOptions {
    std::vector<std::string> regions { "harju", "tartu", "parnu" }; //!< each has one data centre of the same name
    int vmsPerRegion = 1;
    int workersPerDataCentre = 4;
    int rackSize = 2;
    int acceleratorsPerWorker = 8;
    int taskCheckpointMs = 100;
    std::vector<std::string> storeArguments;
    std::vector<std::string> entryArguments;
    std::vector<std::string> schedulerArguments;
};

//! The two processes of one entry VM and their ports.
struct Vm {
    std::string name;
    std::string region;
    int entryPort = 0;
    int entryRpcPort = 0;
    int schedulerRpcPort = 0;
    int schedulerHttpPort = 0;
    std::unique_ptr<Process> entry;
    std::unique_ptr<Process> scheduler;
};

constexpr const char* operatorToken = "operator-token";
constexpr const char* callerToken = "caller-token";

//! Runs an io_context on its own thread.
struct EventLoop {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard { context.get_executor() };
    std::thread thread { [this] { context.run(); } };

    ~EventLoop()
    {
        context.stop();
        thread.join();
    }
};

class Cluster {
public:
    //! Starts everything and waits until every entry VM is ready and every data centre has an owner; throws if that
    //! takes more than 30 s.
    explicit Cluster(const ClusterOptions& options = {});

    std::vector<Vm>& vms() { return vms_; }
    Vm& firstVmIn(const std::string& region);
    Process& store() { return *store_; }

    void startEntry(Vm& vm);
    void startScheduler(Vm& vm);

    //! Sends a request to an entry VM with the given bearer token.
    http::ClientResult request(const Vm& vm, const std::string& method, const std::string& path,
        const std::string& body = "", const http::Headers& headers = {}, const std::string& token = callerToken,
        Millis timeout = Millis(30000));

    http::ClientResult storeControl(const nlohmann::json& faults);
    nlohmann::json storeCounters();
    //! Posts a control action to the stand-in of a worker; `worker` may be "all".
    void workerControl(const std::string& dataCentre, const std::string& worker, const std::string& action,
        const nlohmann::json& body);
    //! Returns a log, such as "runs", of all workers of a data centre, or of all data centres if none is given.
    nlohmann::json workerLog(const std::string& name, const std::string& dataCentre = "");
    void setVmList(const nlohmann::json& vms);

    //! Index of the VM whose scheduler reports itself as owner of the data centre; -1 if none does.
    int ownerOf(const std::string& dataCentre);
    ShardStatusReply shardStatus(const Vm& vm, const std::string& dataCentre);

    //! Submits a job through a VM. Returns its id, or "" if it was not accepted.
    std::string submitJob(const Vm& vm, const nlohmann::json& spec, http::ClientResult* answer = nullptr);
    std::string jobState(const Vm& vm, const std::string& id);
    bool waitForJob(const Vm& vm, const std::string& id, const std::string& state, Millis limit);

    //! Returns the end of each process's output, for messages of failed checks.
    std::string outputs() const;

private:
    void startPlatform();
    void writeCatalogue();
    void waitUntilReady();
    int workerControlPort(const std::string& dataCentre) const;

    ClusterOptions options_;
    EventLoop loop_;
    int storePort_ = 0;
    int storeControlPort_ = 0;
    int vmListPort_ = 0;
    int vmListControlPort_ = 0;
    std::map<std::string, int> workerControlPort_;
    std::unique_ptr<Process> store_;
    std::unique_ptr<Process> vmList_;
    std::map<std::string, std::unique_ptr<Process>> workers_;
    std::vector<Vm> vms_;
};

//! Polls until `condition` holds. Returns false if it does not hold within the limit.
template <typename Condition> bool waitFor(Condition condition, Millis limit)
{
    auto deadline = now() + limit;
    while (!condition()) {
        if (now() >= deadline)
            return false;
        usleep(20000);
    }
    return true;
}

} // namespace agatevane::test
