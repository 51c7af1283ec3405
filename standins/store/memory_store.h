#pragma once

#include "agatevane/base/instant.h"
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! An in-memory key-value store with the revisions, transactions, leases and watches of the etcd v3 interface. Messages
//! are the JSON objects of its gateway.
namespace agatevane::standin {

using Json = nlohmann::json;

//! An error answer of the store, with its gRPC status code.
struct StoreError {
    int code = 3; //!< the default is INVALID_ARGUMENT
    std::string message;
};

struct StoreLimits {
    std::size_t maxValueBytes = 1 << 20;
    std::size_t maxTxnOperations = 128; //!< etcd's default, for each of compare, success and failure
    std::int64_t historyRevisions = 20000; //!< compaction removes older revisions
};

//! The range and position of one watch.
struct WatchCursor {
    std::string key;
    std::string rangeEnd;
    std::int64_t nextRevision = 0;
    bool wantsProgress = false;
};

class MemoryStore {
public:
    explicit MemoryStore(const StoreLimits& limits = {})
        : limits_(limits)
    {
    }

    // These operations throw StoreError.
    Json range(const Json& request);
    Json put(const Json& request);
    Json deleteRange(const Json& request);
    Json txn(const Json& request);
    Json grantLease(const Json& request, Instant at);
    Json keepLeaseAlive(const Json& request, Instant at);
    Json revokeLease(const Json& request);

    //! Ends the leases that have expired by `at` and deletes their keys.
    void expireLeases(Instant at);

    WatchCursor makeCursor(const Json& createRequest);
    //! The next message for a watch, or nothing if no event occurs within `wait`. Returns a canceled message if the
    //! cursor's revision was compacted.
    std::optional<Json> nextEvents(WatchCursor& cursor, Millis wait);
    Json progress(WatchCursor& cursor);

    void compact(std::int64_t revision);
    std::int64_t revision() const;
    std::size_t keyCount() const;

private:
    struct Version {
        std::int64_t modRevision = 0;
        std::int64_t createRevision = 0;
        std::int64_t version = 0; //!< 0: deleted by this revision
        std::int64_t lease = 0;
        std::string value;
    };
    struct Lease {
        std::int64_t ttlSeconds = 0;
        Instant expiry;
        std::set<std::string> keys;
    };
    struct Change {
        std::int64_t revision = 0;
        std::string key;
    };
    //! The new revision, which all operations of one transaction share.
    struct Write {
        std::int64_t revision = 0;
        bool changed = false;
    };

    Json header() const;
    const Version* find(const std::string& key, std::int64_t revision) const;
    Json keyValue(const std::string& key, const Version& version, bool keysOnly) const;
    Json rangeLocked(const Json& request, std::int64_t latest) const;
    void putLocked(const Json& request, Write& write);
    std::int64_t deleteLocked(const std::string& key, const std::string& rangeEnd, Write& write);
    void append(const std::string& key, Version version, Write& write);
    void commit(const Write& write);
    bool compareHolds(const Json& compare) const;
    void checkOperations(const Json& txn, std::set<std::string>& puts) const;
    void evaluateCompares(const Json& txn, std::vector<bool>& path) const;
    Json applyTxn(const Json& txn, const std::vector<bool>& path, std::size_t& nextStep, Write& write);
    void endLease(std::int64_t id, Write& write);
    void compactLocked(std::int64_t revision);
    std::vector<std::string> keysIn(const std::string& key, const std::string& rangeEnd) const;

    const StoreLimits limits_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_ = 0;
    std::int64_t nextLease_ = 7000;
    std::map<std::string, std::vector<Version>> keys_;
    std::vector<Change> changes_; //!< since `compacted_`, in order of revision
    std::map<std::int64_t, Lease> leases_;
};

//! The member as bytes, a number or a flag; the default value if it is absent. The first two throw StoreError if the
//! member has another form; flagOf returns false.
std::string bytesOf(const Json& object, const char* name);
std::int64_t numberOf(const Json& object, const char* name);
bool flagOf(const Json& object, const char* name);

} // namespace agatevane::standin
