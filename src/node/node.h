#pragma once

#include "agatevane/event_http/server.h"
#include "agatevane/metrics/registry.h"
#include "agatevane/net/rpc.h"
#include "node/closed_connections.h"
#include "node/desired_state_feed.h"
#include "node/fleet_owner.h"
#include "node/loop_watch.h"
#include "node/owner_election.h"
#include "node/peer_messages.h"
#include "node/settings.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

namespace agatevane::node {

//! An owner that has not answered for this long no longer counts as a source of updates.
constexpr Millis ownerTimeout { 1200 };

//! How sure a node is that it owns the fleet.
struct OwnershipConfirmation {
    bool isConfirmed = false; //!< by the store, so recently that no other node can have become the owner
    Millis age { 0 }; //!< time since the store last confirmed it
};

//! One node of the fleet: answers callers, takes part in the owner election, and runs the fleet while it is the owner.
class Node {
public:
    Node(asio::io_context& context, const Settings& settings, kv::Store& store, WorkerPort& workers,
        MachinePort* machines, const Translation& translation);
    ~Node();

    //! Opens the listening sockets and starts. Returns false if one fails; every failure is a finding.
    bool start(Findings& findings);
    //! Applies the settings that may change while the process runs: the seed nodes, the time for a shutdown, and the
    //! limits that hold from the next ownership of this node on.
    void reload(const Settings& settings);
    //! Gives up the ownership, finishes the requests in progress and calls `stopped`.
    void stop(std::function<void()> stopped);

    bool isOwner() const { return fleetOwner_ != nullptr; }
    //! Version of the desired state in force; 0: none yet.
    std::int64_t desiredVersion() const { return desiredFeed_.current() ? desiredFeed_.current()->version : 0; }

private:
    struct CallState;

    //! Until the load balancer has removed a stopping node, callers may send requests on open connections.
    struct Shutdown {
        Instant acceptUntil; //!< then idle connections are closed
        Instant answerBy; //!< then each call has its answer, also if it still waits for another node
        Instant exitAt; //!< then the process ends, even if an answer is not written completely
    };

    void handleCaller(const event_http::Request& request, event_http::Respond respond);
    void handleReadiness(const event_http::Request& request, const event_http::Respond& respond);
    void handleOperator(const event_http::Request& request, const event_http::Respond& respond);
    void handlePeer(std::uint16_t kind, std::string_view payload, const net::Reply& reply);
    void handlePullRequest(const PullRequest& request, const net::Reply& reply);
    using ForwardedCallDone = std::function<void(const ForwardedAnswer& answer)>;
    void handleForwardedCall(
        const ForwardedCall& call, std::optional<Instant> receivedAfter, const ForwardedCallDone& done);
    void handleSubmission(const ForwardedSubmission& submission, const net::Reply& reply);
    void handlePageRequest(const PageRequest& request, const net::Reply& reply);

    event_http::Response metricsPage() const;
    //! Call it only while this node owns the fleet. Returns nothing if there is no such page or job.
    std::optional<nlohmann::json> fleetPage(std::string_view path) const;
    nlohmann::json membersPage() const;
    nlohmann::json ownersPage() const;

    CallerAnswer denial(CallStatus status, std::string reason) const;
    bool mayDesiredStateBeOutdated() const;
    bool isDesiredStateKnownOutdated() const;
    void route(const std::shared_ptr<CallState>& call);
    void forward(const std::shared_ptr<CallState>& call, const net::PeerAddress& address);
    void forwardSubmission(
        const std::shared_ptr<CallState>& call, const net::PeerAddress& address, const ForwardedCall& message);
    void handleForwardResult(
        const std::shared_ptr<CallState>& call, std::error_code error, const ForwardedAnswer& answer);
    static bool isForAnotherOwner(CallState& call, CallStatus status);
    void retryRoute(const std::shared_ptr<CallState>& call);
    void finish(const std::shared_ptr<CallState>& call, CallerAnswer answer);

    void beginOwnership(std::uint32_t tenure, kv::Revision commitRevision);
    void endOwnership(std::string_view reason);

    //! Addresses of the other nodes that this node knows. An address may be listed twice.
    std::vector<net::PeerAddress> otherNodes() const;
    //! True if this node owns the fleet, has loaded it, and may handle a call of this kind. An owner that was paused or
    //! is cut off may have been replaced without knowing it. It still handles submissions: they are answered only after
    //! the store has confirmed them, and the store rejects writes of a replaced owner. It handles other calls if the
    //! store or another node has confirmed the ownership recently, or if no other node is known; without the store's
    //! confirmation, FleetOwner denies no job.
    bool mayHandle(CallKind kind) const;
    OwnershipConfirmation ownershipConfirmation() const;
    void logUnconfirmedAnswer(const CallerRequest& request, const CallerAnswer& answer) const;
    void pullFromPeers();
    void pull(const net::PeerAddress& address);
    using StatePartHandler
        = std::function<void(std::error_code error, const StatePart& part, std::size_t receivedBytes)>;
    void requestStatePart(
        const net::PeerAddress& peer, const StatePartRequest& request, Instant deadline, StatePartHandler done);
    void applyPull(const net::PeerAddress& from, Instant sentAt, const PullReply& reply);
    net::RpcClient& clientOf(const net::PeerAddress& address);
    void addPeer(const std::string& name, const net::PeerAddress& address);
    bool isReady() const;
    void logReadinessChange();
    void continueDraining(const std::function<void()>& stopped);
    void answerOpenCalls();

    asio::io_context& context_;
    Settings settings_;
    kv::Store& store_;
    WorkerPort& workers_;
    MachinePort* machines_; //!< null: machines take no orders
    const Translation& translation_;

    event_http::ServerOptions serverOptions(event_http::Audience audience);
    void setConnectionMetrics() const;

    std::shared_ptr<event_http::ByteBudget> connectionBudget_; //!< of the three servers below
    ClosedConnections closedConnections_;
    std::unique_ptr<event_http::Server> callerServer_;
    std::unique_ptr<event_http::Server> readinessServer_;
    std::unique_ptr<event_http::Server> metricsServer_;
    std::unique_ptr<net::RpcServer> peerServer_;
    std::map<net::PeerAddress, std::unique_ptr<net::RpcClient>> peerClients_;
    std::shared_ptr<net::RpcClient> partClient_; //!< to `partSource_`; null before the first part
    net::PeerAddress partSource_;
    std::map<std::string, net::PeerAddress> peers_;

    DesiredStateFeed desiredFeed_;
    OwnerElection election_;
    std::unique_ptr<FleetOwner> fleetOwner_;
    //! The event loop destroys it later, because its functions may still be on the call stack.
    std::unique_ptr<FleetOwner> retiredFleetOwner_;
    Instant ownerAnsweredAt_; //!< last answer of the owner, or change of owner
    Instant ownershipAgreedAt_; //!< when the last pull was sent to which a node answered that knew no newer owner than
                                //!< this one
    std::optional<Shutdown> shutdown_; //!< set once the node stops
    std::set<std::shared_ptr<CallState>> openCalls_; //!< calls without an answer
    std::size_t requestBytes_ = 0; //!< memory that `openCalls_` are reckoned to take
    bool lastLoggedReadiness_ = false; //!< false before the first line
    std::uint64_t nextRequestNumber_ = 1;

    LoopWatch loopWatch_;
    Timer pullTimer_;
    Timer stopTimer_;
    Random random_ = makeRandom();
    Liveness liveness_;
};

} // namespace agatevane::node
