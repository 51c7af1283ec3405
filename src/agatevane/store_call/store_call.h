#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

//! Store operations as the decision modules ask for them, and the answers; the programs translate them.
namespace agatevane {

//! The transaction's condition: the key's modification revision equals `revision`; 0 means that the key is absent.
struct StoreCompare {
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const StoreCompare&) const = default;
};

//! A read of [readFrom, readEnd), or of one key if `readEnd` is empty, or else a transaction.
struct StoreCall {
    std::uint64_t id = 0; //!< copied into the reply
    std::string readFrom;
    std::string readEnd;
    std::vector<StoreCompare> compares;
    std::vector<std::pair<std::string, std::string>> puts;
    std::vector<std::pair<std::string, std::string>> deletes; //!< ranges [first, second)

    bool isRead() const { return !readFrom.empty(); }
};

enum class StoreOutcome {
    Done,
    Conflict, //!< a compare failed; there was no effect
    NoEffect, //!< the store was not reached
    Unknown //!< the answer was lost; the effect may have taken place or may still take place
};

struct StoreValue {
    std::string key;
    std::string value;
    std::int64_t revision = 0; //!< modification revision
};

struct StoreReply {
    std::uint64_t id = 0;
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::int64_t revision = 0; //!< of the store, after the operation
    std::vector<StoreValue> values; //!< of a read, in key order
};

//! The end of the range of all keys that start with `prefix`.
inline std::string prefixEnd(std::string prefix)
{
    if (!prefix.empty())
        prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

} // namespace agatevane
