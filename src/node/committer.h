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

//! Key of the list of workers that the present owner knows.
constexpr const char* knownWorkersKey = "agatevane/workers";

//! Makes the changes of a fleet durable, one transaction after the other. Each is conditional on the commit key and
//! moves it on, so that it is applied at most once and never after a later owner's.
class Committer {
public:
    struct Callbacks {
        std::function<void()> committed;
        std::function<void(std::string_view reason)> deposed;
        //! True if a caller waits for a change.
        std::function<bool()> isAwaited;
    };

    //! `revision` is that of the commit key when the ownership began.
    Committer(
        asio::io_context& context, kv::Store& store, fleet::Fleet& fleet, kv::Revision revision, Callbacks callbacks);

    //! Sends what has changed, unless a transaction is in flight.
    void next();
    void stop() { isStopped_ = true; }
    //! The list of workers as the store has it.
    void setKnownWorkers(const std::string& record) { knownWorkers_ = record; }
    //! Writes a record that nobody waits for with one of the next transactions. The newest value of a key counts.
    void put(const std::string& key, const std::string& value) { sideRecords_[key] = value; }
    kv::Revision revision() const { return revision_; }

private:
    void noteKnownWorkers();
    void takeSideRecords();
    void send();
    void resolve(const kv::TxnResult& result);
    void giveBack();
    void finish(kv::Revision revision);

    kv::Store& store_;
    fleet::Fleet& fleet_;
    kv::Revision revision_ = 0; //!< of the commit key
    Callbacks callbacks_;
    fleet::WriteBatch batch_;
    kv::Txn txn_;
    std::string txnToken_;
    bool isStopped_ = false;
    bool isInFlight_ = false;
    bool mayBeApplied_ = false; //!< a try of `txn_` was not answered
    Instant lastAt_;
    std::string knownWorkers_; //!< as last handed to the store
    std::map<std::string, std::string> sideRecords_; //!< not handed to the store yet
    std::map<std::string, std::string> sentSideRecords_; //!< in `txn_`
    Random random_ = makeRandom();
    Timer timer_;
    Liveness liveness_;
};

} // namespace agatevane::node
