#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/kv/kv.h"
#include "node/ports.h"
#include "node/timer.h"
#include <algorithm>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace agatevane::node {

//! How a node asks for the desired state.
enum class StateSource { Read, Watch, Pull };

} // namespace agatevane::node

template <> struct agatevane::EnumNames<agatevane::node::StateSource> {
    static constexpr std::array<std::pair<agatevane::node::StateSource, std::string_view>, 3> table { {
        { agatevane::node::StateSource::Read, "read" },
        { agatevane::node::StateSource::Watch, "watch" },
        { agatevane::node::StateSource::Pull, "pull" },
    } };
};

namespace agatevane::node {

//! One call that asks for the desired state, for the log.
struct StateReception {
    StateSource source = StateSource::Read;
    Instant startedAt; //!< on the clock of now()
    std::string peer; //!< address of the node that was asked; empty: the store
    TransferProgress progress;
};

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

    //! Another node has the revision `revision` in force. `toldBy` names it for the log.
    void noteRevision(kv::Revision revision, std::string_view toldBy);
    //! Logs and counts a call that ended without an answer.
    void reportFailure(const StateReception& reception, std::string_view reason) const;

    const std::optional<desired_state::DesiredState>& current() const { return current_; }
    kv::Revision revision() const { return item_.revision; }
    const std::string& bytes() const { return item_.value; }
    //! The newest revision that is known to exist.
    kv::Revision newestRevision() const { return std::max(newestRevision_, item_.revision); }
    //! When it became known, on the clock of bootNow(), that the state in force is not the newest; nothing if it is.
    std::optional<Instant> behindSince() const { return behindSince_; }
    //! When the store last answered, on the clock of bootNow().
    Instant storeAnsweredAt() const { return storeAnsweredAt_; }

private:
    void read();
    void watch();
    void apply(const kv::Item& item, std::string_view source);
    TransferLimits limitsOf(const std::shared_ptr<StateReception>& reception, Instant deadline) const;
    void noteStoreAnswer(const StateReception& reception);

    kv::Store& store_;
    const Translation& translation_;
    std::function<void()> changed_;
    std::function<bool()> needsPromptUpdates_;
    kv::Item item_;
    kv::Revision watchedRevision_ = 0;
    kv::Revision newestRevision_ = 0; //!< newest that another node has told of
    std::optional<Instant> behindSince_;
    Instant storeAnsweredAt_ = bootNow();
    std::optional<desired_state::DesiredState> current_;
    Timer timer_;
    Liveness liveness_;
};

} // namespace agatevane::node
