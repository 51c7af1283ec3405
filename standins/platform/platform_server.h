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

//! Serves the modelled store and workers over the platform's published interface, with faults.
namespace agatevane::standin {

struct PlatformOptions {
    std::string address = "127.0.0.1";
    int workers = 8;
    int workersPerRack = 4;
    std::string service = "training";
    ModelTimes times;
};

//! How the store treats calls.
struct StoreFaults {
    bool isDown = false; //!< answers 503 and does nothing
    bool losesAnswers = false; //!< carries writes out and answers nothing
    int delayMs = 0;
    int lateMs = 0; //!< carries writes out so much later and answers nothing
};

class PlatformServer {
public:
    PlatformServer(asio::io_context& context, const PlatformOptions& options);

    //! False if a port can't be bound.
    bool start();
    int storePort() const { return store_->port(); }
    int controlPort() const { return control_->port(); }
    int machinesPort() const { return cloud_->port(); }

private:
    using Json = nlohmann::json;
    using Respond = event_http::Respond;
    using Response = event_http::Response;

    struct Endpoint {
        fleet::WorkerId worker;
        std::unique_ptr<event_http::Server> server;
        std::string publishedAddress; //!< shown in the store in place of its own; empty: its own
        int lateMs = 0; //!< carries orders out so much later and answers nothing; looks are answered
    };

    //! A machine and the worker that runs on it, under a new id after each upkeep.
    struct Machine {
        fleet::WorkerId worker;
        std::set<std::int64_t> waves; //!< for which it had its upkeep
        std::int64_t backAtMs = -1; //!< -1: it is up
        int upkeeps = 0;
    };

    bool addWorker(const fleet::WorkerListing& listing);
    bool serveWorker(Endpoint& endpoint, int port);
    bool restartWorker(const fleet::WorkerId& worker);
    void handleMachines(const event_http::Request& request, const Respond& respond);
    Response takeDown(const Json& body);
    void returnMachines();
    bool putWave(const std::string& text);
    void handleStore(const event_http::Request& request, const Respond& respond);
    void handleRead(const event_http::Request& request, const Respond& respond);
    void handleWrite(const event_http::Request& request, const Respond& respond);
    void waitForChanges(const std::string& prefix, kv::Revision after, std::int64_t untilMs, const Respond& respond);
    void handleWorker(const fleet::WorkerId& worker, const event_http::Request& request, const Respond& respond);
    void later(int delayMs, const std::function<void()>& action);
    event_http::Response carryOutOrder(const fleet::WorkerId& worker, const std::string& target, const Json& body);
    void handleLook(const fleet::WorkerId& worker, const Json& body, const Respond& respond);
    void answerLook(const fleet::WorkerId& worker, std::int64_t incarnation, const fleet::PollOrder& order,
        std::int64_t untilMs, const Respond& respond);
    void handleControl(const event_http::Request& request, const Respond& respond);
    void putDesired(const std::string& text);
    void beat();

    asio::io_context& context_;
    PlatformOptions options_;
    KvModel kv_;
    WorkerModel workers_;
    StoreFaults faults_;
    std::unique_ptr<event_http::Server> store_;
    std::unique_ptr<event_http::Server> control_;
    std::unique_ptr<event_http::Server> cloud_;
    std::map<std::string, Machine> machines_;
    std::map<fleet::WorkerId, Endpoint> endpoints_;
    std::map<fleet::WorkerId, std::string> published_;
    node::Timer beatTimer_;
};

} // namespace agatevane::standin
