#include "node/committer.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/refused_write.h"
#include "agatevane/fleet/worker_record.h"
#include "agatevane/metrics/registry.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    //! Longest time to wait for the answer to a commit, besides the time that its values take on the way.
    constexpr Millis maxStoreTimeout { 1000 };
    //! Least time between commits while no caller waits, so that one transaction carries many progress changes.
    constexpr Millis progressCommitInterval { 40 };
    //! The store accepts at most 32 entries in one transaction. The commit key takes two of them, a condition and a
    //! put.
    constexpr std::size_t maxBatchEntries = 30;
    constexpr Millis storeRetryDelay { 100 };
    //! Bytes of values that a slow link carries in a millisecond: 8 Mbit/s, less what the encoding adds.
    constexpr std::size_t slowLinkBytesPerMilli = 750;

    //! Least time between two records of workers, so that one names many workers. A worker that has just joined waits
    //! this long for its first start.
    constexpr Millis minWorkerRecordInterval { 100 };
    //! Time to the next record of workers after the store has refused one for good.
    constexpr Millis refusedWorkerRecordDelay { 5000 };

    std::size_t valueBytes(const std::vector<kv::Put>& puts)
    {
        std::size_t bytes = 0;
        for (const auto& put : puts)
            bytes += put.key.size() + put.value.size();
        return bytes;
    }

    Millis transferTime(const kv::Txn& txn)
    {
        return Millis(static_cast<std::int64_t>(valueBytes(txn.puts) / slowLinkBytesPerMilli));
    }

    void reportRefusedRecord(std::string_view key, std::size_t bytes, std::string_view effect)
    {
        Line("record_refused").with("key", key).with("bytes", bytes).with("effect", effect);
        metrics::registry()
            .counter("agatevane_records_refused_total", "Records that the store refuses while it takes others",
                { { "effect", std::string(effect) } })
            .add();
    }

    void reportRefusedBatch(const fleet::WriteBatch& batch, fleet::RefusalEffect effect)
    {
        for (const auto& put : batch.puts)
            reportRefusedRecord(put.key, put.value.size(), nameOf(effect));
        for (const auto& key : batch.deletes)
            reportRefusedRecord(key, 0, nameOf(effect));
    }

} // namespace

Committer::Committer(
    asio::io_context& context, kv::Store& store, fleet::Fleet& fleet, kv::Revision revision, Callbacks callbacks)
    : store_(store)
    , fleet_(fleet)
    , revision_(revision)
    , callbacks_(std::move(callbacks))
    , maxEntries_(maxBatchEntries)
    , timer_(context)
{
    fleet_.doStartsNeedNaming = true;
}

void Committer::commitPending()
{
    if (isInFlight_ || isStopped_)
        return;
    if (!callbacks_.hasWaitingCaller() && bootNow() - lastCommitAt_ < progressCommitInterval)
        return;
    sent_ = takeRecords();
    if (sent_.batch.writes.empty() && sent_.auxiliary.empty() && !sent_.workers)
        return;
    sendRecords();
}

std::optional<Instant> Committer::oldestPendingChange() const
{
    auto oldest = Instant::max();
    auto note = [&oldest](const fleet::PendingWrite& write) { oldest = std::min(oldest, write.queuedAt); };
    for (const auto& write : fleet_.writes)
        note(write);
    for (const auto& taken : sent_.batch.writes)
        note(taken.write);
    if (suspect_) {
        for (const auto& taken : suspect_->batch.writes)
            note(taken.write);
    }
    return oldest == Instant::max() ? std::nullopt : std::optional(oldest);
}

//! Records of workers, if they are due and differ from the stored ones. They take half of a transaction at most.
std::optional<fleet::WorkersWrite> Committer::takeDueWorkersWrite()
{
    auto at = bootNow();
    if (!fleet_.haveWorkersChanged || at < nextWorkersWriteAt_ || !fleet::mayReplaceWorkerRecord(fleet_, at))
        return std::nullopt;
    auto listings = fleet::workersToName(fleet_, at);
    fleet::BatchLimits limits { maxEntries_ / 2, fleet::BatchLimits {}.bytes / 2 };
    auto write = fleet::nextWorkersWrite(storedWorkers_, listings, limits);
    fleet_.haveWorkersChanged = write && !write->isLast;
    if (!write) {
        std::set<fleet::WorkerId> names;
        for (const auto& listing : listings)
            names.insert(listing.id);
        fleet::completeNaming(fleet_, names);
        return std::nullopt;
    }
    if (write->isLast)
        nextWorkersWriteAt_ = at + minWorkerRecordInterval;
    return write;
}

Committer::Records Committer::takeRecords()
{
    Records records;
    records.workers = takeDueWorkersWrite();
    fleet::BatchLimits limits { maxEntries_ - std::min(maxEntries_, entriesOf(records)) };
    if (records.workers)
        limits.bytes -= std::min(limits.bytes, valueBytes(fleet::putsOf(*records.workers)));
    if (limits.entries > 0 && limits.bytes > 0)
        records.batch = fleet::takeBatch(fleet_, limits, bootNow());
    addAuxiliaryRecords(records, limits.bytes - std::min(limits.bytes, valueBytes(records.batch.puts)));
    return records;
}

//! Auxiliary records change rarely. Those that do not fit into this transaction wait for a later one.
void Committer::addAuxiliaryRecords(Records& records, std::size_t room)
{
    while (!auxiliaryRecords_.empty() && entriesOf(records) < maxEntries_) {
        auto first = auxiliaryRecords_.begin();
        if (first->second.size() > room && entriesOf(records) > 0)
            return;
        room -= std::min(room, first->second.size());
        records.auxiliary.insert(auxiliaryRecords_.extract(first));
    }
}

