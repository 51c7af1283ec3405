#pragma once

#include "agatevane/kv/kv.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

//! The platform's key-value store as plain state: revisions, conditions, leases, history.
namespace agatevane::standin {

class KvModel {
public:
    //! Applies all or nothing.
    kv::TxnResult commit(const kv::Txn& txn, std::int64_t nowMs);
    kv::ReadResult get(const std::string& key, std::int64_t nowMs);
    kv::ReadResult list(const std::string& prefix, std::int64_t nowMs);
    //! Changes after `after`; empty if there are none yet.
    kv::WatchResult changes(const std::string& prefix, kv::Revision after, std::int64_t nowMs);
    kv::LeaseId grant(std::int64_t ttlMs, std::int64_t nowMs);
    bool renew(kv::LeaseId lease, std::int64_t nowMs);
    bool endLease(kv::LeaseId lease, std::int64_t nowMs);
    //! Forgets the history, as a compaction does.
    void compact();
    kv::Revision revision() const { return revision_; }

private:
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endsAtMs = 0;
    };

    void expire(std::int64_t nowMs);
    void remove(const std::string& key);
    void dropKeysOf(kv::LeaseId lease);

    std::map<std::string, kv::Item> items_;
    std::deque<kv::Change> history_;
    kv::Revision revision_ = 1;
    kv::Revision compactedTo_ = 1;
    std::map<kv::LeaseId, Lease> leases_;
    kv::LeaseId lastLease_ = 100;
};

} // namespace agatevane::standin
