#pragma once

#include "agatevane/event_http/server.h"
#include "agatevane/kv/kv.h"
#include "node/timer.h"
#include "standins/platform/kv_model.h"
#include "standins/platform/worker_model.h"
#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

//! Serves the modelled store, workers and machines over the platform's published HTTP interface, and injects faults.
namespace agatevane::standin {

struct PlatformOptions {
    std::string address = "127.0.0.1";
    int workers = 8;
    int workersPerRack = 4;
    std::string service = "training";
    ModelTimes times;
};

//! Faults that the store injects into calls.
struct StoreFaults {
    bool isDown = false; //!< the store answers 503 and executes nothing
    bool losesAnswers = false; //!< the store executes writes but does not answer them
    int delayMs = 0; //!< the store executes and answers each call after this delay
    int unansweredDelayMs = 0; //!< the store executes writes after this delay and does not answer them; 0: off
};

class PlatformServer {
public:
    PlatformServer(asio::io_context& context, const PlatformOptions& options);

    //! False if a port can't be bound.
    bool start();
    int storePort() const { return storeServer_->port(); }
    int controlPort() const { return controlServer_->port(); }
    int machinesPort() const { return machinesServer_->port(); }

private:
    using Json = nlohmann::json;
    using Respond = event_http::Respond;
    using Response = event_http::Response;

    struct Endpoint {
        fleet::WorkerId worker;
        std::unique_ptr<event_http::Server> server;
        std::string publishedAddress; //!< address in the worker's store entry; empty: the worker's own address
        //! The worker executes orders after this delay and does not answer them; polls are not affected. 0: off.
        int unansweredDelayMs = 0;
    };

    //! A machine and the worker that runs on it. The worker gets a new id after each upkeep.
    struct Machine {
        fleet::WorkerId worker;
        std::set<std::int64_t> startedWaves; //!< waves for which the machine's upkeep has started
        std::int64_t upkeepEndsAtMs = -1; //!< -1: the machine is up
        int upkeeps = 0; //!< number of the machine's completed upkeeps, part of its worker's id
    };

    bool addWorker(const fleet::WorkerListing& listing);
    bool serveWorker(Endpoint& endpoint, int port);
    bool restartWorker(const fleet::WorkerId& worker);
    void handleMachines(const event_http::Request& request, const Respond& respond);
    Response startUpkeep(const Json& body);
    void finishUpkeeps();
    bool putItem(const std::string& text);
    bool putWave(const std::string& text);
    void handleStore(const event_http::Request& request, const Respond& respond);
    void handleRead(const event_http::Request& request, const Respond& respond);
    void handleWrite(const event_http::Request& request, const Respond& respond);
    void waitForChanges(const std::string& prefix, kv::Revision after, std::int64_t untilMs, const Respond& respond);
    void handleWorker(const fleet::WorkerId& worker, const event_http::Request& request, const Respond& respond);
    void runAfter(int delayMs, const std::function<void()>& action);
    event_http::Response executeOrder(const fleet::WorkerId& worker, const std::string& target, const Json& body);
    void handlePoll(const fleet::WorkerId& worker, const Json& body, const Respond& respond);
    void answerPoll(const fleet::WorkerId& worker, std::int64_t incarnation, const fleet::PollOrder& order,
        std::int64_t untilMs, const Respond& respond);
    void handleControl(const event_http::Request& request, const Respond& respond);
    void putDesiredState(const std::string& text);
    void publishWorkers();

    asio::io_context& context_;
    PlatformOptions options_;
    KvModel kv_;
    WorkerModel workers_;
    StoreFaults faults_;
    std::unique_ptr<event_http::Server> storeServer_;
    std::unique_ptr<event_http::Server> controlServer_;
    std::unique_ptr<event_http::Server> machinesServer_;
    std::map<std::string, Machine> machines_;
    std::map<fleet::WorkerId, Endpoint> endpoints_;
    std::map<fleet::WorkerId, std::string> published_;
    node::Timer publishTimer_;
};

} // namespace agatevane::standin
