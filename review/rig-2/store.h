#pragma once

#include "http.h"
#include <condition_variable>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace rig {

using Json = nlohmann::json;

std::string toBase64(const std::string& bytes);
std::string fromBase64(const std::string& text);

//! What the store does with one call.
enum class StoreAction {
    Serve,
    Busy, //!< 503, nothing is done
    Silent, //!< nothing is done, and the channel returns nothing further
    Reset //!< nothing is done, and the channel is reset
};

//! The platform's metadata store. Each node has a port of its own, so that the store can tell the nodes apart.
class Store {
public:
    explicit Store(const std::string& address);

    //! Returns the port for the next node.
    int addNode();
    //! Decides on each call of a node; called without a lock held.
    void setAction(std::function<StoreAction(int node, const HttpRequest& request)> action);

    //! Writes of the operator and of the workers. Returns the revision.
    std::int64_t put(const std::string& key, const std::string& bytes);
    void remove(const std::string& key);
    std::string read(const std::string& key);

    //! The node whose transaction was last carried out; -1: none.
    int lastWriter() const { return lastWriter_; }

private:
    struct Item {
        std::string key;
        std::string value; //!< in base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        Item item;
        bool isRemoval = false;
    };
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endsAtMs = 0;
    };

    HttpReply handle(int node, const HttpRequest& request);
    HttpReply get(const HttpRequest& request);
    HttpReply range(const HttpRequest& request);
    HttpReply watch(const HttpRequest& request);
    HttpReply commit(int node, const Json& body);
    HttpReply grant(const Json& body);
    HttpReply renew(std::int64_t lease);
    HttpReply endLease(std::int64_t lease);

    static Json encode(const Item& item);
    void write(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t revision);
    void erase(const std::string& key, std::int64_t revision);
    void eraseKeysOf(std::int64_t lease);
    void expireLeases();

    std::string address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::deque<Event> history_;
    std::int64_t revision_ = 1;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t lastLease_ = 100;
    std::atomic<int> lastWriter_ { -1 };
    std::mutex actionMutex_;
    std::function<StoreAction(int node, const HttpRequest& request)> action_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
};

} // namespace rig
