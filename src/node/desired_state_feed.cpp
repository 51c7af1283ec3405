#include "node/desired_state_feed.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/metrics/registry.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    //! Time in which the store has to begin to answer a read.
    constexpr Millis readTimeout { 1000 };
    constexpr Millis retryPause { 200 };
    //! A watch that no longer answers must be detected well before a change has to be in force.
    constexpr Millis shortWatchWait { 1000 };
    //! For nodes that also hear of changes from the owner. Longer watches save calls: each watch that ends is a paid
    //! call.
    constexpr Millis longWatchWait { 5000 };
    //! Time beyond the wait in which the store has to begin to answer a watch.
    constexpr Millis watchMargin { 600 };
    //! A watch brings each value that was written. Beyond one value of the present size and this, the newest value is
    //! read alone instead.
    constexpr std::size_t maxWatchedExtraBytes = 524288;
    //! An answer to a watch with more bytes has a change.
    constexpr std::size_t maxEmptyAnswerBytes = 1024;

    constexpr Millis arrivalCheckInterval { 100 };
    //! Time in which the store may bring a change before other nodes are asked.
    constexpr Millis storeHeadStart { 300 };
    constexpr Millis fetchRetryPause { 300 };

    std::size_t encodedBytes(std::size_t bytes)
    {
        return (bytes + 2) / 3 * 4;
    }

    void countBytes(const StateReception& reception)
    {
        metrics::registry()
            .counter("agatevane_desired_state_received_bytes_total",
                "Bytes received in answers to calls for the desired state",
                { { "source", std::string(nameOf(reception.source)) } })
            .add(reception.progress.receivedBytes);
    }

} // namespace

DesiredStateFeed::DesiredStateFeed(asio::io_context& context, kv::Store& store, const Translation& translation,
    std::function<void()> changed, std::function<bool()> needsPromptUpdates, StatePeers peers)
    : store_(store)
    , translation_(translation)
    , changed_(std::move(changed))
    , needsPromptUpdates_(std::move(needsPromptUpdates))
    , fetch_(context, std::move(peers),
          { [this](kv::Revision revision, const std::string& bytes) { applyFromPeer(revision, bytes); },
              [this](const StateReception& reception, std::string_view reason) { reportFailure(reception, reason); } })
    , timer_(context)
    , arrivalTimer_(context)
{
}

void DesiredStateFeed::start()
{
    read();
}

std::shared_ptr<StateReception> DesiredStateFeed::beginStoreCall(StateSource source)
{
    storeCall_ = std::make_shared<StateReception>(StateReception { source, now(), {}, {}, {}, {} });
    return storeCall_;
}

TransferLimits DesiredStateFeed::limitsOf(const std::shared_ptr<StateReception>& reception, Instant beginBy)
{
    return { beginBy, liveness_.guard([this, reception](const TransferProgress& progress) {
                noteProgress(*reception, progress, now());
                if (reception->source == StateSource::Watch && progress.receivedBytes > maxEmptyAnswerBytes)
                    noteBehind();
            }) };
}

void DesiredStateFeed::endStoreCall(const StateReception& reception)
{
    storeAnsweredAt_ = bootNow();
    countBytes(reception);
}

void DesiredStateFeed::reportFailure(const StateReception& reception, std::string_view reason) const
{
    countBytes(reception);
    metrics::registry()
        .counter("agatevane_desired_state_failures_total", "Calls for the desired state that ended without an answer",
            { { "source", std::string(nameOf(reception.source)) }, { "reason", std::string(reason) } })
        .add();
    Line("desired_state_not_received")
        .with("source", nameOf(reception.source))
        .with("peer", reception.peer)
        .with("reason", reason)
        .with("bytes", reception.progress.receivedBytes)
        .with("expected_bytes", reception.progress.expectedBytes)
        .with("took_ms", elapsed(reception.startedAt, now()).count())
        .with("revision", revision())
        .with("newest_revision", newestRevision());
}

void DesiredStateFeed::noteRevision(kv::Revision revision, const net::PeerAddress& holder)
{
    fetch_.noteHolder(holder, revision);
    if (revision <= newestRevision())
        return;
    newestRevision_ = revision;
    noteBehind();
    Line("desired_state_behind")
        .with("revision", this->revision())
        .with("newest_revision", revision)
        .with("told_by", net::toString(holder))
        .with("behind_ms", elapsed(*behindSince_, bootNow()).count());
}

//! A newer state than the one in force is known to exist.
void DesiredStateFeed::noteBehind()
{
    if (behindSince_)
        return;
    behindSince_ = bootNow();
    nextFetchAt_ = now() + storeHeadStart;
    superviseArrival();
}

