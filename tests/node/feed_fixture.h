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
    node::DesiredStateFeed feed { context, store, translation, [] {}, [this] { return hasPromptWatch; },
        { [this] { return std::vector<net::PeerAddress>(2, other_); },
            [this](const net::PeerAddress&, const node::StatePartRequest& request, Instant deadline, auto done) {
                answerPart(request, deadline, std::move(done));
            } } };

private:
    //! Asks another node for its revision, as a node does.
    void pull()
    {
        constexpr Millis pullInterval { 500 };
        constexpr Millis pullTimeout { 600 };
        constexpr std::size_t replyBytes = 700;
        pullTimer_.arm(pullInterval, [this] { pull(); });
        auto revision = otherItem().revision;
        link.carry(replyBytes, { now() + pullTimeout, {} }, [this, revision](std::error_code error) {
            if (!error)
                feed.noteRevision(revision, other_);
        });
    }

    //! The other nodes have each version at once.
    kv::Item otherItem() { return model.get(translation.desiredStateKey, modelTimeMs()).items.front(); }

    void answerPart(const node::StatePartRequest& request, Instant deadline,
        const std::function<void(std::error_code, const node::StatePart&, std::size_t)>& done)
    {
        if (auto item = otherItem(); item.revision != otherParts_.revision())
            otherParts_.setCurrent(item.revision, item.value, now());
        auto part = otherParts_.part(request, now());
        link.carry(part.bytes.size(), { deadline, {} },
            [part, done](std::error_code error) { done(error, part, part.bytes.size()); });
    }

    const net::PeerAddress other_ { "127.0.0.1", 1 };
    node::StateParts otherParts_;
    node::Timer pullTimer_;
};

} // namespace agatevane::test
