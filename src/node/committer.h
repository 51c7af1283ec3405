#pragma once

#include "agatevane/base/random.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/worker_parts.h"
#include "agatevane/kv/kv.h"
#include "node/records.h"
#include "node/response_times.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace agatevane::node {

using fleet::knownWorkersKey;

//! Makes the changes of a fleet durable, one transaction at a time. Each transaction is conditional on the revision of
//! the commit key and writes that key, so that it is applied at most once and never after a write of a later owner.
//!
//! If the store refuses a transaction for good, the next ones carry fewer records, until the record that it refuses is
//! alone. Then a transaction without records shows whether the record is the reason; if so, it is set aside.
class Committer {
public:
    struct Callbacks {
        std::function<void()> committed;
        std::function<void(std::string_view reason)> ownershipLost;
        //! True if a caller waits until a change is durable.
        std::function<bool()> hasWaitingCaller;
        //! The store does not take the record of the submission whose write has this position.
        std::function<void(fleet::CommitSequence sequence)> submissionRefused;
    };

    //! `revision` is the revision of the commit key when the ownership began.
    Committer(
        asio::io_context& context, kv::Store& store, fleet::Fleet& fleet, kv::Revision revision, Callbacks callbacks);

    //! Sends the pending changes, unless a transaction is in flight.
    void commitPending();
    void stop() { isStopped_ = true; }
    //! Sets the records of workers that the store holds, so that equal ones are not written again.
    void setStoredWorkers(fleet::StoredWorkers stored) { storedWorkers_ = std::move(stored); }
    //! Writes a record with one of the next transactions; nobody waits for it. A newer value replaces one that is not
    //! sent.
    void enqueueRecord(const std::string& key, const std::string& value) { auxiliaryRecords_[key] = value; }
    kv::Revision revision() const { return revision_; }
    //! When the oldest change was made that is not durable; nothing if all are.
    std::optional<Instant> oldestPendingChange() const;

private:
    //! The records of one transaction.
    struct Records {
        fleet::WriteBatch batch;
        std::optional<fleet::WorkersWrite> workers;
        std::map<std::string, std::string> auxiliary; //!< key to value
    };

    std::optional<fleet::WorkersWrite> takeDueWorkersWrite();
    Records takeRecords();
    void addAuxiliaryRecords(Records& records, std::size_t room);
    void returnRecords(Records& records);
    static std::size_t entriesOf(const Records& records);
    void sendRecords();
    void send();
    void handleResult(const kv::TxnResult& result);
    void returnAndRetry(Millis delay);
    void isolateRefusedRecord();
    void setAside(Records records);
    void completeCommit(kv::Revision revision);

    kv::Store& store_;
    fleet::Fleet& fleet_;
    kv::Revision revision_ = 0; //!< revision of the commit key
    Callbacks callbacks_;
    Records sent_; //!< part of `txn_`
    //! A single record that the store has refused, while a transaction without records is in flight.
    std::optional<Records> suspect_;
    std::size_t maxEntries_; //!< of the next transaction, without the commit key
    kv::Txn txn_;
    std::string txnToken_;
    bool isStopped_ = false;
    bool isInFlight_ = false;
    bool mayBeApplied_ = false; //!< an attempt to commit `txn_` ended without a definite answer
    Instant lastCommitAt_;
    ResponseTimes responseTimes_; //!< of commits
    fleet::StoredWorkers storedWorkers_;
    Instant nextWorkersWriteAt_; //!< earliest time of the next record of workers
    std::map<std::string, std::string> auxiliaryRecords_; //!< key to value; not sent to the store yet
    Random random_ = makeRandom();
    Timer timer_;
    Liveness liveness_;
};

} // namespace agatevane::node
