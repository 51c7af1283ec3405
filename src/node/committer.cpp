#include "node/committer.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/workers.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis storeTimeout { 1000 };
    //! Progress that nobody waits for is collected for this long.
    constexpr Millis commitPause { 40 };
    //! The store takes at most 32 entries in one transaction; one condition and one put are the commit key's.
    constexpr std::size_t maxBatchEntries = 30;
    constexpr Millis storeRetry { 100 };

    std::string encodeKnownWorkers(const fleet::Fleet& fleet)
    {
        std::vector<fleet::WorkerListing> listings;
        for (const auto& [id, worker] : fleet.workers)
            listings.push_back({ id, worker.address, worker.service, worker.zone, worker.rack, worker.labels,
                worker.capacity, worker.isDraining, worker.incarnation });
        return net::encode(listings);
    }

} // namespace

Committer::Committer(
    asio::io_context& context, kv::Store& store, fleet::Fleet& fleet, kv::Revision revision, Callbacks callbacks)
    : store_(store)
    , fleet_(fleet)
    , revision_(revision)
    , callbacks_(std::move(callbacks))
    , timer_(context)
{
}

void Committer::next()
{
    if (isInFlight_ || isStopped_)
        return;
    if (!callbacks_.isAwaited() && bootNow() - lastAt_ < commitPause)
        return;
    noteKnownWorkers();
    batch_ = fleet::takeBatch(fleet_, maxBatchEntries);
    if (batch_.writes.empty() && sideRecords_.empty())
        return;
    txnToken_ = randomToken(random_);
    txn_ = {};
    txn_.conditions = { { commitKey, revision_ } };
    txn_.puts = { { commitKey, net::encode(CommitRecord { fleet_.tenure, txnToken_ }) } };
    fleet::encodeBatch(fleet_, batch_, txn_);
    takeSideRecords();
    isInFlight_ = true;
    mayBeApplied_ = false;
    send();
}

void Committer::noteKnownWorkers()
{
    if (!std::exchange(fleet_.haveWorkersChanged, false))
        return;
    auto workers = encodeKnownWorkers(fleet_);
    if (workers == knownWorkers_)
        return;
    knownWorkers_ = workers;
    put(knownWorkersKey, workers);
}

//! Side records change seldom; those that find no room wait for a later transaction.
void Committer::takeSideRecords()
{
    sentSideRecords_.clear();
    while (!sideRecords_.empty() && txn_.puts.size() + txn_.deletes.size() < maxBatchEntries + 1) {
        auto record = sideRecords_.extract(sideRecords_.begin());
        txn_.puts.push_back({ record.key(), record.mapped() });
        sentSideRecords_.insert(std::move(record));
    }
}

void Committer::send()
{
    store_.commit(txn_, now() + storeTimeout, liveness_.guard([this](const kv::TxnResult& result) {
        if (!isStopped_)
            resolve(result);
    }));
}

void Committer::resolve(const kv::TxnResult& result)
{
    if (!result.error)
        return finish(result.revision);
    if (result.error == Errc::Conflict) {
        for (const auto& item : result.current) {
            auto record = item.key == commitKey ? decodeRecord<CommitRecord>(item.value) : std::nullopt;
            // An earlier try of this transaction was applied without an answer.
            if (record && record->token == txnToken_)
                return finish(item.revision);
        }
        return callbacks_.deposed("store_knows_later_owner");
    }
    Line("commit_unanswered").with("records", txn_.puts.size()).with("error", result.error.message());
    mayBeApplied_ = mayBeApplied_ || result.error != Errc::Refused;
    if (!mayBeApplied_)
        return giveBack();
    // The same transaction is sent again: applied once at most, since its condition then fails.
    timer_.arm(storeRetry, [this] { send(); });
}

//! The store has done nothing: submissions in the batch may be withdrawn again.
void Committer::giveBack()
{
    fleet::returnBatch(fleet_, batch_);
    batch_ = {};
    sideRecords_.merge(sentSideRecords_);
    sentSideRecords_.clear();
    timer_.arm(storeRetry, [this] {
        isInFlight_ = false;
        next();
    });
}

void Committer::finish(kv::Revision revision)
{
    isInFlight_ = false;
    lastAt_ = bootNow();
    revision_ = revision;
    fleet::applyCommitted(fleet_, batch_.lastSequence());
    callbacks_.committed();
}

} // namespace agatevane::node