//! Forgets that a newer state exists, unless another node has told of one.
void DesiredStateFeed::noteCurrent()
{
    if (newestRevision_ <= revision())
        behindSince_.reset();
}

//! While this node is behind, asks other nodes unless the store brings the state.
void DesiredStateFeed::superviseArrival()
{
    if (!behindSince_)
        return;
    arrivalTimer_.arm(arrivalCheckInterval, [this] { superviseArrival(); });
    bool isStoreBringing = storeCall_ && isArriving(*storeCall_, now());
    bool isNewestUnreadable = rejectedRevision_ > 0 && newestRevision() <= rejectedRevision_;
    if (fetch_.isRunning() || isStoreBringing || isNewestUnreadable || now() < nextFetchAt_)
        return;
    nextFetchAt_ = now() + fetchRetryPause;
    fetch_.start(revision());
}

void DesiredStateFeed::read()
{
    auto reception = beginStoreCall(StateSource::Read);
    // Unlike a get, a listing with the key as prefix returns a revision to watch from even if the key does not exist.
    store_.list(translation_.desiredStateKey, limitsOf(reception, now() + readTimeout),
        liveness_.guard([this, reception](const kv::ReadResult& result) {
            if (result.error) {
                reportFailure(*reception, result.error.message());
                timer_.arm(retryPause, [this] { read(); });
                return;
            }
            endStoreCall(*reception);
            watchedRevision_ = std::max(watchedRevision_, result.asOf);
            applyNewest(result.items);
            watch();
        }));
}

void DesiredStateFeed::watch()
{
    auto reception = beginStoreCall(StateSource::Watch);
    auto wait = needsPromptUpdates_() ? shortWatchWait : longWatchWait;
    auto limits = limitsOf(reception, now() + wait + watchMargin);
    limits.maxBytes = maxWatchedExtraBytes + encodedBytes(bytes().size());
    store_.watch(translation_.desiredStateKey, watchedRevision_, wait, limits,
        liveness_.guard([this, reception](const kv::WatchResult& result) {
            if (result.error) {
                reportFailure(
                    *reception, result.isHistoryCompacted ? std::string("history dropped") : result.error.message());
                bool isReadDue = result.isHistoryCompacted || result.error == Errc::TooLarge;
                timer_.arm(isReadDue ? Millis(0) : retryPause, [this] { read(); });
                return;
            }
            endStoreCall(*reception);
            watchedRevision_ = std::max(watchedRevision_, result.asOf);
            std::vector<kv::Item> items;
            for (const auto& change : result.changes) {
                if (!change.isRemoval)
                    items.push_back(change.item);
            }
            applyNewest(std::move(items));
            watch();
        }));
}

void DesiredStateFeed::applyFromPeer(kv::Revision revision, const std::string& bytes)
{
    if (!apply({ translation_.desiredStateKey, bytes, revision, 0 }, "peer") && revision > this->revision())
        rejectedRevision_ = std::max(rejectedRevision_, revision);
}

//! Applies the newest item that is a valid desired state.
void DesiredStateFeed::applyNewest(std::vector<kv::Item> items)
{
    std::erase_if(items, [this](const kv::Item& item) { return item.key != translation_.desiredStateKey; });
    std::sort(
        items.begin(), items.end(), [](const auto& one, const auto& other) { return one.revision > other.revision; });
    for (const auto& item : items) {
        if (apply(item, "store"))
            break;
    }
    noteCurrent();
}

//! False if the item is not newer than the state in force, or is no valid desired state.
bool DesiredStateFeed::apply(const kv::Item& item, std::string_view source)
{
    if (item.revision <= revision())
        return false;
    Findings findings;
    auto state = translation_.decodeDesiredState(item, findings);
    for (const auto& finding : findings)
        Line("entry_ignored").with("place", finding.place).with("text", finding.text);
    if (!state)
        return false;
    parts_.setCurrent(item.revision, item.value, now());
    auto behind = behindSince_ ? elapsed(*behindSince_, bootNow()) : Millis(0);
    noteCurrent();
    fetch_.cancelIfOutdated(revision());
    Line("desired_state_applied")
        .with("version", state->version)
        .with("revision", item.revision)
        .with("source", source)
        .with("bytes", item.value.size())
        .with("behind_ms", behind.count())
        .with("queues", state->queues.size())
        .with("tenants", state->tenants.size());
    current_ = std::move(state);
    changed_();
    return true;
}

} // namespace agatevane::node
