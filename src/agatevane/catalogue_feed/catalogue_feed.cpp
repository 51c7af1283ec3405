#include "agatevane/catalogue_feed/catalogue_feed.h"

#include "agatevane/base/error.h"
#include <algorithm>

namespace agatevane {

namespace {

    // The store counts as reachable for this long after its last answer. The time covers two missed reads of a store
    // that answers at once.
    constexpr Millis storeContactTimeout { 5000 };
    constexpr int peersPulledFirst = 2; //!< peers that are pulled one by one before all others in parallel
    constexpr int maxParallelPulls = 16;

    std::vector<EntryUpdate> toUpdates(const std::vector<store::KeyValue>& kvs)
    {
        std::vector<EntryUpdate> updates;
        updates.reserve(kvs.size());
        for (const auto& kv : kvs)
            updates.push_back({ kv.key, kv.modRevision, false, kv.value });
        return updates;
    }

} // namespace

CatalogueFeed::CatalogueFeed(store::Client& store, CataloguePull pull, OnPublish onPublish, const FeedOptions& options)
    : store_(store)
    , pull_(std::move(pull))
    , onPublish_(std::move(onPublish))
    , options_(options)
    , random_(makeRandom())
    , watcher_(store, std::string(cataloguePrefix), watchHandlers(), options.watcher)
{
}

CatalogueFeed::~CatalogueFeed()
{
    stop();
}

void CatalogueFeed::start()
{
    watcher_.start();
    for (int i = 0; i < options_.storeReaders; ++i)
        threads_.emplace_back([this, i] { runStoreReader(i); });
    threads_.emplace_back([this] { runPeerExchange(); });
}

void CatalogueFeed::stop()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    watcher_.stop();
    for (auto& thread : threads_)
        thread.join();
    threads_.clear();
}

store::WatchHandlers CatalogueFeed::watchHandlers()
{
    return { [this](const std::vector<store::KeyValue>& kvs, store::Revision revision) {
                std::lock_guard lock(mutex_);
                view_.applyAll(toUpdates(kvs), revision);
                hasUnpublishedChange_ = true;
                publishLocked();
            },
        [this](const std::vector<store::Event>& events, store::Revision revision) {
            std::lock_guard lock(mutex_);
            for (const auto& event : events) {
                bool isDeleted = event.type == store::EventType::Delete;
                hasUnpublishedChange_ |= view_.apply({ event.kv.key, event.kv.modRevision, isDeleted, event.kv.value });
            }
            view_.advance(revision);
            publishLocked();
        },
        [this](store::Revision revision) {
            std::lock_guard lock(mutex_);
            view_.advance(revision);
        } };
}

void CatalogueFeed::publishLocked()
{
    if (!hasUnpublishedChange_)
        return;
    hasUnpublishedChange_ = false;
    auto catalogue = std::make_shared<const Catalogue>(view_.catalogue());
    published_.store(catalogue);
    if (onPublish_)
        onPublish_(std::move(catalogue));
}

void CatalogueFeed::updateFreshUntilLocked()
{
    if (freshness_.provenAt)
        freshUntil_.store(*freshness_.provenAt + freshnessLimit, std::memory_order_release);
}

std::error_code CatalogueFeed::refresh(Instant deadline)
{
    std::int64_t since = 0;
    {
        std::lock_guard lock(mutex_);
        since = view_.revision();
    }
    std::string prefix(cataloguePrefix);
    if (since > 0) {
        auto sentAt = now();
        auto read = store_.range(
            { .key = prefix, .rangeEnd = store::prefixEnd(prefix), .minModRevision = since + 1 }, deadline);
        if (!read.ok())
            return read.error;
        std::lock_guard lock(mutex_);
        storeAnsweredAt_ = now();
        auto highest = view_.highestRevision();
        bool isComplete = view_.applyChanged(toUpdates(read.value.kvs), read.value.count, read.revision);
        hasUnpublishedChange_ |= !read.value.kvs.empty() && view_.highestRevision() > highest;
        publishLocked();
        if (isComplete) {
            proveByStore(freshness_, sentAt);
            updateFreshUntilLocked();
            return {};
        }
    }
    auto sentAt = now();
    auto all = store_.readPrefix(prefix, deadline);
    if (!all.ok())
        return all.error;
    std::lock_guard lock(mutex_);
    storeAnsweredAt_ = now();
    view_.applyAll(toUpdates(all.value.kvs), all.revision);
    hasUnpublishedChange_ = true;
    publishLocked();
    proveByStore(freshness_, sentAt);
    updateFreshUntilLocked();
    return {};
}

