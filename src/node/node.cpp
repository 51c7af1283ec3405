#include "node/node.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/metrics/process.h"
#include <asio/post.hpp>

namespace agatevane::node {

namespace {

    using event_log::Line;

    //! Without an answer of the owner or the store for this long a node is of no use to callers.
    constexpr Millis longestSilence { 2500 };
    //! While nobody owns the fleet a request waits this long; an election takes less than that after a handover.
    constexpr Millis electionPatience { 1200 };
    //! A request is tried again at the owner after this.
    constexpr Millis routeRetry { 40 };
    //! Kept of the caller's time for the way back.
    constexpr Millis answerMargin { 150 };
    constexpr Millis defaultPatience { 3000 };
    //! Kept of the time for the way between two nodes of far regions.
    constexpr Millis forwardMargin { 50 };
    //! With less time than this a call is not sent on: it could only end as unknown.
    constexpr Millis leastForwardTime = forwardMargin + Millis(10);
    //! The balancer takes a node out after two missed checks, one second apart.
    constexpr Millis drainTime { 2500 };
    constexpr Millis drainCheck { 50 };
    //! Kept of the time before the machine kills the process.
    constexpr Millis stopMargin { 700 };

    //! A machine with this share of a core competes for the ownership at once, a smaller one later.
    constexpr double ampleProcessorShare = 0.25;
    constexpr double handicapMsPerShare = 1500;

    Millis handicapOf(double processorShare)
    {
        auto lacking = std::max(0.0, ampleProcessorShare - processorShare);
        return Millis(static_cast<std::int64_t>(lacking * handicapMsPerShare));
    }

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;

    //! Most of a caller's path that goes into a log line.
    constexpr std::size_t longestLoggedPath = 64;

