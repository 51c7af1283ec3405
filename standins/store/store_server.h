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
    bool silent = false; //!< requests are not executed; each gets an error after `lostAnswerMs`
    std::int64_t slowMs = 0; //!< delay before a request is executed
    std::int64_t loseNext = 0; //!< the next N writes are executed, but their answers are lost
    double loseShare = 0; //!< share of writes whose answer is lost
    std::int64_t dropNext = 0; //!< the next N writes are neither executed nor answered
};

struct StoreSettings {
    std::string address = "127.0.0.1";
    int port = 0;
    int controlPort = 0;
    int threads = 128;
    double writesPerSecond = 500; //!< 0: no limit
    double readsPerSecond = 2000; //!< 0: no limit
    std::int64_t progressMs = 5000; //!< interval of progress messages on a quiet watch
    //! Time after which a lost or dropped call gets an error. Callers with an earlier deadline get a timeout; the
    //! others get an error that does not tell whether the call was executed.
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
    //! Number of calls of each kind since the start.
    Json counters() const;

private:
    enum class Kind { Read, Write, Lease };

    //! Limits the rate of calls and spaces them evenly.
    struct RateLimit {
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
    bool consumesFault(std::int64_t StoreFaults::*counter, double share);
    StoreFaults faults() const;

    StoreSettings settings_;
    MemoryStore store_;
    mutable std::mutex mutex_; //!< guards faults_, reads_, writes_ and random_
    StoreFaults faults_;
    RateLimit reads_;
    RateLimit writes_;
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
