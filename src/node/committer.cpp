#include "node/committer.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/worker_record.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    //! Longest time to wait for the answer to a commit.
    constexpr Millis maxStoreTimeout { 1000 };
    //! Least time between commits while no caller waits, so that one transaction carries many progress changes.
    constexpr Millis progressCommitInterval { 40 };
    //! The store accepts at most 32 entries in one transaction. The commit key takes two of them, a condition and a
    //! put.
    constexpr std::size_t maxBatchEntries = 30;
    constexpr Millis storeRetryDelay { 100 };

    //! Least time between two records of workers, so that one names many workers. A worker that has just joined waits
    //! this long for its first start.
    constexpr Millis minWorkerRecordInterval { 100 };

} // namespace

Committer::Committer(
    asio::io_context& context, kv::Store& store, fleet::Fleet& fleet, kv::Revision revision, Callbacks callbacks)
    : store_(store)
    , fleet_(fleet)
    , revision_(revision)
    , callbacks_(std::move(callbacks))
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
    sentWorkerRecord_ = takeDueWorkerRecord();
    batch_ = fleet::takeBatch(fleet_, maxBatchEntries - (sentWorkerRecord_ ? 1 : 0));
    if (batch_.writes.empty() && auxiliaryRecords_.empty() && !sentWorkerRecord_)
        return;
    txnToken_ = randomToken(random_);
    txn_ = {};
    txn_.conditions = { { commitKey, revision_ } };
    txn_.puts = { { commitKey, net::encode(CommitRecord { fleet_.tenure, txnToken_ }) } };
    fleet::encodeBatch(fleet_, batch_, txn_);
    addWorkerRecord();
    addAuxiliaryRecords();
    isInFlight_ = true;
    mayBeApplied_ = false;
    send();
}

//! The record of workers, if it is due and differs from the stored one.
std::optional<Committer::WorkerRecord> Committer::takeDueWorkerRecord()
{
    auto at = bootNow();
    if (!fleet_.haveWorkersChanged || at < nextWorkerRecordAt_ || !fleet::mayReplaceWorkerRecord(fleet_, at))
        return std::nullopt;
    fleet_.haveWorkersChanged = false;
    auto listings = fleet::workersToName(fleet_, at);
    WorkerRecord record { net::encode(listings), {} };
    for (const auto& listing : listings)
        record.names.insert(listing.id);
    if (record.bytes == storedWorkerRecord_) {
        fleet::completeNaming(fleet_, record.names);
        return std::nullopt;
    }
    nextWorkerRecordAt_ = at + minWorkerRecordInterval;
    return record;
}

void Committer::addWorkerRecord()
{
    if (!sentWorkerRecord_)
        return;
    fleet::beginNaming(fleet_, sentWorkerRecord_->names);
    txn_.puts.push_back({ knownWorkersKey, sentWorkerRecord_->bytes });
}

//! Auxiliary records change rarely. Those that do not fit into this transaction wait for a later one.
void Committer::addAuxiliaryRecords()
{
    sentAuxiliaryRecords_.clear();
    while (!auxiliaryRecords_.empty() && txn_.puts.size() + txn_.deletes.size() < maxBatchEntries + 1) {
        auto record = auxiliaryRecords_.extract(auxiliaryRecords_.begin());
        txn_.puts.push_back({ record.key(), record.mapped() });
        sentAuxiliaryRecords_.insert(std::move(record));
    }
}

void Committer::send()
{
    auto sentAt = now();
    auto deadline = sentAt + responseTimeout(responseTimes_, maxStoreTimeout);
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
    Line("commit_unanswered").with("records", txn_.puts.size()).with("error", result.error.message());
    mayBeApplied_ = mayBeApplied_ || result.error != Errc::Refused;
    if (!mayBeApplied_)
        return returnBatchAndRetry();
    // Sending the same transaction again is safe: once it is applied, its condition on the commit key fails.
    bool hasWaited = result.error == Errc::Timeout;
    timer_.arm(hasWaited ? Millis(0) : storeRetryDelay, [this] { send(); });
}

//! The store has certainly not applied the batch. It goes back to the queue, where submissions can be withdrawn again.
void Committer::returnBatchAndRetry()
{
    fleet::returnBatch(fleet_, batch_);
    batch_ = {};
    auxiliaryRecords_.merge(sentAuxiliaryRecords_);
    sentAuxiliaryRecords_.clear();
    fleet_.haveWorkersChanged = fleet_.haveWorkersChanged || sentWorkerRecord_;
    sentWorkerRecord_.reset();
    timer_.arm(storeRetryDelay, [this] {
        isInFlight_ = false;
        commitPending();
    });
}

void Committer::completeCommit(kv::Revision revision)
{
    isInFlight_ = false;
    lastCommitAt_ = bootNow();
    revision_ = revision;
    Line("committed")
        .with("sequence", batch_.lastSequence())
        .with("revision", revision)
        .with("records", txn_.puts.size());
    fleet::applyCommitted(fleet_, batch_.lastSequence());
    if (sentWorkerRecord_) {
        storedWorkerRecord_ = std::move(sentWorkerRecord_->bytes);
        fleet::completeNaming(fleet_, sentWorkerRecord_->names);
        sentWorkerRecord_.reset();
    }
    callbacks_.committed();
}

} // namespace agatevane::node
