//! The part of Node that exchanges messages with other nodes.
#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "node/node.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis pullInterval { 500 };
    constexpr Millis pullTimeout { 600 };
    constexpr Millis maxHeldTime = std::chrono::hours(1);
    constexpr std::size_t maxPeers = 64;
    constexpr std::size_t maxPeersPerReply = 16;
    constexpr std::size_t pullsByUnconfirmedOwner = 3;
    //! A larger desired state is not part of the reply to a pull.
    constexpr std::size_t maxInlineStateBytes = 16384;

} // namespace

void Node::handlePeer(std::uint16_t kind, std::string_view payload, const net::Reply& reply)
{
    if (kind == static_cast<std::uint16_t>(PeerMessage::Pull)) {
        PullRequest request;
        if (net::decode(payload, request))
            return handlePullRequest(request, reply);
    } else if (kind == static_cast<std::uint16_t>(PeerMessage::Call)) {
        ForwardedCall call;
        if (net::decode(payload, call))
            return handleForwardedCall(
                call, std::nullopt, [reply](const ForwardedAnswer& answer) { reply(net::encode(answer)); });
    } else if (kind == static_cast<std::uint16_t>(PeerMessage::Submission)) {
        ForwardedSubmission submission;
        if (net::decode(payload, submission))
            return handleSubmission(submission, reply);
    } else if (kind == static_cast<std::uint16_t>(PeerMessage::StatePart)) {
        StatePartRequest request;
        if (net::decode(payload, request))
            return reply(net::encode(desiredFeed_.part(request)));
    } else if (kind == static_cast<std::uint16_t>(PeerMessage::Page)) {
        PageRequest request;
        if (net::decode(payload, request))
            return handlePageRequest(request, reply);
    }
    Line("peer_message_unreadable").with("kind", kind).with("bytes", payload.size());
    reply({});
}

void Node::handlePullRequest(const PullRequest& request, const net::Reply& reply)
{
    addPeer(request.name, request.address);
    election_.applyOwnerView(request.owner);
    desiredFeed_.noteRevision(request.desiredRevision, request.address);
    PullReply answer;
    answer.owner = election_.owner();
    answer.isServingOwner = fleetOwner_ && fleetOwner_->isReady();
    answer.desiredRevision = desiredFeed_.revision();
    if (request.desiredRevision < answer.desiredRevision && desiredFeed_.bytes().size() <= maxInlineStateBytes)
        answer.desiredState = desiredFeed_.bytes();
    for (const auto& [name, address] : peers_) {
        if (answer.peers.size() < maxPeersPerReply)
            answer.peers.push_back({ name, address });
    }
    reply(net::encode(answer));
}

void Node::handleForwardedCall(
    const ForwardedCall& call, std::optional<Instant> receivedAfter, const ForwardedCallDone& done)
{
    if (!mayHandle(call.kind)) {
        ForwardedAnswer answer;
        answer.status = CallStatus::WrongNode;
        return done(answer);
    }
    CallerRequest request { call.kind, call.job, call.spec, receivedAfter };
    auto deadline = now() + Millis(std::max<std::int64_t>(0, call.timeoutMs));
    fleetOwner_->call(
        request, call.queue, call.tenant, deadline, liveness_.guard([this, request, done](const CallerAnswer& answer) {
            logUnconfirmedAnswer(request, answer);
            done(toForwardedAnswer(answer));
        }));
}

//! A message may be on its way for as long as a link is cut or its sender paused. So the age of a submission counts
//! from a time that this owner has given to the sender, and a sender that has given the submission up does not send it
//! again.
void Node::handleSubmission(const ForwardedSubmission& submission, const net::Reply& reply)
{
    auto decide = [reply](const ForwardedAnswer& answer) { reply(net::encode(SubmissionAnswer { answer, {} })); };
    const auto& askedAt = submission.askedAt;
    bool isAgeKnown = fleetOwner_ && askedAt.tenure == fleetOwner_->tenure();
    if (!isAgeKnown && fleetOwner_ && fleetOwner_->hasDenied(submission.call.job)) {
        SubmissionAnswer ask;
        ask.answer.status = CallStatus::WrongNode;
        // A submission that is asked about within the millisecond of the denial is younger than it.
        ask.askedAt = { fleetOwner_->tenure(), std::chrono::nanoseconds(bootNow().time_since_epoch()).count() };
        Line("submission_age_asked").with("job", submission.call.job).with("held_ms", submission.heldMs);
        return reply(net::encode(ask));
    }
    std::optional<Instant> receivedAfter;
    if (isAgeKnown) {
        auto held = Millis(std::clamp<std::int64_t>(submission.heldMs, 0, maxHeldTime.count()));
        receivedAfter = Instant(std::chrono::nanoseconds(askedAt.bootNs)) - held;
    }
    handleForwardedCall(submission.call, receivedAfter, decide);
}

OwnershipConfirmation Node::ownershipConfirmation() const
{
    return { election_.isOwner() && !election_.isOwnershipUnconfirmed(), elapsed(election_.confirmedAt(), bootNow()) };
}

