#pragma once

#include "agatevane/kv/kv.h"
#include "node/ports.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>
#include <optional>

namespace agatevane::node {

//! Keeps the newest desired state that the store or another node has shown. It never goes back to an older one.
class DesiredFeed {
public:
    //! `mustWatchClosely` tells that no other node would bring a change that this node's watch has missed.
    DesiredFeed(asio::io_context& context, kv::Store& store, const Translation& translation,
        std::function<void()> changed, std::function<bool()> mustWatchClosely);

    void start();
    //! Takes an item that another node has read.
    void learn(kv::Revision revision, const std::string& bytes);

    const std::optional<desired_state::DesiredState>& current() const { return current_; }
    kv::Revision revision() const { return item_.revision; }
    const std::string& bytes() const { return item_.value; }

private:
    void read();
    void watch();
    void apply(const kv::Item& item, std::string_view source);

    kv::Store& store_;
    const Translation& translation_;
    std::function<void()> changed_;
    std::function<bool()> mustWatchClosely_;
    kv::Item item_;
    kv::Revision watchedTo_ = 0;
    std::optional<desired_state::DesiredState> current_;
    Timer timer_;
    Liveness liveness_;
};

} // namespace agatevane::node
