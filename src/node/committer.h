#pragma once

#include "agatevane/base/random.h"
#include "agatevane/fleet/group_commit.h"
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

//! Key under which the current owner stores the workers on which starts may be open or running.
constexpr const char* knownWorkersKey = "agatevane/workers";

//! Makes the changes of a fleet durable, one transaction at a time. Each transaction is conditional on the revision of
//! the commit key and writes that key, so that it is applied at most once and never after a write of a later owner.
class Committer {
public:
    struct Callbacks {
        std::function<void()> committed;
        std::function<void(std::string_view reason)> ownershipLost;
        //! True if a caller waits until a change is durable.
        std::function<bool()> hasWaitingCaller;
    };

    //! `revision` is the revision of the commit key when the ownership began.
    Committer(
        asio::io_context& context, kv::Store& store, fleet::Fleet& fleet, kv::Revision revision, Callbacks callbacks);

    //! Sends the pending changes, unless a transaction is in flight.
    void commitPending();
    void stop() { isStopped_ = true; }
    //! Sets the record of workers that the store holds, so that an equal one is not written again.
    void setStoredWorkerRecord(const std::string& bytes) { storedWorkerRecord_ = bytes; }
    //! Writes a record with one of the next transactions; nobody waits for it. A newer value replaces one that is not
    //! sent.
    void enqueueRecord(const std::string& key, const std::string& value) { auxiliaryRecords_[key] = value; }
    kv::Revision revision() const { return revision_; }

private:
    struct WorkerRecord {
        std::string bytes;
        std::set<fleet::WorkerId> names;
    };

    std::optional<WorkerRecord> takeDueWorkerRecord();
    void addWorkerRecord();
    void addAuxiliaryRecords();
    void send();
    void handleResult(const kv::TxnResult& result);
    void returnBatchAndRetry();
    void completeCommit(kv::Revision revision);

    kv::Store& store_;
    fleet::Fleet& fleet_;
    kv::Revision revision_ = 0; //!< revision of the commit key
    Callbacks callbacks_;
    fleet::WriteBatch batch_;
    kv::Txn txn_;
    std::string txnToken_;
    bool isStopped_ = false;
    bool isInFlight_ = false;
    bool mayBeApplied_ = false; //!< an attempt to commit `txn_` ended without a definite answer
    Instant lastCommitAt_;
    ResponseTimes responseTimes_; //!< of commits
    std::string storedWorkerRecord_; //!< the record of workers that the store holds; empty: none
    std::optional<WorkerRecord> sentWorkerRecord_; //!< part of `txn_`
    Instant nextWorkerRecordAt_; //!< earliest time of the next record of workers
    std::map<std::string, std::string> auxiliaryRecords_; //!< key to value; not sent to the store yet
    std::map<std::string, std::string> sentAuxiliaryRecords_; //!< key to value; part of `txn_`
    Random random_ = makeRandom();
    Timer timer_;
    Liveness liveness_;
};

} // namespace agatevane::node
