#include "node/node.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/metrics/process.h"
#include <asio/post.hpp>

namespace agatevane::node {

namespace {

    using event_http::Audience;
    using event_log::Line;

    //! A node is not ready for callers if the owner has not answered for this long and the store does not answer
    //! either.
    constexpr Millis readinessTimeout { 2500 };
    //! Longest time for which a stopping node accepts further requests. The load balancer removes a node after two
    //! failed checks, one second apart.
    constexpr Millis maxDrainTime { 2500 };
    constexpr Millis drainCheckInterval { 50 };
    //! A node knows of a new desired state this long after it was acknowledged, at the latest, while it hears others.
    constexpr Millis noticeMargin { 1000 };
    //! Calls are answered this long before the machine kills the process.
    constexpr Millis answerMargin { 700 };
    //! The process ends this long before the machine kills it, even if a caller does not read its answer.
    constexpr Millis exitMargin { 200 };

    //! A node with at least this many cores becomes a candidate for the ownership at once, a smaller one after a delay.
    constexpr double minCoresWithoutDelay = 0.25;
    //! Milliseconds of delay for each core that is missing.
    constexpr double candidacyDelayMsPerCore = 1500;

    Millis candidacyDelayOf(double cores)
    {
        auto missingCores = std::max(0.0, minCoresWithoutDelay - cores);
        return Millis(static_cast<std::int64_t>(missingCores * candidacyDelayMsPerCore));
    }

    //! Starts that a node may have under way for each core that it may use: it handles a start and its answer in well
    //! under a millisecond of processor time, and takes an answer for lost after half a second.
    constexpr double startsUnderWayPerCore = 1500;

