#include "node/desired_state_feed.h"

#include "agatevane/event_log/event_log.h"

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

void DesiredStateFeed::read()
{
    // Unlike a get, a listing with the key as prefix returns a revision to watch from even if the key does not exist.
    store_.list(
        translation_.desiredStateKey, now() + readTimeout, liveness_.guard([this](const kv::ReadResult& result) {
            if (result.error) {
                timer_.arm(retryPause, [this] { read(); });
                return;
            }
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
    auto wait = needsPromptUpdates_() ? shortWatchWait : longWatchWait;
    store_.watch(translation_.desiredStateKey, watchedRevision_, wait, now() + wait + watchMargin,
        liveness_.guard([this](const kv::WatchResult& result) {
            if (result.error) {
                timer_.arm(result.isHistoryCompacted ? Millis(0) : retryPause, [this] { read(); });
                return;
            }
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
    Line("desired_state_applied")
        .with("version", state->version)
        .with("revision", item.revision)
        .with("source", source)
        .with("queues", state->queues.size())
        .with("tenants", state->tenants.size());
    current_ = std::move(state);
    changed_();
}

} // namespace agatevane::node
