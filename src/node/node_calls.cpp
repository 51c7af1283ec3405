//! The part of Node that answers callers: itself while it owns the fleet, else through the owner.
#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "node/node.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

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

    //! A request under way is held this often: decoded, as a message to the owner and encoded, and while it is sent.
    constexpr std::size_t copiesOfBody = 4;

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
    std::size_t bytes = 0; //!< part of `Node::requestBytes_`
    int attempts = 0;
    std::optional<OwnershipConfirmation> confirmation; //!< when this node's owner answered; nothing: another node did
    event_http::Respond respond;
    const Translation* translation = nullptr;
};

void Node::handleCaller(const event_http::Request& request, event_http::Respond respond)
{
    auto call = std::make_shared<CallState>();
    call->number = nextRequestNumber_++;
    call->receivedAt = now();
    auto receivedAfter = loopWatch_.arrivedAfter() - request.waited;
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
    if (desired->maxBodyBytes > 0 && request.body.size() > desired->maxBodyBytes)
        return finish(call,
            denial(CallStatus::Malformed,
                "the body has " + std::to_string(request.body.size()) + " bytes, the limit is "
                    + std::to_string(desired->maxBodyBytes)));
    auto bytes = request.body.size() * copiesOfBody;
    if (bytes > 0 && requestBytes_ + bytes > event_http::requestBytes(settings_.clientLimits, machineLimits(settings_)))
        return finish(
            call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "too many large requests are under way" });
    call->bytes = bytes;
    requestBytes_ += bytes;
    Findings findings;
    auto decoded = translation_.decodeCall(request, path.substr(queue->prefix.size()), findings);
    if (!decoded)
        return finish(call, { CallStatus::Malformed, std::nullopt, std::nullopt, format(findings) });
    call->request = std::move(*decoded);
    call->request.receivedAfter = receivedAfter;
    call->tenant = tenant ? tenant->name : std::string();
    route(call);
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
    requestBytes_ -= call->bytes;
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

//! Answers the calls for which another node or the end of an election is still awaited.
void Node::answerOpenCalls()
{
    auto calls = openCalls_;
    for (const auto& call : calls)
        finish(call, { CallStatus::NotAccepted, std::nullopt, std::nullopt, "the node stops" });
}

} // namespace agatevane::node
