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

//! MessageKind::CataloguePull: one VM asks another for newer entries and for its proof of freshness.
namespace agatevane {

struct CataloguePullRequest {
    std::int64_t since = 0; //!< the asker has all changes up to this revision
    std::int64_t after = 0; //!< for the next page: revision of the last entry of the page before

    template <typename Archive> void serialize(Archive& archive) { archive(since, after); }
};

struct CataloguePullReply {
    std::int64_t revision = 0; //!< the peer has all changes up to this revision
    std::int64_t highestRevision = 0; //!< and some up to this one
    bool isFull = false; //!< deletions after `since` may be missing: all entries that exist are sent
    bool hasMore = false; //!< ask again with the revision of the last entry
    std::int64_t proofAgeMs = -1; //!< -1: no proof
    bool reachesStore = false;
    std::vector<EntryUpdate> entries; //!< oldest first

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(revision, highestRevision, isFull, hasMore, proofAgeMs, reachesStore, entries);
    }
};

//! Another entry VM, as the VM list and the membership show it.
struct CataloguePeer {
    MemberId member;
    net::PeerAddress address;
    std::int64_t revision = 0; //!< from its last heartbeat; 0 if none has arrived
};

//! Asks one peer and waits for the answer.
using CataloguePull = std::function<std::error_code(
    const CataloguePeer& peer, const CataloguePullRequest& request, Instant deadline, CataloguePullReply& reply)>;

//! Pulls over RPC connections, which are kept.
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
