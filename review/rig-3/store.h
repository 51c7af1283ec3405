#pragma once

#include "http.h"
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rig {

using Json = nlohmann::json;

//! The platform's metadata store, as PROTOCOL.md describes it: items, leases, watches, transactions, and the limits
//! `writesPerS`, `readsPerS` and `valueBytes`. All members are called with the server's mutex held.
class Store {
public:
    static constexpr std::size_t valueBytes = 1048576;

    void handle(const Request& request, const Server::Respond& respond);
    void tick();

    //! Writes an item as the operator or a worker does.
    void put(const std::string& key, const std::string& value);
    std::string get(const std::string& key) const;
    //! Transactions that were refused because a value was too large.
    int oversizedTxns() const { return oversizedTxns_; }
    std::size_t largestRefusedValue() const { return largestRefused_; }
    std::int64_t lastCommitMs() const { return lastCommitMs_; }

private:
    struct Item {
        std::string value; //!< in base64, as written
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Change {
        std::int64_t revision = 0;
        std::int64_t atMs = 0;
        std::string key;
        Item item;
        bool isRemoval = false;
    };
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endsAtMs = 0;
    };
    struct Watch {
        std::string prefix;
        std::int64_t after = 0;
        std::int64_t untilMs = 0;
        Server::Respond respond;
    };
    //! Calls within the present second.
    struct Rate {
        std::int64_t second = 0;
        int calls = 0;
    };

    static bool isWithin(Rate& rate, int limit);
    static Json describe(const std::string& key, const Item& item);
    void getKey(const std::string& key, const Server::Respond& respond) const;
    void range(const std::string& prefix, const std::string& after, const Server::Respond& respond) const;
    void watch(const Watch& watch);
    bool answerIfChanged(const Watch& watch) const;
    void commit(const Json& body, const Server::Respond& respond);
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void remove(const std::string& key);
    void endLease(std::int64_t lease);
    void removeExpiredLeases();

    std::map<std::string, Item> items_;
    std::deque<Change> history_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<Watch> watches_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 70000;
    std::int64_t compactedTo_ = 0;
    Rate writes_;
    Rate reads_;
    int oversizedTxns_ = 0;
    std::size_t largestRefused_ = 0;
    std::int64_t lastCommitMs_ = 0;
};

std::string encodeBase64(const std::string& bytes);
//! The value of a parameter in the query of a target; empty if it is missing.
std::string parameterOf(const std::string& target, const std::string& name);

} // namespace rig
