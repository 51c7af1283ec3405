#pragma once

#include "agatevane/kv/kv.h"
#include "node/peer_fetch.h"
#include "node/ports.h"
#include "node/state_parts.h"
#include "node/state_reception.h"
#include "node/timer.h"
#include <algorithm>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatevane::node {

//! Keeps the newest desired state that was received from the store or from another node. Older ones are ignored.
//! The store is asked all the time; other nodes only while a newer state is known and the store does not bring it.
class DesiredStateFeed {
public:
    //! `needsPromptUpdates` returns true if this node receives changes from no other node, so that its own watch must
    //! not miss one for long.
    DesiredStateFeed(asio::io_context& context, kv::Store& store, const Translation& translation,
        std::function<void()> changed, std::function<bool()> needsPromptUpdates, StatePeers peers);

    void start();
    //! Applies the encoded desired state that another node has read at `revision`.
    void applyFromPeer(kv::Revision revision, const std::string& bytes);
    //! Another node, at `holder`, has the revision `revision` in force.
    void noteRevision(kv::Revision revision, const net::PeerAddress& holder);
    //! Logs and counts a call that ended without an answer.
    void reportFailure(const StateReception& reception, std::string_view reason) const;
    //! The part that another node has asked for.
    StatePart part(const StatePartRequest& request) { return parts_.part(request, now()); }

    const std::optional<desired_state::DesiredState>& current() const { return current_; }
    kv::Revision revision() const { return parts_.revision(); }
    const std::string& bytes() const { return parts_.bytes(); }
    //! The newest revision that is known to exist.
    kv::Revision newestRevision() const { return std::max(newestRevision_, revision()); }
    //! When it became known, on the clock of bootNow(), that the state in force is not the newest; nothing if it is.
    std::optional<Instant> behindSince() const { return behindSince_; }
    //! When the store last answered, on the clock of bootNow().
    Instant storeAnsweredAt() const { return storeAnsweredAt_; }

private:
    void read();
    void watch();
    std::shared_ptr<StateReception> beginStoreCall(StateSource source);
    TransferLimits limitsOf(const std::shared_ptr<StateReception>& reception, Instant beginBy);
    void endStoreCall(const StateReception& reception);
    void applyNewest(std::vector<kv::Item> items);
    bool apply(const kv::Item& item, std::string_view source);
    void noteBehind();
    void noteCurrent();
    void superviseArrival();

    kv::Store& store_;
    const Translation& translation_;
    std::function<void()> changed_;
    std::function<bool()> needsPromptUpdates_;
    StateParts parts_; //!< of the state in force
    std::optional<desired_state::DesiredState> current_;
    kv::Revision watchedRevision_ = 0;
    kv::Revision newestRevision_ = 0; //!< newest that another node has told of
    std::optional<Instant> behindSince_;
    Instant storeAnsweredAt_ = bootNow();
    std::shared_ptr<StateReception> storeCall_; //!< the call to the store in progress, or the last one
    kv::Revision rejectedRevision_ = 0; //!< newest revision from another node that could not be read here
    Instant nextFetchAt_; //!< other nodes are not asked before
    PeerFetch fetch_;
    Timer timer_;
    Timer arrivalTimer_;
    Liveness liveness_;
};

} // namespace agatevane::node
