#pragma once

#include "agatevane/base/random.h"
#include "agatevane/http/server.h"
#include "standins/store/memory_store.h"
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace agatevane::standin {

//! Faults that a test switches on and off while the store runs.
struct StoreFaults {
    bool down = false; //!< the port is closed
    bool silent = false; //!< requests are neither carried out nor answered
    std::int64_t slowMs = 0; //!< delay before a request is carried out
    std::int64_t loseNext = 0; //!< the next N writes are carried out and their answers lost
    double loseShare = 0; //!< share of writes whose answer is lost
    std::int64_t dropNext = 0; //!< the next N writes are not carried out, and not answered either
};

struct StoreSettings {
    std::string address = "127.0.0.1";
    int port = 0;
    int controlPort = 0;
    int threads = 128;
    double writesPerSecond = 500; //!< 0: no cap
    double readsPerSecond = 2000;
    std::int64_t progressMs = 5000; //!< interval of progress messages on a quiet watch
    //! How long the answer of a lost or dropped call is withheld. Callers with an earlier deadline see a timeout,
    //! others an error that leaves the effect open.
    std::int64_t lostAnswerMs = 10000;
    StoreLimits limits;
};

//! Serves the gateway on one port and the control path on another.
class StoreServer {
public:
    explicit StoreServer(const StoreSettings& settings = {});
    ~StoreServer();

    std::error_code start();
    void stop();
    int port() const { return port_; }
    int controlPort() const { return control_.port(); }

    void setFaults(const StoreFaults& faults);
    MemoryStore& store() { return store_; }
    //! Calls so far, by kind.
    Json counters() const;

private:
    enum class Kind { Read, Write, Lease };

    //! Spreads calls evenly at the capped rate.
    struct RateCap {
        double perSecond = 0;
        Instant next {};
    };

    std::error_code listen();
    void addControlRoutes();
    void handle(Kind kind, const std::string& body, http::Response& response,
        const std::function<Json(MemoryStore&, const Json&)>& operation);
    http::ChunkSource watch(const http::Request& request);
    bool waitForTurn(Kind kind);
    void withholdAnswer(http::Response& response);
    void pause(Millis duration);
    bool takesFault(std::int64_t StoreFaults::*counter, double share);
    StoreFaults faults() const;

    StoreSettings settings_;
    MemoryStore store_;
    mutable std::mutex mutex_; //!< guards faults_, caps_ and random_
    StoreFaults faults_;
    RateCap reads_;
    RateCap writes_;
    Random random_ { 1 };
    std::mutex serverMutex_; //!< serializes opening and closing the port
    std::unique_ptr<http::Server> server_;
    http::Server control_;
    int port_ = 0;
    std::atomic<bool> closing_ { false };
    std::atomic<bool> stopped_ { false };
    std::atomic<std::uint64_t> counts_[3] {};
    std::atomic<std::uint64_t> watches_ { 0 };
    std::atomic<std::uint64_t> lost_ { 0 };
    std::atomic<std::uint64_t> dropped_ { 0 };
    std::thread expiryThread_;
};

} // namespace agatevane::standin
