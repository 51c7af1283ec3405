#pragma once

#include "http.h"
#include "record.h"
#include "store.h"
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rig {

//! Which runs of a worker are written to the record one by one.
using IsRecorded = std::function<bool(const std::string& task)>;

//! When the runs of each recorded subtask went on, on all workers.
struct RunTime {
    std::string worker;
    std::int64_t number = 0;
    std::int64_t beganMs = 0;
    std::int64_t endedMs = std::numeric_limits<std::int64_t>::max(); //!< the largest value: it goes on
};
using RunTimes = std::map<std::string, std::vector<RunTime>>;

//! A worker, as PROTOCOL.md describes it under "Running subtasks". What a subtask does is read from its specification:
//! "ms=N" is its duration, "saves=N" the length of its checkpoint, which it makes after two seconds of work. Each
//! subtask that runs to its end is `done`. All members are called with the server's mutex held.
class Worker {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string kind;
        std::string rack;
        int cpu = 128000;
        int memoryMb = 262144;
        int gpu = 8;
    };

    Worker(const Options& options, Store& store, Record& record, IsRecorded isRecorded, RunTimes& runTimes);

    void setPort(int port) { port_ = port; }
    const std::string& id() const { return options_.id; }
    const std::string& kind() const { return options_.kind; }
    void handle(const Request& request, const Server::Respond& respond);
    void tick();

    std::size_t runningCount() const { return runs_.size(); }
    //! What the subtasks of a job have done here; only for those that are recorded.
    struct Activity {
        int running = 0;
        int done = 0;
        std::int64_t lastEndMs = 0;
    };
    Activity activityOf(const std::string& job) const;
    std::size_t endsNotAcknowledged() const { return ends_.size(); }
    std::int64_t startCount() const { return startCount_; }
    std::int64_t endCount() const { return lastEnd_; }
    std::int64_t fencingToken() const { return fencingToken_; }
    int fencedOrders() const { return fencedOrders_; }

private:
    using RunKey = std::pair<std::string, std::int64_t>;
    struct Run {
        std::int64_t beganMs = 0;
        std::int64_t endsMs = 0;
        std::size_t savedBytes = 0;
        std::string saved;
    };
    struct End {
        std::int64_t number = 0;
        RunKey key;
        std::string how;
        std::string saved;
    };
    struct Hold {
        std::int64_t untilMs = 0;
        Server::Respond respond;
    };

    std::int64_t clockMs() const;
    nlohmann::json answer() const;
    void extendLease(std::int64_t untilMs);
    void start(const nlohmann::json& body, const Server::Respond& respond);
    void stop(const nlohmann::json& body, const Server::Respond& respond);
    void hold(const nlohmann::json& body, const Server::Respond& respond);
    std::string lists() const;
    void end(const RunKey& key, const std::string& how);
    void writeEntry();

    Options options_;
    Store& store_;
    Record& record_;
    IsRecorded isRecorded_;
    RunTimes& runTimes_;
    int port_ = 0;
    std::int64_t born_;
    std::int64_t startMs_;
    std::int64_t leaseUntilMs_ = 0; //!< on the worker's clock
    std::int64_t fencingToken_ = 0;
    int fencedOrders_ = 0; //!< refused because of a lower fencing token
    std::int64_t nextEntryMs_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t lastEnd_ = 0;
    std::int64_t startCount_ = 0;
    std::map<RunKey, Run> runs_;
    std::multimap<std::int64_t, RunKey> endTimes_;
    std::unordered_map<std::string, std::int64_t> highestEnded_;
    std::deque<End> ends_;
    std::vector<Hold> holds_;
    std::map<std::string, Activity> activities_;
};

} // namespace rig
