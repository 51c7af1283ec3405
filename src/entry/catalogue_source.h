#pragma once

#include "agatevane/catalogue_feed/catalogue_feed.h"
#include "entry/catalogue_snapshot.h"
#include "entry/settings.h"
#include <atomic>
#include <mutex>
#include <vector>

namespace agatevane::entry {

//! Follows the catalogue through the store and the peers, and knows until when it is proved to be fresh.
class CatalogueSource {
public:
    using Apply = std::function<void(SnapshotPointer)>;

    CatalogueSource(asio::io_context& context, store::Client& store, Apply apply);

    void start() { feed_.start(); }
    void stop() { feed_.stop(); }

    //! Without a proof of freshness the VM takes no new work.
    bool isFresh() const { return now() < freshUntil_.load(std::memory_order_acquire); }

    //! Renews what `isFresh` says; to be called about every 50 ms.
    void tick();

    //! All other entry VMs.
    void setPeers(const MemberAddresses& peers);

    //! A heartbeat shows that the peer has a newer revision.
    void notePeerRevision(const MemberId& peer, std::int64_t revision);

    CatalogueFeed& feed() { return feed_; }

private:
    CatalogueFeed feed_;
    std::mutex peersMutex_;
    std::vector<CataloguePeer> peers_;
    std::atomic<Instant> freshUntil_ { Instant() };
};

} // namespace agatevane::entry
