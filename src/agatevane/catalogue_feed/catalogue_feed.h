#pragma once

#include "agatevane/base/random.h"
#include "agatevane/catalogue/freshness.h"
#include "agatevane/catalogue_feed/published.h"
#include "agatevane/catalogue_feed/pull.h"
#include "agatevane/store/client.h"
#include "agatevane/store/watcher.h"
#include <atomic>
#include <condition_variable>
#include <optional>
#include <thread>

namespace agatevane {

struct FeedOptions {
    //! The number of threads that read the store in parallel. With several readers, a store that needs 5 s for an
    //! answer still proves the freshness every `storeInterval / storeReaders`.
    int storeReaders = 3;
    Millis storeInterval { 6000 }; //!< time between two reads of one reader
    Millis storeTimeout { 6000 };
    //! With more VMs than this, each VM reads the store only in some of its turns, chosen at random, and gets most
    //! proofs of freshness from peers.
    int maxStoreReadingVms = 30;
    Millis peerInterval { 500 }; //!< time between two comparisons with the peers' revisions
    Millis requestPeerProofAfter { 4000 }; //!< age of the own proof after which the peers' proofs are requested
    Millis peerTimeout { 1000 };
    std::size_t pageBytes = 900'000; //!< size of one page of a pull; a frame holds 1 MiB
    store::WatcherOptions watcher;
};

struct FeedStatus {
    std::int64_t revision = 0; //!< highest known revision; the heartbeat sends it to the peers
    bool isFresh = false; //!< a VM whose catalogue is not fresh takes no new work
    std::optional<Millis> proofAge; //!< age of the proof of freshness; no value if there is none
    bool reachesStore = false; //!< the store has answered within the last 5 s
};

//! Keeps this process's copy of the catalogue up to date. It watches and reads the store, pulls changes from peers,
//! answers the pulls of peers and publishes each new version.
class CatalogueFeed {
public:
    using OnPublish = std::function<void(std::shared_ptr<const Catalogue>)>;

    //! `onPublish` runs on the feed's threads, one call at a time, and must not call the feed, since it runs under the
    //! feed's lock.
    CatalogueFeed(store::Client& store, CataloguePull pull, OnPublish onPublish, const FeedOptions& options = {});
    ~CatalogueFeed();
    CatalogueFeed(const CatalogueFeed&) = delete;
    CatalogueFeed& operator=(const CatalogueFeed&) = delete;

    void start();
    void stop();

    std::shared_ptr<const Catalogue> current() const { return published_.load(); }
    FeedStatus status() const;

    //! Whether this VM may take new work. Takes no lock, since it is called for every request.
    bool isFresh() const { return now() <= freshUntil_.load(std::memory_order_acquire); }

    //! Sets all other VMs. Must be called whenever the VM list, the membership or the revision of a peer changes.
    void setPeers(std::vector<CataloguePeer> peers);

    //! Returns the encoded reply to a peer's MessageKind::CataloguePull.
    std::string answerPull(std::string_view request) const;

    //! Reads all changes up to now from the store and applies them. A success proves the freshness of the catalogue.
    std::error_code refresh(Instant deadline);

    //! Applies a change that this VM has just accepted.
    void apply(const EntryUpdate& update);

    //! The newest version of the entry that this process knows, as it is stored.
    std::optional<EntryUpdate> find(const EntryKey& key) const;
    //! Entries whose stored form cannot be read, by store key.
    std::map<std::string, Findings> unreadable() const;

private:
    void runStoreReader(int index);
    void runPeerExchange();
    void requestPeerProofs();
    bool pullFrom(const CataloguePeer& peer);
    void publishLocked();
    void updateFreshUntilLocked();
    bool waitUnlessStopping(Millis duration);
    store::WatchHandlers watchHandlers();

    store::Client& store_;
    CataloguePull pull_;
    OnPublish onPublish_;
    FeedOptions options_;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    CatalogueView view_;
    Freshness freshness_;
    std::optional<Instant> storeAnsweredAt_;
    std::vector<CataloguePeer> peers_;
    Random random_;
    bool hasUnpublishedChange_ = true; //!< the view differs from the published catalogue
    bool isStopping_ = false;

    std::atomic<Instant> freshUntil_ { Instant() };
    Published<Catalogue> published_ { std::make_shared<const Catalogue>() };
    store::Watcher watcher_;
    std::vector<std::thread> threads_;
};

} // namespace agatevane
