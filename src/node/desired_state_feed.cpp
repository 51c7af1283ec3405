#include "node/desired_state_feed.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/metrics/registry.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis readTimeout { 1000 };
    constexpr Millis retryPause { 200 };
    //! A change has to be in force 2.5 s after it was acknowledged, so a watch that no longer answers must be detected
    //! well before that.
    constexpr Millis shortWatchWait { 1000 };
    //! For nodes that also receive changes from the owner. Longer watches save calls: each watch that ends is a paid
    //! call.
    constexpr Millis longWatchWait { 5000 };
    //! Time beyond the wait in which the store has to answer a watch.
    constexpr Millis watchMargin { 600 };

    std::shared_ptr<StateReception> begin(StateSource source)
    {
        return std::make_shared<StateReception>(StateReception { source, now(), {}, {} });
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
    std::function<void()> changed, std::function<bool()> needsPromptUpdates)
    : store_(store)
    , translation_(translation)
    , changed_(std::move(changed))
    , needsPromptUpdates_(std::move(needsPromptUpdates))
    , timer_(context)
{
}

void DesiredStateFeed::start()
{
    read();
}

TransferLimits DesiredStateFeed::limitsOf(const std::shared_ptr<StateReception>& reception, Instant deadline) const
{
    return { deadline, [reception](const TransferProgress& progress) { reception->progress = progress; } };
}

void DesiredStateFeed::noteStoreAnswer(const StateReception& reception)
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
        .with("revision", item_.revision)
        .with("newest_revision", newestRevision());
}

void DesiredStateFeed::noteRevision(kv::Revision revision, std::string_view toldBy)
{
    if (revision <= newestRevision())
        return;
    newestRevision_ = revision;
    if (!behindSince_)
        behindSince_ = bootNow();
    Line("desired_state_behind")
        .with("revision", item_.revision)
        .with("newest_revision", revision)
        .with("told_by", toldBy)
        .with("behind_ms", elapsed(*behindSince_, bootNow()).count());
}

void DesiredStateFeed::read()
{
    auto reception = begin(StateSource::Read);
    // Unlike a get, a listing with the key as prefix returns a revision to watch from even if the key does not exist.
    store_.list(translation_.desiredStateKey, limitsOf(reception, now() + readTimeout),
        liveness_.guard([this, reception](const kv::ReadResult& result) {
            if (result.error) {
                reportFailure(*reception, result.error.message());
                timer_.arm(retryPause, [this] { read(); });
                return;
            }
            noteStoreAnswer(*reception);
            watchedRevision_ = std::max(watchedRevision_, result.asOf);
            for (const auto& item : result.items) {
                if (item.key == translation_.desiredStateKey)
                    apply(item, "store");
            }
            watch();
        }));
}

void DesiredStateFeed::watch()
{
    auto reception = begin(StateSource::Watch);
    auto wait = needsPromptUpdates_() ? shortWatchWait : longWatchWait;
    store_.watch(translation_.desiredStateKey, watchedRevision_, wait, limitsOf(reception, now() + wait + watchMargin),
        liveness_.guard([this, reception](const kv::WatchResult& result) {
            if (result.error) {
                reportFailure(
                    *reception, result.isHistoryCompacted ? std::string("history dropped") : result.error.message());
                timer_.arm(result.isHistoryCompacted ? Millis(0) : retryPause, [this] { read(); });
                return;
            }
            noteStoreAnswer(*reception);
            watchedRevision_ = std::max(watchedRevision_, result.asOf);
            for (const auto& change : result.changes) {
                if (!change.isRemoval && change.item.key == translation_.desiredStateKey)
                    apply(change.item, "store");
            }
            watch();
        }));
}

void DesiredStateFeed::applyFromPeer(kv::Revision revision, const std::string& bytes)
{
    apply({ translation_.desiredStateKey, bytes, revision, 0 }, "peer");
}

void DesiredStateFeed::apply(const kv::Item& item, std::string_view source)
{
    if (item.revision <= item_.revision)
        return;
    Findings findings;
    auto state = translation_.decodeDesiredState(item, findings);
    for (const auto& finding : findings)
        Line("entry_ignored").with("place", finding.place).with("text", finding.text);
    if (!state)
        return;
    item_ = item;
    auto behind = behindSince_ ? elapsed(*behindSince_, bootNow()) : Millis(0);
    if (item_.revision >= newestRevision_)
        behindSince_.reset();
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
}

} // namespace agatevane::node
