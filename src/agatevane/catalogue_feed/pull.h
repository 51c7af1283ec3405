#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/catalogue/view.h"
#include "agatevane/net/archive.h"
#include "agatevane/net/rpc.h"
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <system_error>

//! The messages of MessageKind::CataloguePull, with which one VM requests newer entries and the age of the proof of
//! freshness from another.
namespace agatevane {

struct CataloguePullRequest {
    std::int64_t since = 0; //!< the requesting VM has all changes up to this revision
    std::int64_t after = 0; //!< revision of the last entry of the previous page; 0 for the first page

    template <typename Archive> void serialize(Archive& archive) { archive(since, after); }
};

struct CataloguePullReply {
    std::int64_t revision = 0; //!< the peer has all changes up to this revision
    std::int64_t highestRevision = 0; //!< highest revision that the peer knows; earlier changes may be missing
    bool isFull = false; //!< the peer may not know all deletions after `since`, so it sends all existing entries
    bool hasMore = false; //!< the next page must be requested with the revision of the last entry
    std::int64_t proofAgeMs = -1; //!< age of the peer's proof of freshness; -1: no proof
    bool reachesStore = false; //!< the store has answered the peer within the last 5 s
    std::vector<EntryUpdate> entries; //!< oldest first

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(revision, highestRevision, isFull, hasMore, proofAgeMs, reachesStore, entries);
    }
};

//! Another entry VM, as the VM list and the membership report it.
struct CataloguePeer {
    MemberId member;
    net::PeerAddress address;
    std::int64_t revision = 0; //!< highest revision in the peer's last heartbeat; 0 if none has arrived
};

//! Sends the request to one peer and waits for the answer.
using CataloguePull = std::function<std::error_code(
    const CataloguePeer& peer, const CataloguePullRequest& request, Instant deadline, CataloguePullReply& reply)>;

//! Pulls over RPC connections, which are kept for later pulls.
class RpcPuller {
public:
    explicit RpcPuller(asio::io_context& context)
        : context_(context)
    {
    }

    std::error_code operator()(
        const CataloguePeer& peer, const CataloguePullRequest& request, Instant deadline, CataloguePullReply& reply);

private:
    asio::io_context& context_;
    std::mutex mutex_;
    std::map<std::pair<std::string, int>, std::shared_ptr<net::RpcClient>> clients_; //!< by address and port
};

} // namespace agatevane