    std::string loggable(std::string_view path)
    {
        return std::string(path.substr(0, longestLoggedPath));
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

//! A caller's request until its answer.
struct Node::CallState {
    std::uint64_t number = 0;
    CallerRequest request;
    desired_state::Queue queue;
    std::string tenant;
    Instant receivedAt;
    Instant deadline; //!< the answer has to leave by then
    Instant giveUpAt; //!< without an owner by then the request is refused
    bool mayHaveEffect = false; //!< some node was sent the request and has not answered
    int attempts = 0;
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
    , desired_(
          context, store, translation,
          [this] {
              if (owner_)
                  owner_->applyDesiredState(*desired_.current());
          },
          [this] { return owner_ != nullptr || bootNow() - ownerHeardAt_ > ownerSilence; })
    , seat_(context, store, OwnerRecord { settings.name, settings.peerAddress, 0, {} }, settings.minLeaseTtl,
          handicapOf(settings.cpuShare),
          { [this](std::uint32_t tenure, kv::Revision revision) { beginOwnership(tenure, revision); },
              [this](std::string_view reason) { endOwnership(reason); }, [this] { ownerHeardAt_ = bootNow(); },
              [this] { return owner_ ? owner_->commitRevision() : kv::Revision(0); } })
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
    callers_ = std::make_unique<event_http::Server>(
        context_, liveness_.guard([this](const event_http::Request& request, event_http::Respond respond) {
            handleCaller(request, std::move(respond));
        }));
    readiness_ = std::make_unique<event_http::Server>(
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
    listen(*callers_, settings_.callerAddress, "callers");
    listen(*readiness_, settings_.readinessAddress, "readiness");
    listen(*metricsServer_, settings_.metricsAddress, "metrics");
    if (auto error = peerServer_->listen(settings_.peerListenAddress))
        findings.push_back({ "peers", error.message() });
    if (!findings.empty())
        return false;
    metrics::addProcessMetrics(metrics::registry());
    desired_.start();
    seat_.start();
    pullNext();
    return true;
}

void Node::beginOwnership(std::uint32_t tenure, kv::Revision commitRevision)
{
    desired_state::DesiredState none;
    owner_ = std::make_unique<FleetOwner>(FleetOwner::Environment { context_, store_, workers_, translation_,
                                              [this](std::string_view reason) { seat_.depose(reason); }, machines_,
                                              [this] { return seat_.isSeated() && !seat_.isUnconfirmed(); } },
        settings_.fleetLimits, tenure, commitRevision, desired_.current() ? *desired_.current() : none);
    owner_->start();
}

void Node::endOwnership(std::string_view)
{
    if (!owner_)
        return;
    owner_->stop();
    retired_ = std::move(owner_);
    asio::post(context_, liveness_.guard([this] { retired_.reset(); }));
}

void Node::handleReadiness(const event_http::Request& request, const event_http::Respond& respond)
{
    bool ready = translation_.isReadinessCheck(request) && isReady();
    noteReadiness();
    respond({ ready ? statusOk : statusUnavailable, {}, {} });
}

bool Node::isReady() const
{
    if (isStopping_ || !desired_.current())
        return false;
    auto at = bootNow();
    return owner_ || at - ownerHeardAt_ < longestSilence || !seat_.isStoreSilent();
}

void Node::noteReadiness()
{
    if (std::exchange(wasReady_, isReady()) == wasReady_)
        return;
    auto at = bootNow();
    Line("readiness_changed")
        .with("ready", wasReady_)
        .with("stopping", isStopping_)
        .with("desired_revision", desired_.revision())
        .with("owner_heard_ms_ago", elapsed(ownerHeardAt_, at).count())
        .with("store_silent", seat_.isStoreSilent());
}

void Node::handleCaller(const event_http::Request& request, event_http::Respond respond)
{
    auto call = std::make_shared<CallState>();
    call->number = nextRequest_++;
    call->receivedAt = now();
    call->respond = std::move(respond);
    call->translation = &translation_;
    auto patience = translation_.timeoutOf(request).value_or(defaultPatience);
    call->deadline = call->receivedAt + std::max(Millis(0), patience - answerMargin);
    call->giveUpAt = std::min(call->deadline, call->receivedAt + electionPatience);
    const auto& desired = desired_.current();
    if (!desired)
        return finish(call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "no desired state yet" });
    std::string_view path = request.target;
    path = path.substr(0, path.find('?'));
    const auto* queue = desired_state::findQueue(*desired, translation_.hostOf(request), path);
    if (!queue)
        return finish(
            call, { CallStatus::NoSuchQueue, std::nullopt, std::nullopt, "no such queue: " + loggable(path) });
    // For the log, should the call be refused before it is read.
    call->request.job = loggable(path.substr(queue->prefix.size()));
    call->queue = *queue;
    const auto* tenant = desired_state::findTenantByKey(*desired, translation_.keyOf(request));
    if (!tenant && !queue->allowsAnonymous)
        return finish(call, { CallStatus::UnknownKey, std::nullopt, std::nullopt, "unknown key" });
    Findings findings;
    auto decoded = translation_.decodeCall(request, path.substr(queue->prefix.size()), findings);
    if (!decoded)
        return finish(call, { CallStatus::Malformed, std::nullopt, std::nullopt, format(findings) });
    call->request = std::move(*decoded);
    call->tenant = tenant ? tenant->name : std::string();
    route(call);
}

void Node::route(const std::shared_ptr<CallState>& call)
{
    ++call->attempts;
    // A submission is answered only once the store has confirmed it, which an owner that was replaced can't reach.
    bool mayAnswer = call->request.kind == CallKind::Submit ? owner_ && owner_->isReady() : maySpeakForFleet();
    if (mayAnswer) {
        return owner_->call(call->request, call->queue, call->tenant, call->deadline,
            liveness_.guard([this, call](CallerAnswer answer) {
                if (answer.status == CallStatus::WrongNode)
                    return routeLater(call);
                finish(call, std::move(answer));
            }));
    }
    const auto& owner = seat_.owner();
    if (elapsed(now(), call->deadline) < leastForwardTime)
        return finish(call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "too little time is left" });
    if (owner_ || owner.revision == 0 || owner.record.name == settings_.name)
        return routeLater(call);
    forward(call, owner.record.address);
}

void Node::routeLater(const std::shared_ptr<CallState>& call)
{
    // A call that may have had an effect is asked again as long as the caller waits: the same id remains one job.
    if (now() >= (call->mayHaveEffect ? call->deadline : call->giveUpAt))
        return finish(
            call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "the owner of the fleet can't be reached" });
    auto timer = std::make_shared<Timer>(context_);
    timer->arm(routeRetry, liveness_.guard([this, call, timer] { route(call); }));
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
    message.patienceMs = elapsed(at, call->deadline - forwardMargin).count();
    clientOf(address).call(static_cast<std::uint16_t>(PeerMessage::Call), net::encode(message), call->deadline,
        liveness_.guard([this, call](std::error_code error, const std::string& payload) {
            ForwardedAnswer answer;
            if (!error && !net::decode(payload, answer))
                error = Errc::Malformed;
            if (error) {
                call->mayHaveEffect = call->mayHaveEffect || error != Errc::Unreachable;
                return routeLater(call);
            }
            ownerHeardAt_ = bootNow();
            if (answer.status == CallStatus::WrongNode)
                return routeLater(call);
            finish(call, decodeForwarded(answer));
        }));
}

void Node::finish(const std::shared_ptr<CallState>& call, CallerAnswer answer)
{
    // What an earlier node may have accepted is not refused.
    if (answer.status == CallStatus::NotAccepted && call->mayHaveEffect && call->request.kind == CallKind::Submit)
        answer.status = CallStatus::OutcomeUnknown;
    auto took = now() - call->receivedAt;
    answersOf(call->request.kind, answer.status).add();
    latencyOf(call->request.kind).observe(std::chrono::duration<double>(took).count());
    bool isDecision = call->request.kind == CallKind::Submit || call->request.kind == CallKind::Cancel
        || answer.status != CallStatus::Ok;
    if (isDecision) {
        Line("call_answered")
            .with("request", call->number)
            .with("call", nameOf(call->request.kind))
            .with("job", call->request.job)
            .with("queue", call->queue.name)
            .with("tenant", call->tenant)
            .with("status", nameOf(answer.status))
            .with("reason", answer.reason)
            .with("owner", seat_.owner().record.name)
            .with("owner_revision", seat_.owner().revision)
            .with("desired_revision", desired_.revision())
            .with("attempts", call->attempts)
            .with("took_ms", std::chrono::duration_cast<Millis>(took).count());
    }
    call->respond(translation_.encodeAnswer(answer));
}

void Node::reload(const Settings& settings)
{
    settings_.seedNodes = settings.seedNodes;
    settings_.fleetLimits = settings.fleetLimits;
    settings_.shutdownGrace = settings.shutdownGrace;
}

void Node::stop(std::function<void()> stopped)
{
    if (std::exchange(isStopping_, true))
        return;
    noteReadiness();
    seat_.resign();
    callers_->startDraining();
    auto grace = std::min(drainTime, settings_.shutdownGrace - stopMargin);
    drainStep(now() + grace, stopped);
}

//! Callers may send on open connections until the balancer has noticed; afterwards what is in progress is finished.
void Node::drainStep(Instant end, const std::function<void()>& stopped)
{
    auto at = now();
    auto latest
        = end + (settings_.shutdownGrace - stopMargin - std::min(drainTime, settings_.shutdownGrace - stopMargin));
    if (at >= end)
        callers_->closeListenerAndIdleConnections();
    if (at >= end && (callers_->requestsInProgress() == 0 || at >= latest)) {
        Line("drained").with("requests_left", callers_->requestsInProgress());
        return stopped();
    }
    stopTimer_.arm(drainCheck, [this, end, stopped] { drainStep(end, stopped); });
}

} // namespace agatevane::node
