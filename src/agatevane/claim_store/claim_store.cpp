#include "agatevane/claim_store/claim_store.h"

#include "agatevane/base/error.h"
#include <algorithm>
#include <set>

namespace agatevane {

ClaimStore::ClaimStore(store::Client& client, const ClaimStoreOptions& options)
    : client_(client)
    , options_(options)
{
    for (int i = 0; i < options_.writers; ++i)
        threads_.emplace_back([this] { runWriter(); });
}

ClaimStore::~ClaimStore()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    writeQueued_.notify_all();
    for (auto& thread : threads_)
        thread.join();
}

ClaimWritten ClaimStore::write(const std::string& key, WriteClaim write, Instant deadline)
{
    auto pending = std::make_shared<PendingWrite>();
    pending->bytes = key.size() + encodeClaim(write.claim).size();
    pending->write = { key, std::move(write) };
    pending->deadline = deadline;
    std::unique_lock lock(mutex_);
    if (isStopping_ || queue_.size() >= options_.maxQueued)
        return { WriteOutcome::NoEffect, 0, std::nullopt };
    ++counts_.writes;
    queue_.push_back(pending);
    writeQueued_.notify_one();
    if (writeDone_.wait_until(lock, deadline, [&] { return pending->isDone; }))
        return std::move(pending->result);
    // A write that is still queued at its deadline is removed; one that was sent may still take effect.
    bool wasQueued = std::erase(queue_, pending) > 0;
    return { wasQueued ? WriteOutcome::NoEffect : WriteOutcome::Unknown, 0, std::nullopt };
}

std::vector<ClaimStore::PendingWritePtr> ClaimStore::takeBatch()
{
    std::vector<PendingWritePtr> batch;
    std::deque<PendingWritePtr> later;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    std::unique_lock lock(mutex_);
    writeQueued_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
    while (!queue_.empty() && batch.size() < options_.maxBatch) {
        auto next = std::move(queue_.front());
        queue_.pop_front();
        // The store refuses a transaction that writes a key twice, so a second write of a key waits for the next batch.
        bool fits = batch.empty() || bytes + next->bytes <= options_.maxBatchBytes;
        if (!fits || !keys.insert(next->write.key).second) {
            later.push_back(std::move(next));
            if (!fits)
                break;
            continue;
        }
        bytes += next->bytes;
        batch.push_back(std::move(next));
    }
    queue_.insert(queue_.begin(), later.begin(), later.end());
    if (!queue_.empty())
        writeQueued_.notify_one();
    if (!batch.empty())
        ++counts_.transactions;
    return batch;
}

void ClaimStore::runWriter()
{
    // Writes that are queued when the store is destroyed are still sent, so that no caller is left without an answer.
    for (auto batch = takeBatch(); !batch.empty(); batch = takeBatch())
        commit(batch);
}

void ClaimStore::commit(const std::vector<PendingWritePtr>& batch)
{
    std::vector<ClaimWrite> writes;
    auto deadline = now();
    for (const auto& pending : batch) {
        writes.push_back(pending->write);
        deadline = std::max(deadline, pending->deadline);
    }
    deadline = std::min(deadline, now() + options_.callTimeout);
    std::vector<ClaimWritten> results;
    auto outcome = WriteOutcome::NoEffect;
    // The second round runs only if the store refuses the transaction, as it does when the lease has ended early.
    for (int round = 0; round < 2 && results.empty(); ++round) {
        store::LeaseId lease = 0;
        if (currentLease(deadline, lease))
            break;
        auto answer = client_.txn(toTxn(writes, lease), deadline);
        if (answer.ok())
            results = resultsOf(writes, answer.value, answer.revision);
        if (!results.empty())
            break;
        outcome = store::hadNoEffect(answer.error) ? WriteOutcome::NoEffect : WriteOutcome::Unknown;
        if (answer.error != Errc::Refused)
            break;
        dropLease(lease);
    }
    if (results.empty())
        results.assign(batch.size(), { outcome, 0, std::nullopt });
    {
        std::lock_guard lock(mutex_);
        for (std::size_t i = 0; i < batch.size(); ++i) {
            batch[i]->result = std::move(results[i]);
            batch[i]->isDone = true;
        }
    }
    writeDone_.notify_all();
}

std::error_code ClaimStore::currentLease(Instant deadline, store::LeaseId& lease)
{
    std::lock_guard lock(leaseMutex_);
    auto start = now();
    if (lease_ == 0 || start >= leaseUntil_) {
        auto ttl = options_.retention + options_.leasePeriod;
        auto granted = client_.grantLease(ttl.count(), deadline);
        if (!granted.ok())
            return granted.error;
        lease_ = granted.value.id;
        leaseUntil_ = start + options_.leasePeriod;
    }
    lease = lease_;
    return {};
}

void ClaimStore::dropLease(store::LeaseId lease)
{
    std::lock_guard lock(leaseMutex_);
    if (lease_ == lease)
        lease_ = 0;
}

ClaimRead ClaimStore::read(const std::string& key, Instant deadline)
{
    auto answer = client_.range({ .key = key }, deadline);
    ClaimRead read { answer.error, std::nullopt, 0 };
    if (answer.ok() && !answer.value.kvs.empty()) {
        read.revision = answer.value.kvs.front().modRevision;
        read.claim = decodeClaim(answer.value.kvs.front().value);
        if (!read.claim)
            read.error = Errc::Malformed;
    }
    return read;
}

ClaimCounts ClaimStore::counts() const
{
    std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace agatevane
