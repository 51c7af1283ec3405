#pragma once

#include "agatevane/event_http/server.h"
#include "agatevane/metrics/registry.h"
#include "agatevane/net/rpc.h"
#include "node/desired_state_feed.h"
#include "node/fleet_owner.h"
#include "node/peer_messages.h"
#include "node/owner_election.h"
#include "node/settings.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace agatevane::node {

//! Without an answer for this long the owner is no source of news.
constexpr Millis ownerSilence { 1200 };

//! One process: answers callers, competes for the ownership of the fleet, and runs the fleet when it has it.
class Node {
public:
    Node(asio::io_context& context, const Settings& settings, kv::Store& store, WorkerPort& workers,
        MachinePort* machines, const Translation& translation);
    ~Node();

    //! Opens the listening sockets; every failure is a finding.
    bool start(Findings& findings);
    //! Takes over what may change while the process runs: the seeds, and the limits of the next ownership.
    void reload(const Settings& settings);
    //! Hands over, finishes the requests in progress and calls `stopped`.
    void stop(std::function<void()> stopped);

    bool isOwner() const { return owner_ != nullptr; }
    //! Of the desired state in force; 0: none yet.
    std::int64_t desiredVersion() const { return desired_.current() ? desired_.current()->version : 0; }

private:
    struct CallState;

    void handleCaller(const event_http::Request& request, event_http::Respond respond);
    void handleReadiness(const event_http::Request& request, const event_http::Respond& respond);
    void handleOperator(const event_http::Request& request, const event_http::Respond& respond);
    void handlePeer(std::uint16_t kind, std::string_view payload, const net::Reply& reply);
    void handlePull(const PullRequest& request, const net::Reply& reply);
    void handleForwarded(const ForwardedCall& call, const net::Reply& reply);
    void handlePage(const PageRequest& request, const net::Reply& reply);

    event_http::Response metricsPage() const;
    //! Only while this node owns the fleet.
    std::optional<nlohmann::json> fleetPage(std::string_view path) const;
    nlohmann::json membersPage() const;
    nlohmann::json ownersPage() const;

    void route(const std::shared_ptr<CallState>& call);
    void forward(const std::shared_ptr<CallState>& call, const net::PeerAddress& address);
    void routeLater(const std::shared_ptr<CallState>& call);
    void finish(const std::shared_ptr<CallState>& call, CallerAnswer answer);

    void beginOwnership(std::uint32_t tenure, kv::Revision commitRevision);
    void endOwnership(std::string_view reason);

    //! Other nodes that may be asked.
    std::vector<net::PeerAddress> otherNodes() const;
    //! True for a ready owner that the store, or another node, has confirmed lately. One that was paused or is cut off
    //! may have been replaced without knowing, and what it knows of jobs may be old.
    bool maySpeakForFleet() const;
    void pullNext();
    void pull(const net::PeerAddress& address);
    void applyPull(const net::PeerAddress& from, const PullReply& reply);
    net::RpcClient& clientOf(const net::PeerAddress& address);
    void meetPeer(const std::string& name, const net::PeerAddress& address);
    bool isReady() const;
    void noteReadiness();
    void drainStep(Instant end, const std::function<void()>& stopped);

    asio::io_context& context_;
    Settings settings_;
    kv::Store& store_;
    WorkerPort& workers_;
    MachinePort* machines_; //!< null: machines take no orders
    const Translation& translation_;

    std::unique_ptr<event_http::Server> callers_;
    std::unique_ptr<event_http::Server> readiness_;
    std::unique_ptr<event_http::Server> metricsServer_;
    std::unique_ptr<net::RpcServer> peerServer_;
    std::map<net::PeerAddress, std::unique_ptr<net::RpcClient>> peerClients_;
    std::map<std::string, net::PeerAddress> peers_;

    DesiredFeed desired_;
    Seat seat_;
    std::unique_ptr<FleetOwner> owner_;
    std::unique_ptr<FleetOwner> retired_; //!< kept until the loop has left its functions
    Instant ownerHeardAt_;
    Instant agreedAt_; //!< another node last knew no owner but this one
    bool isStopping_ = false;
    bool wasReady_ = false;
    std::uint64_t nextRequest_ = 1;

    Timer pullTimer_;
    Timer stopTimer_;
    Random random_ = makeRandom();
    Liveness liveness_;
};

} // namespace agatevane::node
