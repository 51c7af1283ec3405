#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/net/rpc.h"
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace agatevane::event_http {

//! Idle connections, by peer, in the order in which they became idle. `Connection` is a type with a member close().
template <typename Connection> class ConnectionPool {
public:
    using Pointer = std::shared_ptr<Connection>;

    //! The connection to `peer` that became idle last; null if there is none.
    Pointer take(const net::PeerAddress& peer)
    {
        auto found = byPeer_.find(peer);
        if (found == byPeer_.end())
            return nullptr;
        auto entry = found->second.back();
        auto connection = std::move(entry->connection);
        found->second.pop_back();
        if (found->second.empty())
            byPeer_.erase(found);
        entries_.erase(entry);
        return connection;
    }

    void add(const net::PeerAddress& peer, Pointer connection)
    {
        entries_.push_back({ peer, std::move(connection) });
        byPeer_[peer].push_back(std::prev(entries_.end()));
    }

    std::size_t countTo(const net::PeerAddress& peer) const
    {
        auto found = byPeer_.find(peer);
        return found == byPeer_.end() ? 0 : found->second.size();
    }

    //! Closes the connection that has been idle for the longest time. False if there is none.
    bool closeOldest()
    {
        if (entries_.empty())
            return false;
        auto entry = entries_.begin();
        auto found = byPeer_.find(entry->peer);
        // Of the connections to one peer, too, the first became idle first.
        found->second.erase(found->second.begin());
        if (found->second.empty())
            byPeer_.erase(found);
        auto connection = std::move(entry->connection);
        entries_.erase(entry);
        connection->close();
        return true;
    }

    void closeAllTo(const net::PeerAddress& peer)
    {
        while (auto connection = take(peer))
            connection->close();
    }

    void clear()
    {
        byPeer_.clear();
        entries_.clear();
    }

private:
    struct Entry {
        net::PeerAddress peer;
        Pointer connection;
    };
    using Entries = std::list<Entry>;

    Entries entries_; //!< the longest idle first
    std::map<net::PeerAddress, std::vector<typename Entries::iterator>> byPeer_;
};

} // namespace agatevane::event_http
