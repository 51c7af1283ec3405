#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/transfer.h"
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

//! The operations that agatevane needs from a linearizable key-value store with conditional writes, leases and watches.
namespace agatevane::kv {

//! Revision of the store; the store raises it with each change.
using Revision = std::int64_t;
using LeaseId = std::int64_t;

struct Item {
    std::string key;
    std::string value;
    Revision revision = 0; //!< revision of the key's last change; 0 if the key does not exist
    LeaseId lease = 0; //!< lease that the key is bound to; 0 if there is none
};

//! Holds if the last change of `key` has the revision `revision`; 0 requires that the key does not exist.
struct Condition {
    std::string key;
    Revision revision = 0;
};

struct Put {
    std::string key;
    std::string value;
    LeaseId lease = 0; //!< lease to bind the key to; 0 for none
};

//! The puts and deletes are applied together, and only if all conditions hold.
struct Txn {
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

//! `error` is not set if the transaction was applied; `Conflict` if a condition failed, with the present state of the
//! keys in `current`; `Refused` if the transaction was certainly not applied; `Timeout` or `Disconnected` if it may
//! have been applied or may still be applied.
struct TxnResult {
    std::error_code error;
    Revision revision = 0;
    std::vector<Item> current;
    bool hasLeaseEnded = false; //!< with `Refused`: a lease that the transaction names has ended
    bool isRefusalLasting = false; //!< with `Refused`: the store would refuse the same transaction again
};

struct ReadResult {
    std::error_code error;
    std::vector<Item> items;
    Revision asOf = 0; //!< a watch that continues after this revision misses no change
};

struct Change {
    Item item; //!< a removal has only the key and the revision
    bool isRemoval = false;
};

//! If the store no longer has all changes after the given revision, `error` is set and `isHistoryCompacted` is true:
//! the caller must read everything again.
struct WatchResult {
    std::error_code error;
    bool isHistoryCompacted = false;
    std::vector<Change> changes;
    Revision asOf = 0; //!< the next watch continues after this revision
};

struct LeaseResult {
    std::error_code error;
    bool hasEnded = false;
    LeaseId lease = 0; //!< the granted lease
    Millis ttl { 0 }; //!< duration of the granted lease; 0: as requested
};

//! Commits and calls for leases end by their deadline. Reads and watches have to be answered from their `beginBy` on
//! and may take any time while the answer arrives; they end soon after it stops arriving. Calls and their `done` run on
//! the event loop's thread; `done` is never called from within the call itself.
class Store {
public:
    virtual ~Store() = default;

    virtual void get(const std::string& key, const TransferLimits& limits, std::function<void(ReadResult)> done) = 0;
    //! Reads all keys that start with `prefix`, in as many pages as needed; a page that fails is read again a few
    //! times. `limits` apply to each page. The pages are not a snapshot: each shows the store at the time of its own
    //! read.
    virtual void list(const std::string& prefix, const TransferLimits& limits, std::function<void(ReadResult)> done)
        = 0;
    //! Waits up to `wait` for changes after the revision `after` to keys that start with `prefix`. The answer has each
    //! value that was written, so it can be large.
    virtual void watch(const std::string& prefix, Revision after, Millis wait, const TransferLimits& limits,
        std::function<void(WatchResult)> done)
        = 0;
    virtual void commit(const Txn& txn, Instant deadline, std::function<void(TxnResult)> done) = 0;
    virtual void grantLease(Millis ttl, Instant deadline, std::function<void(LeaseResult)> done) = 0;
    virtual void renewLease(LeaseId lease, Instant deadline, std::function<void(LeaseResult)> done) = 0;
    virtual void endLease(LeaseId lease, Instant deadline, std::function<void(LeaseResult)> done) = 0;
};

} // namespace agatevane::kv
