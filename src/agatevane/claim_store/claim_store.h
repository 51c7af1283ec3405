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
    //! Minimum time that a claim is kept after its last change; a request repeated later would run again.
    std::chrono::seconds retention { 24 * 3600 };
    //! Claims written within one period share a lease, so that expiry costs one store call per period and needs no
    //! scan. The lease is not renewed.
    std::chrono::seconds leasePeriod { 600 };
    //! Writes in one transaction; the store allows 128 operations in a transaction by default.
    std::size_t maxBatch = 100;
    std::size_t maxBatchBytes = 900'000; //!< keys and values in one transaction
    std::size_t maxQueued = 2000; //!< queued writes; further ones are refused with `NoEffect`
    int writers = 2; //!< threads, and thereby concurrent transactions
    Millis callTimeout { 10000 };
};

//! Result of reading the record of one idempotency key.
struct ClaimRead {
    std::error_code error;
    std::optional<Claim> claim;
    std::int64_t revision = 0; //!< modification revision; 0 if there is no record
};

struct ClaimCounts {
    std::uint64_t writes = 0; //!< writes accepted into the queue, whether they succeeded or not
    std::uint64_t transactions = 0; //!< batches taken for sending
};

//! Reads and writes claims. A write is sent immediately if a writer is idle; writes that arrive while all writers are
//! busy share the next transaction.
class ClaimStore {
public:
    explicit ClaimStore(store::Client& client, const ClaimStoreOptions& options = {});
    ~ClaimStore();
    ClaimStore(const ClaimStore&) = delete;
    ClaimStore& operator=(const ClaimStore&) = delete;

    //! Blocks until the outcome is known or the deadline has passed. The outcome is `NoEffect` if the write was never
    //! sent.
    ClaimWritten write(const std::string& key, WriteClaim write, Instant deadline);
    ClaimRead read(const std::string& key, Instant deadline);
    ClaimCounts counts() const;

private:
    struct PendingWrite {
        ClaimWrite write;
        std::size_t bytes = 0;
        Instant deadline;
        bool isDone = false;
        ClaimWritten result;
    };
    using PendingWritePtr = std::shared_ptr<PendingWrite>;

    void runWriter();
    std::vector<PendingWritePtr> takeBatch();
    void commit(const std::vector<PendingWritePtr>& batch);
    std::error_code currentLease(Instant deadline, store::LeaseId& lease);
    void dropLease(store::LeaseId lease);

    store::Client& client_;
    ClaimStoreOptions options_;
    mutable std::mutex mutex_;
    std::condition_variable writeQueued_; //!< wakes the writers
    std::condition_variable writeDone_; //!< wakes the callers of write()
    std::deque<PendingWritePtr> queue_;
    ClaimCounts counts_;
    bool isStopping_ = false;
    std::mutex leaseMutex_;
    store::LeaseId lease_ = 0;
    Instant leaseUntil_ {}; //!< end of the period in which new claims use the lease
    std::vector<std::thread> threads_;
};

} // namespace agatevane
