#pragma once

#include "agatevane/catalogue_feed/catalogue_feed.h"
#include "entry/catalogue_snapshot.h"
#include "entry/settings.h"
#include <atomic>
#include <mutex>
#include <vector>

namespace agatevane::entry {

//! Follows catalogue changes through the store and the peers, and tracks until when the catalogue is proved to be
//! fresh.
class CatalogueSource {
public:
    using ApplySnapshot = std::function<void(SnapshotPointer)>;

    CatalogueSource(asio::io_context& context, store::Client& store, ApplySnapshot applySnapshot);

    void start() { feed_.start(); }
    void stop() { feed_.stop(); }

    //! Returns whether the catalogue is proved to be fresh. Without the proof this VM accepts no new work.
    bool isFresh() const { return now() < freshUntil_.load(std::memory_order_acquire); }

    //! Updates the time until which `isFresh` returns true. Must be called about every 50 ms.
    void tick();

    //! Sets the addresses of all other entry VMs.
    void setPeers(const MemberAddresses& peers);

    //! Notes the revision that a heartbeat of the peer reports, unless a later one is known.
    void raisePeerRevision(const MemberId& peer, std::int64_t revision);

    CatalogueFeed& feed() { return feed_; }

private:
    CatalogueFeed feed_;
    std::mutex peersMutex_;
    std::vector<CataloguePeer> peers_;
    std::atomic<Instant> freshUntil_ { Instant() };
};

} // namespace agatevane::entry
