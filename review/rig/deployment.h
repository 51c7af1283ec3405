#pragma once

#include "agatevane/event_http/client.h"
#include "rig/record.h"
#include "rig/relay.h"
#include "rig/store.h"
#include "rig/workers.h"
#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

struct Options {
    std::string nodeProgram = "target/bin/agatevane-node";
    std::string recordPath = "record.txt";
    bool hasTrouble = true;
};

//! Reads NODE_PROGRAM, RECORD and TROUBLE from the environment.
Options readOptions();

//! Nodes of agatevane as separate processes on loopback, with a store, workers and clients in this process.
class Deployment {
public:
    Deployment(const Options& options, const WorkerTimes& times = {});
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Record& record() { return record_; }
    Store& store() { return store_; }
    Workers& workers() { return workers_; }

    void putDesiredState();
    //! Starts a node and returns its number. With `control`, other nodes reach it through that relay only; with
    //! `storeLink`, it reaches the store through that relay only.
    int startNode(Relay* control = nullptr, Relay* storeLink = nullptr);
    //! Lets time pass until `condition` holds. False after `limitMs`.
    bool await(std::int64_t limitMs, const std::function<bool()>& condition);
    void sleep(std::int64_t ms);

    //! Sends a client's call to the node and records it; returns the status, 0 if there is no answer.
    int call(int node, const std::string& method, const std::string& job, const nlohmann::json& body = nullptr,
        std::string* answer = nullptr);
    //! As call(), without waiting for the answer, which is recorded.
    void callLater(int node, const std::string& method, const std::string& job, const nlohmann::json& body,
        const std::function<void(int status)>& done);
    //! The state of a job that the node shows, or the status of its answer if that is not 200.
    std::string stateOf(int node, const std::string& job);
    //! True once the node serves clients, so that the fleet has an owner.
    bool awaitService(int node);
    asio::io_context& context() { return context_; }

private:
    struct Node {
        pid_t pid = -1;
        int clients = 0;
        int ready = 0;
        int control = 0;
        std::string advertised; //!< address at which other nodes reach it
        std::string folder;
    };

    Options options_;
    asio::io_context context_;
    Record record_;
    Store store_;
    Workers workers_;
    agatevane::event_http::Client client_;
    std::vector<Node> nodes_;
    std::string folder_;
};

} // namespace review
