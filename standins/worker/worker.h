#pragma once

#include "agatevane/base/random.h"
#include "agatevane/http/server.h"
#include "standins/worker/call_table.h"
#include "standins/worker/task_table.h"
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace agatevane::standin {

struct WorkerSettings {
    WorkerId name;
    RackId rack;
    DataCentreId dataCentre;
    std::string address = "127.0.0.1";
    int port = 0;
    int threads = 24;
    Resources capacity { 8, 64, 131072 };
    int slots = 8;
    int connections = 64;
    std::int64_t clockOffsetMs = 0; //!< differs between the workers of a fleet
    std::int64_t usageLagMs = 500; //!< age of the reported slots and connections in use
    std::int64_t callMs = 20; //!< duration of a call whose body does not set one
    std::int64_t checkpointMs = 100;
    std::int64_t lostAnswerMs = 10000; //!< time after which a request whose answer is dropped gets an error
};

//! Faults that a test switches on and off while the worker runs.
struct WorkerFaults {
    bool leaving = false;
    bool failsAll = false; //!< every task and call fails after its start
    bool rejects = false; //!< every prepare and call is refused as if the worker were full
    bool silent = false; //!< requests are not executed; each gets an error after `lostAnswerMs`
    std::int64_t slowMs = 0; //!< delay before a request is executed
    std::int64_t dropNext = 0; //!< the next N commands or calls are executed, but their answers are dropped
    double dropShare = 0; //!< share of the commands and calls whose answers are dropped
};

//! One worker with its state, an HTTP interface on its own port, and injected faults.
class Worker {
public:
    Worker(WorkerSettings settings, std::uint64_t seed);
    ~Worker();

    std::error_code start();
    void stop();
    int port() const { return server_.port(); }
    const WorkerSettings& settings() const { return settings_; }

    void setFaults(const WorkerFaults& faults);
    void restart(bool keepsEpoch);
    //! Records for tests. Their times are on the machine's monotonic clock, which all processes of a machine share.
    nlohmann::json runs();
    nlohmann::json executions();
    nlohmann::json counters();
    WorkerReport report();

private:
    struct Usage {
        std::int64_t clockMs = 0;
        int slots = 0;
        int connections = 0;
    };

    void addRoutes();
    void route(const std::string& method, const std::string& path, bool hasEffect, http::Handler handler);
    template <typename Command>
    void routeCommand(
        const std::string& path, CommandStatus (*apply)(TaskTable&, const Command&, std::int64_t clockMs));
    void handleCall(const http::Request& request, http::Response& response);
    void writeCall(const AttemptId& attempt, const CallRecord& record, http::Response& response) const;
    void writeStatus(CommandStatus status, http::Response& response) const;
    void recordUsage(int slots, int connections);
    bool consumesDrop();
    void pause(Millis duration);
    std::int64_t clockMs() const;

    WorkerSettings settings_;
    http::Server server_;
    std::mutex mutex_; //!< guards the members below, up to `usage_`
    std::condition_variable slotFreed_;
    TaskTable tasks_;
    CallTable calls_;
    WorkerFaults faults_;
    Random random_;
    int slotsUsed_ = 0;
    int connectionsUsed_ = 0;
    std::deque<Usage> usage_;
    std::atomic<bool> stopping_ { false };
    std::atomic<std::uint64_t> requests_ { 0 };
    std::atomic<std::uint64_t> bytesIn_ { 0 };
    std::atomic<std::uint64_t> bytesOut_ { 0 };
};

} // namespace agatevane::standin
