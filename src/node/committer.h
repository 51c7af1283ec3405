#pragma once

#include "agatevane/base/random.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/kv/kv.h"
#include "node/records.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace agatevane::node {

//! Key under which the current owner stores the list of workers that it knows.
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
    //! Sets the encoded list of workers that the store holds, so that an equal list is not written again.
    void setKnownWorkersRecord(const std::string& record) { lastKnownWorkersRecord_ = record; }
    //! Writes a record with one of the next transactions; nobody waits for it. A newer value replaces one that is not
    //! sent.
    void enqueueRecord(const std::string& key, const std::string& value) { auxiliaryRecords_[key] = value; }
    kv::Revision revision() const { return revision_; }

private:
    void enqueueKnownWorkers();
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
    std::string lastKnownWorkersRecord_; //!< last encoded list read from the store or queued for it
    std::map<std::string, std::string> auxiliaryRecords_; //!< key to value; not sent to the store yet
    std::map<std::string, std::string> sentAuxiliaryRecords_; //!< key to value; part of `txn_`
    Random random_ = makeRandom();
    Timer timer_;
    Liveness liveness_;
};

} // namespace agatevane::node
