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
    //! Reads of the store that may be under way at the same time. With several, a store that takes 5 s for an answer
    //! still gives a proof every `storeInterval / storeReaders`.
    int storeReaders = 3;
    Millis storeInterval { 6000 }; //!< of each reader
    Millis storeTimeout { 6000 };
    //! With more VMs than this, each reads the store only now and then and gets most proofs from peers.
    int maxStoreReadingVms = 30;
    Millis peerInterval { 500 }; //!< between looks at the peers' revisions
    Millis askPeersAfter { 4000 }; //!< age of the own proof from which peers are asked for theirs
    Millis peerTimeout { 1000 };
    std::size_t pageBytes = 900'000; //!< of one pull; a frame holds 1 MiB
    store::WatcherOptions watcher;
};

struct FeedStatus {
    std::int64_t revision = 0; //!< highest known, for the heartbeat
    bool isFresh = false; //!< if not, the VM takes no new work
    std::optional<Millis> proofAge;
    bool reachesStore = false;
};

//! Keeps this process's copy of the catalogue: watches and reads the store, pulls from peers, answers their pulls, and
//! publishes each new version.
class CatalogueFeed {
public:
    using OnPublish = std::function<void(std::shared_ptr<const Catalogue>)>;

    //! `onPublish` runs on the feed's threads, one call at a time, and must not call the feed.
    CatalogueFeed(store::Client& store, CataloguePull pull, OnPublish onPublish, const FeedOptions& options = {});
    ~CatalogueFeed();
    CatalogueFeed(const CatalogueFeed&) = delete;
    CatalogueFeed& operator=(const CatalogueFeed&) = delete;

    void start();
    void stop();

    std::shared_ptr<const Catalogue> current() const { return published_.load(); }
    FeedStatus status() const;

    //! Whether this VM may take new work. Takes no lock: it is asked for every request.
    bool isFresh() const { return now() <= freshUntil_.load(std::memory_order_acquire); }

    //! All other VMs. To be called whenever the VM list, the membership or a peer's revision changes.
    void setPeers(std::vector<CataloguePeer> peers);

    //! The reply to a peer's MessageKind::CataloguePull.
    std::string answerPull(std::string_view request) const;

    //! Applies all changes up to now, read from the store; a proof of freshness if it succeeds.
    std::error_code refresh(Instant deadline);

    //! Applies a change that this VM has just accepted.
    void apply(const EntryUpdate& update);

    //! The entry as it is stored, as far as it is known here.
    std::optional<EntryUpdate> find(const EntryKey& key) const;
    std::map<std::string, Findings> unreadable() const;

private:
    void runStoreReader(int index);
    void runPeers();
    void askPeersForProof();
    bool pullFrom(const CataloguePeer& peer);
    void publishLocked();
    void noteProofLocked();
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
    bool changed_ = true; //!< the view differs from the published catalogue
    bool stopping_ = false;

    std::atomic<Instant> freshUntil_ { Instant() };
    Published<Catalogue> published_ { std::make_shared<const Catalogue>() };
    store::Watcher watcher_;
    std::vector<std::thread> threads_;
};

} // namespace agatevane
