#pragma once

#include "agatevane/fleet/state.h"
#include "node/ports.h"
#include "node/prefix_follower.h"
#include <asio/io_context.hpp>
#include <functional>

namespace agatevane::node {

//! Tells the fleet which data centres operators have evacuated, and for how long that knowledge may be relied on.
class EvacuationFeed {
public:
    //! `fleet.limits.evacuationBound` is set before start(). `changed` is called after each change.
    EvacuationFeed(asio::io_context& context, kv::Store& store, const Translation& translation, fleet::Fleet& fleet,
        std::function<void()> changed);

    //! Takes over what a new owner has read, and follows what comes after it. `askedAt`: when the reading began.
    void start(const kv::ReadResult& listed, Instant askedAt);
    void stop();
    //! The store answers again after a time in which the ownership was not confirmed: asks at once, since a watch that
    //! was sent before may still wait for its answer.
    void refresh() { follower_.listAgain(); }
    //! Renews the time until which the requests are known. Called before each round of decisions.
    void update(Instant at);
    const PrefixFollower& follower() const { return follower_; }

private:
    void applyListed(const kv::ReadResult& listed);
    void applyChange(const kv::Change& change);
    std::optional<std::string> decode(const kv::Item& item) const;

    const Translation& translation_;
    fleet::Fleet& fleet_;
    std::function<void()> changed_;
    bool areStartsHeld_ = false;
    PrefixFollower follower_;
};

} // namespace agatevane::node
