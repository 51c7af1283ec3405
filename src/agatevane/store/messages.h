#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

//! Requests and answers of the platform's key-value store, which speaks the etcd v3 interface.
namespace agatevane::store {

//! The store's logical clock: raised by one with every transaction that changes something.
using Revision = std::int64_t;
using LeaseId = std::int64_t;

struct KeyValue {
    std::string key;
    std::string value;
    Revision createRevision = 0;
    Revision modRevision = 0; //!< 0 if the key does not exist
    std::int64_t version = 0; //!< number of writes since creation
    LeaseId lease = 0; //!< 0: no lease

    bool operator==(const KeyValue&) const = default;
};

//! Reads `key`, or all keys in [key, rangeEnd).
struct RangeRequest {
    std::string key;
    std::string rangeEnd; //!< empty: only `key`
    std::int64_t limit = 0; //!< maximum number of keys in the answer; 0: no limit
    Revision revision = 0; //!< revision to read; 0: the latest
    Revision minModRevision = 0; //!< keys last modified earlier are left out, but are in `count`
    bool keysOnly = false;
    bool countOnly = false;
};

struct RangeResult {
    std::vector<KeyValue> kvs; //!< in order of the keys
    bool more = false; //!< the range has more keys than `limit` allows
    std::int64_t count = 0; //!< number of keys in the whole range
};

struct PutRequest {
    std::string key;
    std::string value;
    LeaseId lease = 0;
};

struct PutResult { };

struct DeleteRequest {
    std::string key;
    std::string rangeEnd; //!< empty: only `key`
};

struct DeleteResult {
    std::int64_t deleted = 0;
};

enum class CompareTarget { Version, Create, Mod, Value, Lease };
enum class CompareResult { Equal, NotEqual, Less, Greater };

//! Compares the target of `key` with `number`, or with `value` for CompareTarget::Value. A key that does not exist has
//! 0 for all numbers.
struct Compare {
    std::string key;
    CompareTarget target = CompareTarget::Mod;
    CompareResult result = CompareResult::Equal;
    std::int64_t number = 0;
    std::string value;
};

struct Operation;

//! Runs `success` if all compares hold, else `failure`. Two puts to one key in the same transaction are refused.
struct Txn {
    std::vector<Compare> compares;
    std::vector<Operation> success;
    std::vector<Operation> failure;
};

struct Operation {
    std::variant<RangeRequest, PutRequest, DeleteRequest, Txn> request;
};

struct OperationResult;

struct TxnResult {
    bool succeeded = false;
    std::vector<OperationResult> results; //!< one for each operation of the branch that ran
};

struct OperationResult {
    std::variant<RangeResult, PutResult, DeleteResult, TxnResult> result;
};

struct LeaseResult {
    LeaseId id = 0;
    std::int64_t ttlSeconds = 0; //!< 0 or less: the lease has expired
};

struct WatchRequest {
    std::string key;
    std::string rangeEnd; //!< empty: only `key`
    Revision startRevision = 0; //!< the first revision to deliver
};

enum class EventType { Put, Delete };

struct Event {
    EventType type = EventType::Put;
    KeyValue kv; //!< for a deletion only key and modRevision are set

    bool operator==(const Event&) const = default;
};

//! One message of a watch. A message without events in which neither `created` nor `canceled` is set confirms that all
//! changes up to `revision` have been delivered.
struct WatchResponse {
    Revision revision = 0;
    bool created = false;
    bool canceled = false;
    Revision compactRevision = 0; //!< if above 0, earlier events were compacted: the watcher must read all keys again
    std::string reason;
    std::vector<Event> events;
};

inline Compare createdAt(std::string key, Revision revision)
{
    return { .key = std::move(key), .target = CompareTarget::Create, .number = revision };
}

//! With revision 0, the compare holds if the key does not exist.
inline Compare modifiedAt(std::string key, Revision revision)
{
    return { .key = std::move(key), .target = CompareTarget::Mod, .number = revision };
}

//! Returns the end of the range of all keys that start with `prefix`; "\0" (no upper bound) if there is no such end.
inline std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

} // namespace agatevane::store
