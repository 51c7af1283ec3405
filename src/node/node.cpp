#include "node/node.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/metrics/process.h"
#include <asio/post.hpp>

namespace agatevane::node {

namespace {

    using event_log::Line;

    //! A node is not ready for callers if the owner has not answered for this long and the store does not answer
    //! either.
    constexpr Millis readinessTimeout { 2500 };
    //! Time for which a request waits while no node owns the fleet. An election after a handover takes less.
    constexpr Millis electionWait { 1200 };
    //! Delay before a request is sent to the owner again.
    constexpr Millis routeRetryDelay { 40 };
    //! Part of the caller's timeout that is reserved for sending the answer back.
    constexpr Millis responseMargin { 150 };
    //! Used if the caller's request has no timeout.
    constexpr Millis defaultCallTimeout { 3000 };
    //! Part of the timeout that is reserved for the network delay between two nodes in distant regions.
    constexpr Millis forwardMargin { 50 };
    //! A call with less time left is not forwarded, because its outcome could only be unknown.
    constexpr Millis minForwardTime = forwardMargin + Millis(10);
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

    //! The path of a caller's request is truncated to this length in log lines and error texts.
    constexpr std::size_t maxLoggedPathBytes = 64;

    std::string truncateForLog(std::string_view path)
    {
        return std::string(path.substr(0, maxLoggedPathBytes));
    }

    metrics::Counter& answersOf(CallKind kind, CallStatus status)
    {
        return metrics::registry().counter("agatevane_caller_answers_total", "Answers to callers",
            { { "call", std::string(nameOf(kind)) }, { "status", std::string(nameOf(status)) } });
    }

    metrics::Histogram& latencyOf(CallKind kind)
    {
        return metrics::registry().histogram("agatevane_caller_seconds", "Time to answer a caller",
            metrics::latencyBounds(), { { "call", std::string(nameOf(kind)) } });
    }

} // namespace

//! A caller's request that is not answered yet.
struct Node::CallState {
    std::uint64_t number = 0;
    CallerRequest request;
    desired_state::Queue queue;
    std::string tenant;
    Instant receivedAt;
    Instant deadline; //!< the answer is sent by then at the latest
    Instant noOwnerDeadline; //!< the request is refused if no owner can be reached by then
    bool mayHaveEffect = false; //!< the request reached a node that has not answered, or an owner that was replaced
    bool isForwardInFlight = false;
    bool isOwnerOfEarlierBuild = false; //!< the owner does not know the message that bounds a submission's age
    OwnerTime ownerAskedAt; //!< see SubmissionAnswer
    bool isAnswered = false;
    int attempts = 0;
    std::optional<OwnershipConfirmation> confirmation; //!< when this node's owner answered; nothing: another node did
    event_http::Respond respond;
    const Translation* translation = nullptr;
};

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
    callerServer_ = std::make_unique<event_http::Server>(
        context_, liveness_.guard([this](const event_http::Request& request, event_http::Respond respond) {
            handleCaller(request, std::move(respond));
        }));
    readinessServer_ = std::make_unique<event_http::Server>(
        context_, liveness_.guard([this](const event_http::Request& request, const event_http::Respond& respond) {
            handleReadiness(request, respond);
        }));
    metricsServer_ = std::make_unique<event_http::Server>(
        context_, liveness_.guard([this](const event_http::Request& request, const event_http::Respond& respond) {
            handleOperator(request, respond);
        }));
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

void Node::handleCaller(const event_http::Request& request, event_http::Respond respond)
{
    auto call = std::make_shared<CallState>();
    call->number = nextRequestNumber_++;
    call->receivedAt = now();
    auto receivedAfter = loopWatch_.arrivedAfter();
    call->respond = std::move(respond);
    call->translation = &translation_;
    auto timeout = translation_.timeoutOf(request).value_or(defaultCallTimeout);
    call->deadline = call->receivedAt + std::max(Millis(0), timeout - responseMargin);
    if (shutdown_)
        call->deadline = std::min(call->deadline, shutdown_->answerBy);
    call->noOwnerDeadline = std::min(call->deadline, call->receivedAt + electionWait);
    openCalls_.insert(call);
    const auto& desired = desiredFeed_.current();
    if (!desired)
        return finish(call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "no desired state yet" });
    if (isDesiredStateKnownOutdated())
        return finish(call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "the desired state is outdated" });
    std::string_view path = request.target;
    path = path.substr(0, path.find('?'));
    const auto* queue = desired_state::findQueue(*desired, translation_.hostOf(request), path);
    if (!queue)
        return finish(call, denial(CallStatus::NoSuchQueue, "no such queue: " + truncateForLog(path)));
    // Only for the log, in case the call is refused before it is decoded.
    call->request.job = truncateForLog(path.substr(queue->prefix.size()));
    call->queue = *queue;
    const auto* tenant = desired_state::findTenantByKey(*desired, translation_.apiKeyOf(request));
    if (!tenant && !queue->allowsAnonymous)
        return finish(call, denial(CallStatus::UnknownKey, "unknown key"));
    Findings findings;
    auto decoded = translation_.decodeCall(request, path.substr(queue->prefix.size()), findings);
    if (!decoded)
        return finish(call, { CallStatus::Malformed, std::nullopt, std::nullopt, format(findings) });
    call->request = std::move(*decoded);
    call->request.receivedAfter = receivedAfter;
    call->tenant = tenant ? tenant->name : std::string();
    route(call);
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

