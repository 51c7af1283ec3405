#pragma once

#include "agatevane/kv/kv.h"
#include "node/ports.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>
#include <optional>

namespace agatevane::node {

//! Keeps the newest desired state that was received from the store or from another node. Older ones are ignored.
class DesiredStateFeed {
public:
    //! `needsPromptUpdates` returns true if this node receives changes from no other node, so that its own watch must
    //! not miss one for long.
    DesiredStateFeed(asio::io_context& context, kv::Store& store, const Translation& translation,
        std::function<void()> changed, std::function<bool()> needsPromptUpdates);

    void start();
    //! Applies the encoded desired state that another node has read at `revision`.
    void applyFromPeer(kv::Revision revision, const std::string& bytes);

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
    std::function<bool()> needsPromptUpdates_;
    kv::Item item_;
    kv::Revision watchedRevision_ = 0;
    std::optional<desired_state::DesiredState> current_;
    Timer timer_;
    Liveness liveness_;
};

} // namespace agatevane::node
