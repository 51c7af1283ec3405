#pragma once

#include "agatevane/base/instant.h"
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

//! What the product asks of a linearizable key-value store with conditional writes, leases and watches.
namespace agatevane::kv {

//! Raised by the store with each change.
using Revision = std::int64_t;
using LeaseId = std::int64_t;

struct Item {
    std::string key;
    std::string value;
    Revision revision = 0; //!< of the last change; 0: the key does not exist
    LeaseId lease = 0; //!< 0: none
};

//! Holds if the last change of `key` has `revision`; 0: the key does not exist.
struct Condition {
    std::string key;
    Revision revision = 0;
};

struct Put {
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

struct Txn {
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

//! `error`: none if it was applied; `Conflict` if a condition failed, with the keys' present state in `current`;
//! `Refused` if it was certainly not applied; `Timeout` or `Disconnected` if it may have been or may yet be.
struct TxnResult {
    std::error_code error;
    Revision revision = 0;
    std::vector<Item> current;
    bool hasLeaseEnded = false; //!< with `Refused`: a lease it names has ended
};

struct ReadResult {
    std::error_code error;
    std::vector<Item> items;
    Revision asOf = 0; //!< a watch continues after this revision
};

struct Change {
    Item item; //!< of a removal only key and revision
    bool isRemoval = false;
};

//! `error` is `TooOld` if the history after the asked revision is gone: read everything again.
struct WatchResult {
    std::error_code error;
    bool isHistoryCompacted = false;
    std::vector<Change> changes;
    Revision asOf = 0;
};

struct LeaseResult {
    std::error_code error;
    bool hasEnded = false; //!< the lease has ended
    LeaseId lease = 0;
};

//! Calls end by their deadline. All on the event loop's thread; `done` is never called from within the call.
class Store {
public:
    virtual ~Store() = default;

    virtual void get(const std::string& key, Instant deadline, std::function<void(ReadResult)> done) = 0;
    //! All keys with `prefix`, over as many pages as needed; pages are not a snapshot.
    virtual void list(const std::string& prefix, Instant deadline, std::function<void(ReadResult)> done) = 0;
    //! Waits up to `wait` for changes after the revision `after`.
    virtual void watch(
        const std::string& prefix, Revision after, Millis wait, Instant deadline, std::function<void(WatchResult)> done)
        = 0;
    virtual void commit(const Txn& txn, Instant deadline, std::function<void(TxnResult)> done) = 0;
    virtual void grantLease(Millis ttl, Instant deadline, std::function<void(LeaseResult)> done) = 0;
    virtual void renewLease(LeaseId lease, Instant deadline, std::function<void(LeaseResult)> done) = 0;
    virtual void endLease(LeaseId lease, Instant deadline, std::function<void(LeaseResult)> done) = 0;
};

} // namespace agatevane::kv
