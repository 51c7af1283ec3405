#include "node/desired_state_feed.h"

#include "agatevane/event_log/event_log.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis readTimeout { 1000 };
    constexpr Millis retryPause { 200 };
    //! A watch that has gone silent must show well before a change has to be in force, 2.5 s after its acknowledgement.
    constexpr Millis closeWatchWait { 1000 };
    //! For nodes that are told of changes by the owner as well; each watch that ends is a paid call.
    constexpr Millis relaxedWatchWait { 5000 };
    constexpr Millis watchMargin { 600 };

} // namespace

DesiredFeed::DesiredFeed(asio::io_context& context, kv::Store& store, const Translation& translation,
    std::function<void()> changed, std::function<bool()> mustWatchClosely)
    : store_(store)
    , translation_(translation)
    , changed_(std::move(changed))
    , mustWatchClosely_(std::move(mustWatchClosely))
    , timer_(context)
{
}

void DesiredFeed::start()
{
    read();
}

void DesiredFeed::read()
{
    // A listing of the key's own name also says up to which revision it is missing.
    store_.list(
        translation_.desiredStateKey, now() + readTimeout, liveness_.guard([this](const kv::ReadResult& result) {
            if (result.error) {
                timer_.arm(retryPause, [this] { read(); });
                return;
            }
            watchedTo_ = std::max(watchedTo_, result.asOf);
            for (const auto& item : result.items) {
                if (item.key == translation_.desiredStateKey)
                    apply(item, "store");
            }
            watch();
        }));
}

void DesiredFeed::watch()
{
    auto wait = mustWatchClosely_() ? closeWatchWait : relaxedWatchWait;
    store_.watch(translation_.desiredStateKey, watchedTo_, wait, now() + wait + watchMargin,
        liveness_.guard([this](const kv::WatchResult& result) {
            if (result.error) {
                timer_.arm(result.isHistoryCompacted ? Millis(0) : retryPause, [this] { read(); });
                return;
            }
            watchedTo_ = std::max(watchedTo_, result.asOf);
            for (const auto& change : result.changes) {
                if (!change.isRemoval && change.item.key == translation_.desiredStateKey)
                    apply(change.item, "store");
            }
            watch();
        }));
}

void DesiredFeed::learn(kv::Revision revision, const std::string& bytes)
{
    apply({ translation_.desiredStateKey, bytes, revision, 0 }, "peer");
}

void DesiredFeed::apply(const kv::Item& item, std::string_view source)
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
