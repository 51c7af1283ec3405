#pragma once

#include "agatevane/event_http/server.h"
#include "node/timer.h"
#include "rig/record.h"
#include "rig/store.h"
#include <asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

//! A subtask that a worker has begun.
struct RunRecord {
    std::string task; //!< ID.K.STEP.INDEX
    std::int64_t run = 0;
    std::string worker;
    std::string kind; //!< the worker's kind in the lifetime that began the run
    std::int64_t beganMs = 0;
    std::int64_t endedMs = -1; //!< -1: it has not ended
    std::string how; //!< empty: it has not ended, or was lost with its worker
    std::int64_t notedMs = -1; //!< when `lastSeen` reached the end; -1: not yet
    bool hasLeaseLapsed = false; //!< the worker's lease lapsed between the end and its being taken note of
};

struct WorkerTimes {
    std::int64_t heartbeatMs = 1500;
    std::int64_t firstReportMs = 100; //!< a new lifetime's first report comes this long after its start
    std::int64_t holdMaxMs = 6000;
    std::int64_t stopMs = 150;
};

//! The workers of one service, as the pages describe them. They start whatever they are told to start. The
//! specification of a job says how long each of its subtasks works: "ms=900".
class Workers {
public:
    Workers(asio::io_context& context, Store& store, Record& record, const WorkerTimes& times = {});

    void add(const std::string& id, const std::string& kind, const std::string& rack);
    //! The worker loses all it runs and closes its channels.
    void crash(const std::string& id);
    //! Starts a new lifetime under the same id, at the same address.
    void start(const std::string& id, const std::string& kind);

    const std::deque<RunRecord>& history() const { return history_; }
    //! Number of runs of the job that are present now, on any worker.
    std::size_t runsOf(const std::string& job) const;

private:
    using Json = nlohmann::json;
    using Request = agatevane::event_http::Request;
    using Respond = agatevane::event_http::Respond;
    using RunKey = std::pair<std::string, std::int64_t>;

    struct Run {
        std::int64_t beganMs = 0;
        std::int64_t workMs = 0;
        std::int64_t stopAtMs = -1;
        std::size_t record = 0;
    };
    struct End {
        std::int64_t number = 0;
        RunKey key;
        std::string how;
        std::size_t record = 0;
    };
    struct Hold {
        std::int64_t untilMs = 0;
        Respond respond;
    };
    struct Worker {
        std::string id;
        std::string kind;
        std::string rack;
        int port = 0;
        bool isUp = false;
        std::int64_t bornUnixMs = 0;
        std::int64_t startedMs = 0;
        std::int64_t nextReportMs = 0;
        std::int64_t sequence = 0;
        std::int64_t fencingToken = 0;
        std::int64_t leaseUntilMs = 0; //!< on the worker's clock
        std::map<RunKey, Run> runs;
        std::map<std::string, std::int64_t> highestEndedRun; //!< by subtask; stopped or ended here
        std::deque<End> ends;
        std::int64_t lastEnd = 0;
        std::vector<Hold> holds;
        std::unique_ptr<agatevane::event_http::Server> server;
    };

    static std::int64_t clockOf(const Worker& worker);
    void tick();
    void advance(Worker& worker);
    void report(Worker& worker);
    void handle(Worker& worker, const Request& request, const Respond& respond);
    void startRun(Worker& worker, const Json& body, const Respond& respond);
    void stopRun(Worker& worker, const Json& body, const Respond& respond);
    void hold(Worker& worker, const Json& body, const Respond& respond);
    void answerHold(Worker& worker, const Respond& respond);
    void endRun(Worker& worker, const RunKey& key, const std::string& how);
    void extendLease(Worker& worker, const Json& body) const;

    asio::io_context& context_;
    Store& store_;
    Record& record_;
    WorkerTimes times_;
    std::map<std::string, Worker> workers_;
    std::deque<RunRecord> history_;
    agatevane::node::Timer timer_;
};

} // namespace review