//! A newer value of an auxiliary record stays.
void Committer::returnRecords(Records& records)
{
    fleet::returnBatch(fleet_, records.batch);
    auxiliaryRecords_.merge(records.auxiliary);
    fleet_.haveWorkersChanged = fleet_.haveWorkersChanged || records.workers;
    records = {};
}

std::size_t Committer::entriesOf(const Records& records)
{
    return records.batch.puts.size() + records.batch.deletes.size() + records.auxiliary.size()
        + (records.workers ? fleet::putsOf(*records.workers).size() : 0);
}

//! Sends a transaction with `sent_`, which may be empty.
void Committer::sendRecords()
{
    txnToken_ = randomToken(random_);
    txn_ = {};
    txn_.conditions = { { commitKey, revision_ } };
    txn_.puts = { { commitKey, net::encode(CommitRecord { fleet_.tenure, txnToken_ }) } };
    fleet::encodeBatch(sent_.batch, txn_);
    if (sent_.workers) {
        fleet::beginNaming(fleet_, *sent_.workers);
        auto puts = fleet::putsOf(*sent_.workers);
        txn_.puts.insert(txn_.puts.end(), puts.begin(), puts.end());
    }
    for (const auto& [key, value] : sent_.auxiliary)
        txn_.puts.push_back({ key, value });
    isInFlight_ = true;
    mayBeApplied_ = false;
    send();
}

void Committer::send()
{
    auto sentAt = now();
    auto deadline = sentAt + responseTimeout(responseTimes_, maxStoreTimeout) + transferTime(txn_);
    store_.commit(txn_, deadline, liveness_.guard([this, sentAt](const kv::TxnResult& result) {
        if (result.error == Errc::Timeout)
            addTimeout(responseTimes_);
        else if (!result.error || result.error == Errc::Conflict)
            addResponse(responseTimes_, elapsed(sentAt, now()));
        if (!isStopped_)
            handleResult(result);
    }));
}

void Committer::handleResult(const kv::TxnResult& result)
{
    if (!result.error)
        return completeCommit(result.revision);
    if (result.error == Errc::Conflict) {
        for (const auto& item : result.current) {
            auto record = item.key == commitKey ? decodeRecord<CommitRecord>(item.value) : std::nullopt;
            // An earlier attempt of this transaction was applied although its answer was lost.
            if (record && record->token == txnToken_)
                return completeCommit(item.revision);
        }
        return callbacks_.ownershipLost("store_knows_later_owner");
    }
    Line("commit_unanswered")
        .with("records", txn_.puts.size())
        .with("bytes", valueBytes(txn_.puts))
        .with("error", result.error.message())
        .with("lasting", result.isRefusalLasting);
    // What the store does not take, it has not taken in an earlier attempt either.
    if (result.isRefusalLasting)
        return isolateRefusedRecord();
    mayBeApplied_ = mayBeApplied_ || result.error != Errc::Refused;
    // The store has certainly not applied the records. They go back to the queue, where submissions can be withdrawn.
    if (!mayBeApplied_)
        return returnAndRetry(storeRetryDelay);
    // Sending the same transaction again is safe: once it is applied, its condition on the commit key fails.
    bool hasWaited = result.error == Errc::Timeout;
    timer_.arm(hasWaited ? Millis(0) : storeRetryDelay, [this] { send(); });
}

void Committer::returnAndRetry(Millis delay)
{
    if (suspect_)
        returnRecords(*suspect_);
    suspect_.reset();
    returnRecords(sent_);
    timer_.arm(delay, [this] {
        isInFlight_ = false;
        commitPending();
    });
}

//! The store has refused `txn_` for good.
void Committer::isolateRefusedRecord()
{
    // A transaction without records was refused, too, so that the reason is not in the records.
    if (suspect_)
        return returnAndRetry(storeRetryDelay);
    if (maxEntries_ > 1) {
        maxEntries_ = std::clamp<std::size_t>(entriesOf(sent_) / 2, 1, maxEntries_ / 2);
        return returnAndRetry(Millis(0));
    }
    suspect_ = std::exchange(sent_, {});
    sendRecords();
}

//! The store takes other records than this one.
void Committer::setAside(Records records)
{
    auto at = bootNow();
    if (records.workers) {
        for (const auto& put : fleet::putsOf(*records.workers))
            reportRefusedRecord(put.key, put.value.size(), "delayed");
        nextWorkersWriteAt_ = at + refusedWorkerRecordDelay;
        fleet_.haveWorkersChanged = true;
    }
    for (const auto& [key, value] : records.auxiliary)
        reportRefusedRecord(key, value.size(), "dropped");
    if (records.batch.writes.empty())
        return;
    auto refused = fleet::handleLastingRefusal(fleet_, records.batch, at);
    reportRefusedBatch(records.batch, refused.effect);
    if (refused.effect == fleet::RefusalEffect::SubmissionRefused)
        callbacks_.submissionRefused(refused.sequence);
}

void Committer::completeCommit(kv::Revision revision)
{
    isInFlight_ = false;
    lastCommitAt_ = bootNow();
    revision_ = revision;
    maxEntries_ = std::min(maxEntries_ * 2, maxBatchEntries);
    auto committed = std::exchange(sent_, {});
    Line("committed")
        .with("sequence", committed.batch.lastSequence())
        .with("revision", revision)
        .with("records", txn_.puts.size());
    fleet::applyCommitted(fleet_, committed.batch);
    if (committed.workers)
        fleet::completeNaming(fleet_, storedWorkers_, *committed.workers);
    if (suspect_)
        setAside(*std::exchange(suspect_, std::nullopt));
    callbacks_.committed();
}

} // namespace agatevane::node
