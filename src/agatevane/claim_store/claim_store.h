#pragma once

#include "agatevane/claim_store/claim_batch.h"
#include "agatevane/store/client.h"
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace agatevane {

struct ClaimStoreOptions {
    //! How long a claim is kept after its last change: a repeat that comes later would run again.
    std::chrono::seconds retention { 24 * 3600 };
    //! Claims of this period share one lease, so that expiry costs one call for each period and no sweep. The lease is
    //! not kept alive.
    std::chrono::seconds leasePeriod { 600 };
    std::size_t maxBatch = 100; //!< the store allows 128 operations in a transaction by default
    std::size_t maxBatchBytes = 900'000;
    std::size_t maxQueued = 2000; //!< more are refused as not run
    int writers = 2; //!< transactions under way at the same time
    Millis callTimeout { 10000 };
};

//! What is known about one idempotency key.
struct ClaimRead {
    std::error_code error;
    std::optional<Claim> claim;
    std::int64_t revision = 0; //!< 0: there is no record
};

struct ClaimCounts {
    std::uint64_t writes = 0; //!< claims written or tried
    std::uint64_t transactions = 0;
};

//! Reads and writes claims. The first write goes out at once; writes that arrive while all writers are busy share the
//! next transaction.
class ClaimStore {
public:
    explicit ClaimStore(store::Client& client, const ClaimStoreOptions& options = {});
    ~ClaimStore();
    ClaimStore(const ClaimStore&) = delete;
    ClaimStore& operator=(const ClaimStore&) = delete;

    //! Blocks until the outcome is known or the deadline has passed. `NoEffect` if the write was never sent.
    ClaimWritten write(const std::string& key, WriteClaim write, Instant deadline);
    ClaimRead read(const std::string& key, Instant deadline);
    ClaimCounts counts() const;

private:
    struct Pending {
        ClaimWrite write;
        std::size_t bytes = 0;
        Instant deadline;
        bool isDone = false;
        ClaimWritten result;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    void run();
    std::vector<PendingPtr> takeBatch();
    void commit(const std::vector<PendingPtr>& batch);
    std::error_code currentLease(Instant deadline, store::LeaseId& lease);
    void dropLease(store::LeaseId lease);

    store::Client& client_;
    ClaimStoreOptions options_;
    mutable std::mutex mutex_;
    std::condition_variable wake_; //!< for the writers
    std::condition_variable done_; //!< for the callers
    std::deque<PendingPtr> queue_;
    ClaimCounts counts_;
    bool stopping_ = false;
    std::mutex leaseMutex_;
    store::LeaseId lease_ = 0;
    Instant leaseUntil_ {}; //!< new claims use the lease until then
    std::vector<std::thread> threads_;
};

} // namespace agatevane
