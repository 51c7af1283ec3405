#pragma once

#include "store.h"
#include <optional>

namespace rig {

//! A run that a worker has begun.
struct StartedRun {
    std::int64_t atMs = 0;
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::int64_t fencingToken = 0;
};

struct EndedRun {
    std::int64_t atMs = 0;
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::string how;
};

struct WorkerSpec {
    std::string id;
    std::string machine;
    std::string kind = "a";
    std::string rack = "r1-1";
    std::int64_t gpu = 8;
};

struct WorkerTimes {
    std::int64_t heartbeatMs = 1500;
    std::int64_t holdMaxMs = 6000;
    std::int64_t stopMs = 150; //!< how long a stop takes
    std::int64_t startupMs = 300; //!< until a subtask that lasts is at work
};

//! The workers of one service. A subtask's specification says how long it works, "work=MS", or "lasting".
class Workers {
public:
    Workers(Store& store, const std::string& address, const std::string& service, const WorkerTimes& times);

    void add(const WorkerSpec& spec);
    //! Ends the worker without a word: nothing runs, nothing answers, its entry lapses after three heartbeats.
    void crash(const std::string& id);
    //! Starts a crashed worker again under its id and at its address. `clockOffsetMs` is the error of the machine's
    //! time of day at that moment.
    void restart(const std::string& id, std::int64_t clockOffsetMs = 0);
    //! The worker reports that it drains, and leaves after `leaveAfterMs`.
    void drain(const std::string& id, std::int64_t leaveAfterMs);
    //! Everything on the worker ends at once, and its entry goes: its machine goes down in a planned way.
    void takeDown(const std::string& id);

    std::vector<StartedRun> starts();
    std::vector<EndedRun> ends();
    //! The runs at present, with the percentage of each.
    std::vector<std::pair<StartedRun, int>> running();
    bool isUp(const std::string& id);

private:
    struct Run {
        std::int64_t number = 0;
        std::int64_t startedAtMs = 0;
        std::int64_t untilMs = 0; //!< on the worker's clock
        std::int64_t workMs = 0; //!< 0: lasts
        std::int64_t stopsAtMs = 0; //!< 0: no stop was ordered
        std::int64_t fencingToken = 0;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };
    struct Worker {
        WorkerSpec spec;
        std::unique_ptr<HttpServer> server;
        int port = 0;
        bool isUp = false;
        bool isDraining = false;
        std::int64_t leavesAtMs = 0;
        std::int64_t drainingAtMs = 0;
        std::int64_t born = 0;
        std::int64_t clockStartMs = 0;
        std::int64_t fence = 0;
        std::int64_t sequence = 0;
        std::int64_t nextHeartbeatAtMs = 0;
        std::int64_t lastHeartbeatAtMs = 0;
        bool hasEntry = false;
        std::map<std::string, Run> runs;
        std::map<std::string, std::int64_t> highestEnded;
        std::deque<End> ended;
        std::int64_t lastEnd = 0;
    };

    void begin(Worker& worker, std::int64_t clockOffsetMs);
    void tick();
    void advance(Worker& worker, std::int64_t at);
    void writeEntry(Worker& worker, std::int64_t at);
    void end(Worker& worker, const std::string& task, const std::string& how);
    static std::int64_t clockOf(const Worker& worker) { return nowMs() - worker.clockStartMs; }
    static int percentOf(const Run& run, const WorkerTimes& times);
    HttpReply handle(const std::string& id, const HttpRequest& request);
    HttpReply start(Worker& worker, const Json& body);
    HttpReply stop(Worker& worker, const Json& body);
    HttpReply hold(const std::string& id, const Json& body);
    HttpReply answer(const Worker& worker, int status, Json body) const;
    bool isFenced(Worker& worker, const Json& body);
    void extend(Worker& worker, const Json& body);

    Store& store_;
    std::string address_;
    std::string service_;
    WorkerTimes times_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Worker> workers_;
    std::vector<StartedRun> starts_;
    std::vector<EndedRun> ends_;
};

} // namespace rig