bool CatalogueFeed::waitUnlessStopping(Millis duration)
{
    std::unique_lock lock(mutex_);
    return !wake_.wait_for(lock, duration, [this] { return isStopping_; });
}

void CatalogueFeed::runStoreReader(int index)
{
    // The readers start at equal distances in time, so that their reads are spread over `storeInterval`.
    bool isRunning = index == 0 || waitUnlessStopping(options_.storeInterval * index / options_.storeReaders);
    while (isRunning) {
        auto start = now();
        bool isMyTurn = true;
        {
            std::lock_guard lock(mutex_);
            auto vms = static_cast<std::int64_t>(peers_.size()) + 1;
            isMyTurn = vms <= options_.maxStoreReadingVms || uniform(random_, 1, vms) <= options_.maxStoreReadingVms
                || view_.revision() == 0;
        }
        if (isMyTurn)
            refresh(start + options_.storeTimeout);
        isRunning = waitUnlessStopping(std::max(Millis(100), options_.storeInterval - elapsed(start, now())));
    }
}

void CatalogueFeed::runPeerExchange()
{
    Instant requestedAt {};
    while (waitUnlessStopping(options_.peerInterval)) {
        std::optional<CataloguePeer> newest;
        std::optional<Millis> age;
        {
            std::lock_guard lock(mutex_);
            auto best = std::max_element(peers_.begin(), peers_.end(),
                [](const CataloguePeer& a, const CataloguePeer& b) { return a.revision < b.revision; });
            if (best != peers_.end() && best->revision > view_.highestRevision())
                newest = *best;
            age = proofAge(freshness_, now());
        }
        if (newest)
            pullFrom(*newest);
        bool needsProof = !age || *age > options_.requestPeerProofAfter;
        if (needsProof && now() - requestedAt >= 2 * options_.peerTimeout) {
            requestedAt = now();
            requestPeerProofs();
        }
    }
}

void CatalogueFeed::requestPeerProofs()
{
    std::vector<CataloguePeer> peers;
    {
        std::lock_guard lock(mutex_);
        peers = peers_;
        std::shuffle(peers.begin(), peers.end(), random_);
    }
    auto hasRecentProof = [this] {
        std::lock_guard lock(mutex_);
        auto age = proofAge(freshness_, now());
        return age && *age <= options_.requestPeerProofAfter;
    };
    auto pulledFirst = std::min<std::size_t>(peersPulledFirst, peers.size());
    for (std::size_t i = 0; i < pulledFirst; ++i) {
        if (pullFrom(peers[i]) && hasRecentProof())
            return;
    }
    std::atomic<std::size_t> next { pulledFirst };
    std::vector<std::thread> pulls;
    for (int i = 0; i < maxParallelPulls && i + pulledFirst < peers.size(); ++i) {
        pulls.emplace_back([&] {
            for (auto position = next++; position < peers.size(); position = next++)
                pullFrom(peers[position]);
        });
    }
    for (auto& pull : pulls)
        pull.join();
    std::lock_guard lock(mutex_);
    proveWithoutStore(freshness_, view_.highestRevision());
    updateFreshUntilLocked();
}

