#pragma once

#include "node/prefix_reading.h"
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agatevane::node {

//! What a new owner reads from the store before it serves.
struct StoredFleet {
    kv::ReadResult acceptances;
    kv::ReadResult progress;
    kv::ReadResult parts; //!< of jobs with much progress, see progress_parts.h
    kv::ReadResult queues;
    kv::ReadResult denials; //!< cancellations that earlier owners have answered with "no such job"
    kv::ReadResult knownWorkers; //!< workers that earlier owners have named
    kv::ReadResult runTimes; //!< run times that earlier owners have learned; empty where none are learned
    kv::ReadResult listings; //!< workers that the platform lists
    kv::ReadResult evacuations; //!< data centres that operators have evacuated; not read where they evacuate none
    Instant askedAt; //!< when the reading began
};

//! Reads a StoredFleet. All of its parts are read at the same time, each with repetitions of its own.
class FleetLoader {
public:
    using Done = std::function<void(StoredFleet stored)>;

    //! `evacuationPrefix` is empty where operators evacuate no data centres. `areRunTimesLearned`: see
    //! fleet/learned_run_times.h.
    FleetLoader(asio::io_context& context, kv::Store& store, std::string workerPrefix, std::string evacuationPrefix,
        bool areRunTimesLearned);

    //! `done` is called once, when all parts are there. Called once.
    void start(Done done);
    void stop();

private:
    void read(const std::string& prefix, kv::ReadResult& target);

    asio::io_context& context_;
    kv::Store& store_;
    std::string workerPrefix_;
    std::string evacuationPrefix_;
    bool areRunTimesLearned_ = false;
    Done done_;
    StoredFleet stored_;
    std::size_t partsLeft_ = 0;
    std::vector<std::unique_ptr<PrefixReading>> readings_;
};

} // namespace agatevane::node
