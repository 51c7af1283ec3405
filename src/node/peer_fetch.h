#pragma once

#include "agatevane/base/random.h"
#include "agatevane/net/rpc.h"
#include "node/state_parts.h"
#include "node/state_reception.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>
#include <optional>
#include <system_error>
#include <vector>

namespace agatevane::node {

//! The other nodes, as sources of the desired state.
struct StatePeers {
    std::function<std::vector<net::PeerAddress>()> addresses;
    //! `done` also tells how many bytes have arrived.
    std::function<void(const net::PeerAddress& peer, const StatePartRequest& request, Instant deadline,
        std::function<void(std::error_code error, const StatePart& part, std::size_t receivedBytes)> done)>
        requestPart;
};

//! Receives a newer desired state from other nodes, one part at a time. After a failure it goes on at another node with
//! the next part.
class PeerFetch {
public:
    struct Callbacks {
        std::function<void(kv::Revision revision, const std::string& bytes)> received;
        std::function<void(const StateReception& reception, std::string_view reason)> failed;
    };

    PeerFetch(asio::io_context& context, StatePeers peers, Callbacks callbacks);

    //! The node at `address` has had the revision `revision`.
    void noteHolder(const net::PeerAddress& address, kv::Revision revision);
    //! Receives a later revision than `inForce`, if that is not already being done.
    void start(kv::Revision inForce);
    //! Ends the transfer if it can bring nothing newer than `inForce`.
    void cancelIfOutdated(kv::Revision inForce);
    bool isRunning() const { return isRunning_; }

private:
    void requestNext();
    void handlePart(const StatePartRequest& request, std::error_code error, const StatePart& part);
    void changeSource();
    std::optional<net::PeerAddress> chooseSource();

    StatePeers peers_;
    Callbacks callbacks_;
    Random random_ = makeRandom();
    Timer timer_;
    StateAssembly assembly_;
    kv::Revision inForce_ = 0;
    net::PeerAddress holder_; //!< the node that was last known to have the newest revision; port 0: none is known
    kv::Revision holderRevision_ = 0;
    std::optional<net::PeerAddress> source_;
    StateReception reception_;
    int misses_ = 0; //!< sources in a row that had nothing to give
    bool isRunning_ = false;
    std::uint64_t generation_ = 0; //!< raised when a transfer ends; answers to earlier requests are ignored
    Liveness liveness_;
};

} // namespace agatevane::node
