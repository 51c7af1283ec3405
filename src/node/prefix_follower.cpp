#include "node/prefix_follower.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis retryDelay { 100 };
    //! Time beyond the wait in which the store has to answer a watch.
    constexpr Millis watchMargin { 800 };
    //! Time for one failed call and its repetition, before the store counts as silent.
    constexpr Millis silenceMargin { 3000 };

    //! True if the same watch would fail again, so that the keys have to be listed.
    bool isListingNeeded(const kv::WatchResult& result)
    {
        return result.isHistoryCompacted || result.error == Errc::TooLarge || result.error == Errc::Malformed;
    }

} // namespace

PrefixFollower::PrefixFollower(
    asio::io_context& context, kv::Store& store, std::string prefix, const WatchTimes& times, Callbacks callbacks)
    : store_(store)
    , prefix_(std::move(prefix))
    , times_(times)
    , callbacks_(std::move(callbacks))
    , listing_(context, store, prefix_)
    , watchTimer_(context)
{
}

void PrefixFollower::start()
{
    answeredAt_ = bootNow();
    list();
}

void PrefixFollower::startAfter(kv::Revision revision, Instant askedAt)
{
    answeredAt_ = bootNow();
    knownAsOf_ = askedAt;
    revision_ = revision;
    watch();
}

void PrefixFollower::listAgain()
{
    stop();
    list();
}

void PrefixFollower::stop()
{
    listing_.stop();
    watchTimer_.cancel();
    liveness_ = {};
}

void PrefixFollower::list()
{
    askedAt_ = bootNow();
    listing_.start([this](kv::ReadResult result) {
        noteAnswer();
        revision_ = std::max(revision_, result.asOf);
        callbacks_.listed(std::move(result));
        watchTimer_.arm(times_.pause, [this] { watch(); });
    });
}

void PrefixFollower::watch()
{
    askedAt_ = bootNow();
    auto deadline = now() + times_.wait + watchMargin;
    store_.watch(prefix_, revision_, times_.wait, { deadline, {} },
        liveness_.guard([this](const kv::WatchResult& result) { handleWatch(result); }));
}

void PrefixFollower::handleWatch(const kv::WatchResult& result)
{
    if (isListingNeeded(result))
        return list();
    if (result.error)
        return watchTimer_.arm(retryDelay, [this] { watch(); });
    noteAnswer();
    revision_ = std::max(revision_, result.asOf);
    if (!result.changes.empty())
        callbacks_.changed(result.changes);
    watchTimer_.arm(times_.pause, [this] { watch(); });
}

void PrefixFollower::noteAnswer()
{
    auto at = bootNow();
    if (std::exchange(isSilenceReported_, false))
        Line("store_heard_again").with("prefix", prefix_).with("silent_ms", answerAge(at).count());
    answeredAt_ = at;
    knownAsOf_ = askedAt_;
}

void PrefixFollower::reportSilence(Instant at)
{
    if (isSilenceReported_ || answerAge(at) <= times_.wait + watchMargin + times_.pause + silenceMargin)
        return;
    isSilenceReported_ = true;
    Line("store_silent").with("prefix", prefix_).with("silent_ms", answerAge(at).count()).with("revision", revision_);
}

Millis PrefixFollower::answerAge(Instant at) const
{
    return answeredAt_ == Instant {} ? Millis(0) : elapsed(answeredAt_, at);
}

} // namespace agatevane::node