    fleet::Limits fleetLimitsOf(const Settings& settings)
    {
        auto limits = settings.fleetLimits;
        limits.maxStartsUnderWay = static_cast<std::size_t>(std::max(1.0, settings.cpuShare * startsUnderWayPerCore));
        return limits;
    }

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;

} // namespace

Node::Node(asio::io_context& context, const Settings& settings, kv::Store& store, WorkerPort& workers,
    MachinePort* machines, const Translation& translation)
    : context_(context)
    , settings_(settings)
    , store_(store)
    , workers_(workers)
    , machines_(machines)
    , translation_(translation)
    , desiredFeed_(
          context, store, translation,
          [this] {
              if (fleetOwner_)
                  fleetOwner_->applyDesiredState(*desiredFeed_.current());
          },
          [this] { return fleetOwner_ != nullptr || bootNow() - ownerAnsweredAt_ > ownerTimeout; },
          { [this] { return otherNodes(); },
              [this](const net::PeerAddress& peer, const StatePartRequest& request, Instant deadline,
                  StatePartHandler done) { requestStatePart(peer, request, deadline, std::move(done)); } })
    , election_(context, store, OwnerRecord { settings.name, settings.peerAddress, 0, {} }, settings.minLeaseTtl,
          candidacyDelayOf(settings.cpuShare), fleet::maxUnconfirmedOwnership(settings.fleetLimits),
          { [this](std::uint32_t tenure, kv::Revision revision) { beginOwnership(tenure, revision); },
              [this](std::string_view reason) { endOwnership(reason); }, [this] { ownerAnsweredAt_ = bootNow(); },
              [this] { return fleetOwner_ ? fleetOwner_->commitRevision() : kv::Revision(0); } })
    , loopWatch_(context)
    , pullTimer_(context)
    , stopTimer_(context)
{
}

Node::~Node() = default;

bool Node::start(Findings& findings)
{
    auto listen = [&findings](auto& server, const net::PeerAddress& address, const char* place) {
        if (auto error = server.listen(address.address, address.port))
            findings.push_back(
                { place, address.address + ":" + std::to_string(address.port) + ": " + error.message() });
    };
    connectionBudget_ = std::make_shared<event_http::ByteBudget>(
        event_http::budgetBytes(settings_.clientLimits, machineLimits(settings_)));
    callerServer_ = std::make_unique<event_http::Server>(context_,
        liveness_.guard([this](const event_http::Request& request, event_http::Respond respond) {
            handleCaller(request, std::move(respond));
        }),
        serverOptions(Audience::Callers));
    readinessServer_ = std::make_unique<event_http::Server>(context_,
        liveness_.guard([this](const event_http::Request& request, const event_http::Respond& respond) {
            handleReadiness(request, respond);
        }),
        serverOptions(Audience::Readiness));
    metricsServer_ = std::make_unique<event_http::Server>(context_,
        liveness_.guard([this](const event_http::Request& request, const event_http::Respond& respond) {
            handleOperator(request, respond);
        }),
        serverOptions(Audience::Operators));
    peerServer_ = std::make_unique<net::RpcServer>(
        context_, liveness_.guard([this](std::uint16_t kind, std::string_view payload, const net::Reply& reply) {
            handlePeer(kind, payload, reply);
        }));
    listen(*callerServer_, settings_.callerAddress, "callers");
    listen(*readinessServer_, settings_.readinessAddress, "readiness");
    listen(*metricsServer_, settings_.metricsAddress, "metrics");
    if (auto error = peerServer_->listen(settings_.peerListenAddress))
        findings.push_back({ "peers", error.message() });
    if (!findings.empty())
        return false;
    metrics::addProcessMetrics(metrics::registry());
    loopWatch_.start();
    desiredFeed_.start();
    election_.start();
    pullFromPeers();
    return true;
}

event_http::ServerOptions Node::serverOptions(Audience audience)
{
    return { event_http::serverLimits(settings_.clientLimits, machineLimits(settings_), audience), connectionBudget_,
        audience, liveness_.guard([this, audience](event_http::CloseReason reason, std::size_t refusedRequests) {
            closedConnections_.note(audience, reason, refusedRequests);
        }) };
}

void Node::beginOwnership(std::uint32_t tenure, kv::Revision commitRevision)
{
    desired_state::DesiredState none;
    fleetOwner_ = std::make_unique<FleetOwner>(
        FleetOwner::Environment { context_, store_, workers_, translation_,
            [this](std::string_view reason) { election_.stepDown(reason); },
            [this] { return election_.isOwner() ? election_.confirmedUntil() : Instant {}; },
            [this] { return election_.ownershipEndsBy(); }, machines_ },
        fleetLimitsOf(settings_), tenure, commitRevision, desiredFeed_.current() ? *desiredFeed_.current() : none);
    fleetOwner_->start();
}

void Node::endOwnership(std::string_view)
{
    if (!fleetOwner_)
        return;
    fleetOwner_->stop();
    retiredFleetOwner_ = std::move(fleetOwner_);
    asio::post(context_, liveness_.guard([this] { retiredFleetOwner_.reset(); }));
}

void Node::handleReadiness(const event_http::Request& request, const event_http::Respond& respond)
{
    bool ready = translation_.isReadinessCheck(request) && isReady();
    logReadinessChange();
    respond({ ready ? statusOk : statusUnavailable, {}, {} });
}

bool Node::isReady() const
{
    if (shutdown_ || !desiredFeed_.current() || isDesiredStateKnownOutdated())
        return false;
    auto at = bootNow();
    return fleetOwner_ || at - ownerAnsweredAt_ < readinessTimeout || !election_.isStoreUnresponsive();
}

void Node::logReadinessChange()
{
    if (std::exchange(lastLoggedReadiness_, isReady()) == lastLoggedReadiness_)
        return;
    auto at = bootNow();
    Line("readiness_changed")
        .with("ready", lastLoggedReadiness_)
        .with("stopping", shutdown_.has_value())
        .with("desired_revision", desiredFeed_.revision())
        .with("newest_revision", desiredFeed_.newestRevision())
        .with("owner_heard_ms_ago", elapsed(ownerAnsweredAt_, at).count())
        .with("store_silent", election_.isStoreUnresponsive());
}

//! The answer to a call whose queue or key is not in the desired state known here.
CallerAnswer Node::denial(CallStatus status, std::string reason) const
{
    if (mayDesiredStateBeOutdated() || desiredFeed_.behindSince())
        return { CallStatus::NotAccepted, std::nullopt, std::nullopt, "the desired state may be outdated" };
    return { status, std::nullopt, std::nullopt, std::move(reason) };
}

//! True if neither the store nor the owner, nor for an owner another node, has answered for a while.
bool Node::mayDesiredStateBeOutdated() const
{
    auto heardAt = std::max(ownerAnsweredAt_, ownershipAgreedAt_);
    return election_.isStoreUnresponsive() && bootNow() - heardAt >= readinessTimeout;
}

//! True if a newer desired state has been known for so long that callers count on it.
bool Node::isDesiredStateKnownOutdated() const
{
    auto since = desiredFeed_.behindSince();
    auto maxLag = std::max(settings_.stateApplyBound - noticeMargin, settings_.stateApplyBound / 2);
    return since && bootNow() >= *since + maxLag;
}

void Node::reload(const Settings& settings)
{
    settings_.seedNodes = settings.seedNodes;
    settings_.fleetLimits = settings.fleetLimits;
    election_.limitUnconfirmedOwnership(fleet::maxUnconfirmedOwnership(settings.fleetLimits));
    settings_.shutdownGrace = settings.shutdownGrace;
    settings_.stateApplyBound = settings.stateApplyBound;
}

void Node::stop(std::function<void()> stopped)
{
    if (shutdown_)
        return;
    auto killedAt = now() + settings_.shutdownGrace;
    auto answerBy = killedAt - answerMargin;
    shutdown_ = Shutdown { std::min(now() + maxDrainTime, answerBy), answerBy, killedAt - exitMargin };
    logReadinessChange();
    election_.resign();
    callerServer_->startDraining();
    continueDraining(stopped);
}

void Node::continueDraining(const std::function<void()>& stopped)
{
    auto at = now();
    if (at >= shutdown_->acceptUntil)
        callerServer_->closeListenerAndIdleConnections();
    if (at >= shutdown_->answerBy)
        answerOpenCalls();
    if (at >= shutdown_->acceptUntil && (callerServer_->requestsInProgress() == 0 || at >= shutdown_->exitAt)) {
        Line("drained").with("requests_left", callerServer_->requestsInProgress());
        return stopped();
    }
    stopTimer_.arm(drainCheckInterval, [this, stopped] { continueDraining(stopped); });
}

} // namespace agatevane::node
