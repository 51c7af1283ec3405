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
        ended_ = true;
    });
}

void Watcher::stop()
{
    if (!thread_.joinable())
        return;
    stopping_ = true;
    // A stream that is still connecting cannot be aborted, so the abort is repeated until the thread has seen it.
    while (!ended_) {
        client_.abortWatches();
        std::this_thread::sleep_for(Millis(10));
    }
    thread_.join();
}

void Watcher::run()
{
    auto random = makeRandom();
    auto backoff = options_.minBackoff;
    while (!stopping_) {
        progressed_ = false;
        if (delivered_ == 0 && !readAll())
            progressed_ = false;
        else
            follow();
        if (progressed_)
            backoff = options_.minBackoff;
        // Spread over half the interval, so that all VMs do not return to a recovered store at the same moment.
        auto end = now() + backoff / 2 + Millis(uniform(random, 0, backoff.count() / 2));
        while (!stopping_ && now() < end)
            std::this_thread::sleep_for(Millis(10));
        backoff = std::min(backoff * 2, options_.maxBackoff);
    }
}

bool Watcher::readAll()
{
    auto all = client_.readPrefix(prefix_, now() + options_.readTimeout);
    if (!all.ok())
        return false;
    delivered_ = all.revision;
    handlers_.onSnapshot(all.value.kvs, all.revision);
    return true;
}

bool Watcher::follow()
{
    WatchRequest request { .key = prefix_, .rangeEnd = prefixEnd(prefix_), .startRevision = delivered_ + 1 };
    auto error = client_.watch(request, options_.idleTimeout, [this](const WatchResponse& response) {
        onResponse(response);
        return !response.canceled && !stopping_;
    });
    return !error;
}

void Watcher::onResponse(const WatchResponse& response)
{
    if (response.canceled) {
        if (response.compactRevision > 0)
            delivered_ = 0;
        return;
    }
    progressed_ = true;
    if (!response.events.empty()) {
        // The header's revision may be ahead of the events while the store is still catching up with this watch.
        auto revision = response.events.back().kv.modRevision;
        if (revision <= delivered_)
            return;
        delivered_ = revision;
        handlers_.onEvents(response.events, revision);
    } else if (!response.created && response.revision > delivered_) {
        delivered_ = response.revision;
        handlers_.onProgress(response.revision);
    }
}

} // namespace agatevane::store