//! The node that forwarded the call does not know how sure this node is of its ownership.
void Node::logUnconfirmedAnswer(const CallerRequest& request, const CallerAnswer& answer) const
{
    auto confirmation = ownershipConfirmation();
    bool isDecision = request.kind == CallKind::Cancel || answer.status != CallStatus::Ok;
    if (confirmation.isConfirmed || !isDecision)
        return;
    Line("answered_unconfirmed")
        .with("call", nameOf(request.kind))
        .with("job", request.job)
        .with("status", nameOf(answer.status))
        .with("confirmed_age_ms", confirmation.age.count())
        .with("agreed_age_ms", elapsed(ownershipAgreedAt_, bootNow()).count());
}

net::RpcClient& Node::clientOf(const net::PeerAddress& address)
{
    auto& client = peerClients_[address];
    if (!client)
        client = std::make_unique<net::RpcClient>(context_, address);
    return *client;
}

void Node::addPeer(const std::string& name, const net::PeerAddress& address)
{
    if (name == settings_.name || name.empty())
        return;
    if (peers_.size() < maxPeers || peers_.contains(name))
        peers_[name] = address;
}

//! Pulls from the owner regularly, so that its loss is detected. While the owner or the store does not answer,
//! also pulls from another node, because a store that rejects this machine may still serve others. Goes on during a
//! shutdown, because calls that are still held are sent to the next owner.
void Node::pullFromPeers()
{
    pullTimer_.arm(pullInterval, [this] { pullFromPeers(); });
    logReadinessChange();
    const auto& owner = election_.owner();
    bool isOwnerOrStoreUnresponsive = election_.isStoreUnresponsive() || bootNow() - ownerAnsweredAt_ > ownerTimeout;
    bool isOwnerElsewhere = owner.revision != 0 && owner.record.name != settings_.name;
    if (isOwnerElsewhere && !fleetOwner_)
        pull(owner.record.address);
    bool hasUpdateSource
        = fleetOwner_ ? !election_.isOwnershipUnconfirmed() : isOwnerElsewhere && !isOwnerOrStoreUnresponsive;
    if (hasUpdateSource && desiredFeed_.current())
        return;
    auto others = otherNodes();
    std::shuffle(others.begin(), others.end(), random_);
    // An owner that the store does not confirm needs a confirmation by another node soon, and some of the others may
    // have stopped, so it asks several.
    others.resize(std::min(others.size(), fleetOwner_ ? pullsByUnconfirmedOwner : 1));
    for (const auto& other : others)
        pull(other);
}

std::vector<net::PeerAddress> Node::otherNodes() const
{
    std::vector<net::PeerAddress> others(settings_.seedNodes);
    for (const auto& [name, address] : peers_)
        others.push_back(address);
    std::erase(others, settings_.peerAddress);
    return others;
}

bool Node::mayHandle(CallKind kind) const
{
    if (!fleetOwner_ || !fleetOwner_->isReady())
        return false;
    if (kind == CallKind::Submit)
        return true;
    return !election_.isOwnershipUnconfirmed() || bootNow() - ownershipAgreedAt_ < ownerTimeout || otherNodes().empty();
}

void Node::pull(const net::PeerAddress& address)
{
    PullRequest request { settings_.name, settings_.peerAddress, election_.owner(), desiredFeed_.revision() };
    auto& client = clientOf(address);
    StateReception reception { StateSource::Pull, now(), net::toString(address), {}, {}, {} };
    client.call(static_cast<std::uint16_t>(PeerMessage::Pull), net::encode(request), now() + pullTimeout,
        liveness_.guard([this, address, &client, reception, sentAt = bootNow(), bytesBefore = client.receivedBytes()](
                            std::error_code error, const std::string& payload) mutable {
            PullReply reply;
            if (!error && !net::decode(payload, reply))
                error = Errc::Malformed;
            reception.progress.receivedBytes = client.receivedBytes() - bytesBefore;
            if (error)
                return desiredFeed_.reportFailure(reception, error.message());
            applyPull(address, sentAt, reply);
        }));
}

//! Parts travel on a connection of their own, so that calls neither wait behind them nor end with them.
void Node::requestStatePart(
    const net::PeerAddress& peer, const StatePartRequest& request, Instant deadline, StatePartHandler done)
{
    if (!partClient_ || partSource_ != peer)
        partClient_ = std::make_shared<net::RpcClient>(context_, peer);
    partSource_ = peer;
    partClient_->call(static_cast<std::uint16_t>(PeerMessage::StatePart), net::encode(request), deadline,
        liveness_.guard([client = partClient_, bytesBefore = partClient_->receivedBytes(), done = std::move(done)](
                            std::error_code error, const std::string& payload) {
            StatePart part;
            if (!error && !payload.empty() && !net::decode(payload, part))
                error = Errc::Malformed;
            done(error, part, client->receivedBytes() - bytesBefore);
        }));
}

void Node::applyPull(const net::PeerAddress& from, Instant sentAt, const PullReply& reply)
{
    election_.applyOwnerView(reply.owner);
    if (fleetOwner_)
        ownershipAgreedAt_ = std::max(ownershipAgreedAt_, sentAt);
    if (!reply.desiredState.empty())
        desiredFeed_.applyFromPeer(reply.desiredRevision, reply.desiredState);
    desiredFeed_.noteRevision(reply.desiredRevision, from);
    for (const auto& peer : reply.peers)
        addPeer(peer.name, peer.address);
    if (reply.isServingOwner && from == election_.owner().record.address)
        ownerAnsweredAt_ = bootNow();
}

} // namespace agatevane::node
