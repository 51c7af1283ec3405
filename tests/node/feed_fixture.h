#pragma once

#include "fakes.h"
#include "modelled_link.h"
#include "node/desired_state_feed.h"
#include "simulated_time.h"
#include <string>

namespace agatevane::test {

//! A node's feed of the desired state on a simulated clock. The store and the other nodes answer over one slow link.
class FeedFixture {
public:
    static constexpr std::size_t maxValueBytes = 1024 * 1024; //!< largest value of the store
    static constexpr std::size_t slowLinkBytesPerSecond = 1'250'000; //!< 10 Mbit/s
    static constexpr Millis applyBound { 4000 }; //!< a change is in force by then, from its acknowledgement on

    explicit FeedFixture(std::size_t bytesPerSecond = slowLinkBytesPerSecond, Millis storeDelay = Millis(0))
        : link(context, bytesPerSecond)
        , store(context, model)
        , pullTimer_(context)
    {
        store.setLink(link);
        store.setDelay(storeDelay);
        put(1, 1000);
        feed.start();
        pull();
    }

    //! Writes a version whose encoded state has `bytes`.
    void put(std::int64_t version, std::size_t bytes)
    {
        auto value = std::to_string(version);
        value.resize(bytes, ' ');
        model.commit({ {}, { { translation.desiredStateKey, value, 0 } }, {} }, modelTimeMs());
    }

    std::int64_t versionInForce() const { return feed.current() ? feed.current()->version : 0; }
    bool awaitVersion(std::int64_t version, Millis limit = applyBound)
    {
        return time.runUntil(limit, [&] { return versionInForce() >= version; });
    }
    void wait(Millis span)
    {
        time.runUntil(span, [] { return false; });
    }

    asio::io_context context;
    SimulatedTime time { context };
    standin::KvModel model;
    ModelledLink link;
    FakeStore store;
    node::Translation translation = plainTranslation();
    bool hasPromptWatch = true;
    node::DesiredStateFeed feed { context, store, translation, [] {}, [this] { return hasPromptWatch; } };

private:
    //! Asks another node, which has each version at once, as a node does.
    void pull()
    {
        constexpr Millis pullInterval { 500 };
        constexpr Millis pullTimeout { 600 };
        pullTimer_.arm(pullInterval, [this] { pull(); });
        auto item = model.get(translation.desiredStateKey, modelTimeMs()).items.front();
        bool isNewer = item.revision > feed.revision();
        link.carry(isNewer ? item.value.size() : 1, { now() + pullTimeout, {} }, [this, item](std::error_code error) {
            if (!error)
                feed.applyFromPeer(item.revision, item.value);
        });
    }

    node::Timer pullTimer_;
};

} // namespace agatevane::test