bool CatalogueFeed::pullFrom(const CataloguePeer& peer)
{
    CataloguePullRequest request;
    {
        std::lock_guard lock(mutex_);
        request.since = view_.revision();
    }
    PeerStatement statement { .requestedAt = now() };
    std::vector<EntryUpdate> entries;
    CataloguePullReply reply;
    bool isFull = false;
    bool isFirst = true;
    do {
        reply = {};
        if (pull_(peer, request, now() + options_.peerTimeout, reply))
            return false;
        if (isFirst)
            isFull = reply.isFull;
        isFirst = false;
        // A peer that has done a full read between two pages may have missed deletions.
        if (reply.isFull != isFull || (reply.hasMore && reply.entries.empty()))
            return false;
        if (reply.hasMore)
            request.after = reply.entries.back().revision;
        std::move(reply.entries.begin(), reply.entries.end(), std::back_inserter(entries));
    } while (reply.hasMore);

    std::lock_guard lock(mutex_);
    for (const auto& entry : entries)
        hasUnpublishedChange_ |= view_.apply(entry);
    if (reply.revision > view_.revision()) {
        if (isFull) {
            // A later page may contain the deletion of an entry of an earlier page.
            std::map<std::string, EntryUpdate> latest;
            for (auto& entry : entries)
                latest[entry.key] = std::move(entry);
            std::vector<EntryUpdate> live;
            for (auto& [key, entry] : latest) {
                if (!entry.isDeleted)
                    live.push_back(std::move(entry));
            }
            view_.applyAll(live, reply.revision);
            hasUnpublishedChange_ = true;
        } else {
            view_.advance(reply.revision);
        }
    }
    publishLocked();
    statement.revision = reply.highestRevision;
    statement.reachesStore = reply.reachesStore;
    if (reply.proofAgeMs >= 0)
        statement.proofAge = Millis(reply.proofAgeMs);
    recordStatement(freshness_, peer.member, statement);
    updateFreshUntilLocked();
    return true;
}

std::string CatalogueFeed::answerPull(std::string_view request) const
{
    CataloguePullRequest pull;
    CataloguePullReply reply;
    if (!net::decode(request, pull))
        return net::encode(reply);
    std::lock_guard lock(mutex_);
    reply.revision = view_.revision();
    reply.highestRevision = view_.highestRevision();
    reply.isFull = pull.since < view_.tombstonesSince();
    // The receiver takes all entries that a full answer lacks as deleted. So a full answer includes the entries from
    // before `since`.
    auto from = reply.isFull ? pull.after : std::max(pull.since, pull.after);
    reply.entries = view_.changesSince(from, options_.pageBytes, reply.hasMore);
    if (auto age = proofAge(freshness_, now()))
        reply.proofAgeMs = age->count();
    reply.reachesStore = storeAnsweredAt_ && now() - *storeAnsweredAt_ <= storeContactTimeout;
    return net::encode(reply);
}

void CatalogueFeed::apply(const EntryUpdate& update)
{
    std::lock_guard lock(mutex_);
    hasUnpublishedChange_ |= view_.apply(update);
    publishLocked();
}

void CatalogueFeed::setPeers(std::vector<CataloguePeer> peers)
{
    std::lock_guard lock(mutex_);
    peers_ = std::move(peers);
    std::vector<MemberId> members;
    for (const auto& peer : peers_)
        members.push_back(peer.member);
    setListedVms(freshness_, members);
}

FeedStatus CatalogueFeed::status() const
{
    std::lock_guard lock(mutex_);
    auto at = now();
    return { view_.highestRevision(), agatevane::isFresh(freshness_, at), proofAge(freshness_, at),
        storeAnsweredAt_ && at - *storeAnsweredAt_ <= storeContactTimeout };
}

std::optional<EntryUpdate> CatalogueFeed::find(const EntryKey& key) const
{
    std::lock_guard lock(mutex_);
    const auto* found = view_.find(key);
    return found ? std::optional(*found) : std::nullopt;
}

std::map<std::string, Findings> CatalogueFeed::unreadable() const
{
    std::lock_guard lock(mutex_);
    return view_.unreadable();
}

} // namespace agatevane
