#include "agatevane/store/watcher.h"

#include "agatevane/base/random.h"

namespace agatevane::store {

Watcher::Watcher(Client& client, std::string prefix, WatchHandlers handlers, const WatcherOptions& options)
    : client_(client)
    , prefix_(std::move(prefix))
    , handlers_(std::move(handlers))
    , options_(options)
{
}

Watcher::~Watcher()
{
    stop();
}

void Watcher::start()
{
    thread_ = std::thread([this] {
        run();
        hasThreadEnded_ = true;
    });
}

void Watcher::stop()
{
    if (!thread_.joinable())
        return;
    isStopping_ = true;
    // A stream that is still connecting cannot be aborted, so the call is repeated until the thread has ended.
    while (!hasThreadEnded_) {
        client_.abortWatches();
        std::this_thread::sleep_for(Millis(10));
    }
    thread_.join();
}

void Watcher::run()
{
    auto random = makeRandom();
    auto backoff = options_.minBackoff;
    while (!isStopping_) {
        didReceiveMessage_ = false;
        if (deliveredRevision_ == 0 && !readSnapshot())
            didReceiveMessage_ = false;
        else
            watchChanges();
        if (didReceiveMessage_)
            backoff = options_.minBackoff;
        // Spread over half the interval, so that the VMs do not all reconnect to a recovered store at the same moment.
        auto end = now() + backoff / 2 + Millis(uniform(random, 0, backoff.count() / 2));
        while (!isStopping_ && now() < end)
            std::this_thread::sleep_for(Millis(10));
        backoff = std::min(backoff * 2, options_.maxBackoff);
    }
}

bool Watcher::readSnapshot()
{
    auto all = client_.readPrefix(prefix_, now() + options_.readTimeout);
    if (!all.ok())
        return false;
    deliveredRevision_ = all.revision;
    handlers_.onSnapshot(all.value.kvs, all.revision);
    return true;
}

bool Watcher::watchChanges()
{
    WatchRequest request { .key = prefix_, .rangeEnd = prefixEnd(prefix_), .startRevision = deliveredRevision_ + 1 };
    auto error = client_.watch(request, options_.idleTimeout, [this](const WatchResponse& response) {
        onResponse(response);
        return !response.canceled && !isStopping_;
    });
    return !error;
}

void Watcher::onResponse(const WatchResponse& response)
{
    if (response.canceled) {
        if (response.compactRevision > 0)
            deliveredRevision_ = 0;
        return;
    }
    didReceiveMessage_ = true;
    if (!response.events.empty()) {
        // The header's revision may be ahead of the events while the store still delivers earlier changes to this
        // watch.
        auto revision = response.events.back().kv.modRevision;
        if (revision <= deliveredRevision_)
            return;
        deliveredRevision_ = revision;
        handlers_.onEvents(response.events, revision);
    } else if (!response.created && response.revision > deliveredRevision_) {
        deliveredRevision_ = response.revision;
        handlers_.onProgress(response.revision);
    }
}

} // namespace agatevane::store
