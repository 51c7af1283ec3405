#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

//! Store operations that the decision modules request, and their results. The programs translate them into calls of the
//! store.
namespace agatevane {

//! Condition of a transaction: the modification revision of `key` equals `revision`; 0 means that the key is absent.
struct StoreCompare {
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const StoreCompare&) const = default;
};

//! If `readFrom` is set, a read of the keys [readFrom, readEnd), or of the key `readFrom` alone if `readEnd` is empty;
//! otherwise a transaction.
struct StoreCall {
    std::uint64_t id = 0; //!< copied into the reply
    std::string readFrom;
    std::string readEnd;
    std::vector<StoreCompare> compares;
    std::vector<std::pair<std::string, std::string>> puts;
    std::vector<std::pair<std::string, std::string>> deletes; //!< key ranges [first, second)

    bool isRead() const { return !readFrom.empty(); }
};

enum class StoreOutcome {
    Done,
    Conflict, //!< a compare failed; there was no effect
    NoEffect, //!< the store was not reached or refused the operation
    Unknown //!< the reply was lost; the operation may have taken effect or may still take effect
};

struct StoreValue {
    std::string key;
    std::string value;
    std::int64_t revision = 0; //!< modification revision
};

struct StoreReply {
    std::uint64_t id = 0;
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::int64_t revision = 0; //!< the store's revision after the operation
    std::vector<StoreValue> values; //!< the result of a read, in key order
};

//! The exclusive end of the range of all keys that start with `prefix`.
inline std::string prefixEnd(std::string prefix)
{
    if (!prefix.empty())
        prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

} // namespace agatevane
