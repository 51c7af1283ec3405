#pragma once

#include "workers.h"

namespace rig {

//! An upkeep call that has arrived at the platform.
struct UpkeepCall {
    std::int64_t atMs = 0;
    std::string machine;
    std::string holder;
    std::int64_t fencingToken = 0;
    int status = 0;
};

//! The platform's interface for machines. Fences are not checked.
class Machines {
public:
    Machines(Workers& workers, const std::string& address, std::int64_t upkeepMs, int backlog = 128);

    int port() const { return server_.port(); }
    void add(const WorkerSpec& spec);
    //! The interface neither accepts channels nor reads calls while it is stalled.
    void setStalled(bool isStalled) { server_.setStalled(isStalled); }

    std::vector<UpkeepCall> calls();
    //! Machines that are down for an upkeep at present.
    int downCount();
    //! Most machines that were down for an upkeep at the same time.
    int mostDown();

private:
    struct Machine {
        WorkerSpec spec; //!< of the worker that runs there now
        std::int64_t upAgainAtMs = 0; //!< 0: the machine is up
        std::set<std::int64_t> wavesDone;
        int upkeeps = 0;
    };

    HttpReply handle(const HttpRequest& request);
    HttpReply list();
    HttpReply beginUpkeep(const HttpRequest& request);
    void tick();
    int countDown() const;

    Workers& workers_;
    std::int64_t upkeepMs_;
    std::mutex mutex_;
    std::map<std::string, Machine> machines_;
    std::vector<UpkeepCall> calls_;
    int mostDown_ = 0;
    HttpServer server_;
};

} // namespace rig
