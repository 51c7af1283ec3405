#pragma once

#include "agatevane/kv/kv.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

//! An in-memory model of the platform's key-value store: revisions, conditions, leases and the history of changes.
namespace agatevane::standin {

class KvModel {
public:
    //! Applies all changes of the transaction, or none if a condition does not hold, a named lease has ended, or the
    //! transaction has a value or a number of entries beyond the store's limits.
    kv::TxnResult commit(const kv::Txn& txn, std::int64_t nowMs);
    kv::ReadResult get(const std::string& key, std::int64_t nowMs);
    kv::ReadResult list(const std::string& prefix, std::int64_t nowMs);
    //! Changes with a revision above `after`; empty if there are none yet. Refused if the history was compacted past
    //! `after`.
    kv::WatchResult changes(const std::string& prefix, kv::Revision after, std::int64_t nowMs);
    kv::LeaseId grant(std::int64_t ttlMs, std::int64_t nowMs);
    //! False if the lease has ended.
    bool renew(kv::LeaseId lease, std::int64_t nowMs);
    //! Ends the lease and removes its keys. False if the lease has already ended.
    bool endLease(kv::LeaseId lease, std::int64_t nowMs);
    //! The store takes no longer values from now on.
    void limitValues(std::size_t bytes) { maxValueBytes_ = bytes; }
    //! Size of the longest value that was refused; 0: none was.
    std::size_t longestRefusedValue() const { return longestRefusedValue_; }
    //! Removes the history of changes up to the current revision.
    void compact();
    kv::Revision revision() const { return revision_; }

private:
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endsAtMs = 0;
    };

    void removeExpiredLeases(std::int64_t nowMs);
    void remove(const std::string& key);
    void removeKeysOf(kv::LeaseId lease);

    bool isWithinLimits(const kv::Txn& txn);

    std::size_t maxValueBytes_ = 1024UL * 1024;
    std::size_t longestRefusedValue_ = 0;
    std::map<std::string, kv::Item> items_;
    std::deque<kv::Change> history_;
    kv::Revision revision_ = 1;
    kv::Revision compactedTo_ = 1;
    std::map<kv::LeaseId, Lease> leases_;
    kv::LeaseId lastLease_ = 100;
};

} // namespace agatevane::standin