void Node::route(const std::shared_ptr<CallState>& call)
{
    if (call->isAnswered)
        return;
    // The process may have been paused since the last attempt.
    if (call->attempts > 0 && now() >= call->deadline)
        return retryRoute(call);
    ++call->attempts;
    if (mayHandle(call->request.kind)) {
        return fleetOwner_->call(call->request, call->queue, call->tenant, call->deadline,
            liveness_.guard([this, call](CallerAnswer answer) {
                if (isForAnotherOwner(*call, answer.status))
                    return retryRoute(call);
                call->confirmation = ownershipConfirmation();
                finish(call, std::move(answer));
            }));
    }
    const auto& owner = election_.owner();
    if (elapsed(now(), call->deadline) < minForwardTime)
        return finish(call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "too little time is left" });
    if (fleetOwner_ || owner.revision == 0 || owner.record.name == settings_.name)
        return retryRoute(call);
    forward(call, owner.record.address);
}

//! True if the node that answered leaves the call to another owner.
bool Node::isForAnotherOwner(CallState& call, CallStatus status)
{
    if (status == CallStatus::OwnershipEnded)
        call.mayHaveEffect = true;
    return status == CallStatus::WrongNode || status == CallStatus::OwnershipEnded;
}

void Node::retryRoute(const std::shared_ptr<CallState>& call)
{
    // A call that may have had an effect is repeated until the caller's deadline. This is safe, because submissions
    // with the same id are one job.
    if (now() >= (call->mayHaveEffect ? call->deadline : call->noOwnerDeadline))
        return finish(
            call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "the owner of the fleet can't be reached" });
    auto timer = std::make_shared<Timer>(context_);
    timer->arm(routeRetryDelay, liveness_.guard([this, call, timer] { route(call); }));
}

void Node::forward(const std::shared_ptr<CallState>& call, const net::PeerAddress& address)
{
    auto at = now();
    ForwardedCall message;
    message.kind = call->request.kind;
    message.job = call->request.job;
    message.spec = call->request.spec;
    message.queue = call->queue;
    message.tenant = call->tenant;
    message.timeoutMs = elapsed(at, call->deadline - forwardMargin).count();
    call->isForwardInFlight = true;
    if (call->request.kind == CallKind::Submit && !call->isOwnerOfEarlierBuild)
        return forwardSubmission(call, address, message);
    clientOf(address).call(static_cast<std::uint16_t>(PeerMessage::Call), net::encode(message), call->deadline,
        liveness_.guard([this, call](std::error_code error, const std::string& payload) {
            ForwardedAnswer answer;
            if (!error && !net::decode(payload, answer))
                error = Errc::Malformed;
            handleForwardResult(call, error, answer);
        }));
}

void Node::forwardSubmission(
    const std::shared_ptr<CallState>& call, const net::PeerAddress& address, const ForwardedCall& message)
{
    auto held = std::chrono::ceil<Millis>(bootNow() - *call->request.receivedAfter);
    auto bytes = net::encode(ForwardedSubmission { message, held.count(), call->ownerAskedAt });
    clientOf(address).call(static_cast<std::uint16_t>(PeerMessage::Submission), bytes, call->deadline,
        liveness_.guard([this, call](std::error_code error, const std::string& payload) {
            SubmissionAnswer decided;
            call->isOwnerOfEarlierBuild = !error && payload.empty();
            if (call->isOwnerOfEarlierBuild)
                decided.answer.status = CallStatus::WrongNode;
            else if (!error && !net::decode(payload, decided))
                error = Errc::Malformed;
            if (!error)
                call->ownerAskedAt = decided.askedAt;
            handleForwardResult(call, error, decided.answer);
        }));
}

void Node::handleForwardResult(
    const std::shared_ptr<CallState>& call, std::error_code error, const ForwardedAnswer& answer)
{
    call->isForwardInFlight = false;
    if (error) {
        call->mayHaveEffect = call->mayHaveEffect || error != Errc::Unreachable;
        return retryRoute(call);
    }
    ownerAnsweredAt_ = bootNow();
    if (isForAnotherOwner(*call, answer.status))
        return retryRoute(call);
    finish(call, toCallerAnswer(answer));
}

void Node::finish(const std::shared_ptr<CallState>& call, CallerAnswer answer)
{
    if (std::exchange(call->isAnswered, true))
        return;
    openCalls_.erase(call);
    // A node to which the submission was forwarded may have accepted it, so a refusal could be wrong.
    bool mayHaveEffect = call->mayHaveEffect || call->isForwardInFlight;
    if (answer.status == CallStatus::NotAccepted && mayHaveEffect && call->request.kind == CallKind::Submit)
        answer.status = CallStatus::OutcomeUnknown;
    auto took = now() - call->receivedAt;
    answersOf(call->request.kind, answer.status).add();
    latencyOf(call->request.kind).observe(std::chrono::duration<double>(took).count());
    bool isDecision = call->request.kind == CallKind::Submit || call->request.kind == CallKind::Cancel
        || answer.status != CallStatus::Ok;
    if (isDecision) {
        Line line("call_answered");
        line.with("request", call->number)
            .with("call", nameOf(call->request.kind))
            .with("job", call->request.job)
            .with("queue", call->queue.name)
            .with("tenant", call->tenant)
            .with("status", nameOf(answer.status))
            .with("reason", answer.reason)
            .with("owner", election_.owner().record.name)
            .with("owner_revision", election_.owner().revision)
            .with("desired_revision", desiredFeed_.revision())
            .with("attempts", call->attempts)
            .with("took_ms", std::chrono::duration_cast<Millis>(took).count());
        if (call->confirmation)
            line.with("owner_confirmed", call->confirmation->isConfirmed)
                .with("confirmed_age_ms", call->confirmation->age.count());
    }
    call->respond(translation_.encodeAnswer(answer));
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

//! Answers the calls for which another node or the end of an election is still awaited.
void Node::answerOpenCalls()
{
    auto calls = openCalls_;
    for (const auto& call : calls)
        finish(call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "the node stops" });
}

} // namespace agatevane::node
