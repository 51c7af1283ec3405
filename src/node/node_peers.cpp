//! What a node exchanges with the other nodes.
#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "node/node.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis pullInterval { 500 };
    constexpr Millis pullTimeout { 600 };
    constexpr std::size_t maxPeers = 64;
    constexpr std::size_t maxPeersTold = 16;
    constexpr std::size_t pullsOfUnconfirmedOwner = 3;

} // namespace

void Node::handlePeer(std::uint16_t kind, std::string_view payload, const net::Reply& reply)
{
    if (kind == static_cast<std::uint16_t>(PeerMessage::Pull)) {
        PullRequest request;
        if (net::decode(payload, request))
            return handlePull(request, reply);
    } else if (kind == static_cast<std::uint16_t>(PeerMessage::Call)) {
        ForwardedCall call;
        if (net::decode(payload, call))
            return handleForwarded(call, reply);
    } else if (kind == static_cast<std::uint16_t>(PeerMessage::Page)) {
        PageRequest request;
        if (net::decode(payload, request))
            return handlePage(request, reply);
    }
    Line("peer_message_unreadable").with("kind", kind).with("bytes", payload.size());
    reply({});
}

void Node::handlePull(const PullRequest& request, const net::Reply& reply)
{
    meetPeer(request.name, request.address);
    seat_.learn(request.owner);
    PullReply answer;
    answer.owner = seat_.owner();
    answer.isServingOwner = owner_ && owner_->isReady();
    answer.desiredRevision = desired_.revision();
    if (request.desiredRevision < answer.desiredRevision)
        answer.desiredState = desired_.bytes();
    for (const auto& [name, address] : peers_) {
        if (answer.peers.size() < maxPeersTold)
            answer.peers.push_back({ name, address });
    }
    reply(net::encode(answer));
}

void Node::handleForwarded(const ForwardedCall& call, const net::Reply& reply)
{
    bool mayAnswer = call.kind == CallKind::Submit ? owner_ && owner_->isReady() : maySpeakForFleet();
    if (!mayAnswer) {
        ForwardedAnswer answer;
        answer.status = CallStatus::WrongNode;
        return reply(net::encode(answer));
    }
    CallerRequest request { call.kind, call.job, call.spec };
    auto deadline = now() + Millis(std::max<std::int64_t>(0, call.patienceMs));
    owner_->call(request, call.queue, call.tenant, deadline,
        [reply](const CallerAnswer& answer) { reply(net::encode(encodeForwarded(answer))); });
}

net::RpcClient& Node::clientOf(const net::PeerAddress& address)
{
    auto& client = peerClients_[address];
    if (!client)
        client = std::make_unique<net::RpcClient>(context_, address);
    return *client;
}

void Node::meetPeer(const std::string& name, const net::PeerAddress& address)
{
    if (name == settings_.name || name.empty())
        return;
    if (peers_.size() < maxPeers || peers_.contains(name))
        peers_[name] = address;
}

//! The owner is asked all the time, so that its loss shows; another node as well while the store is silent, since a
//! store that turns this machine away may serve others.
void Node::pullNext()
{
    if (isStopping_)
        return;
    pullTimer_.arm(pullInterval, [this] { pullNext(); });
    noteReadiness();
    const auto& owner = seat_.owner();
    bool isStoreSilent = seat_.isStoreSilent() || bootNow() - ownerHeardAt_ > ownerSilence;
    bool isOwnerElsewhere = owner.revision != 0 && owner.record.name != settings_.name;
    if (isOwnerElsewhere && !owner_)
        pull(owner.record.address);
    bool hasSource = owner_ ? !seat_.isUnconfirmed() : isOwnerElsewhere && !isStoreSilent;
    if (hasSource && desired_.current())
        return;
    auto others = otherNodes();
    std::shuffle(others.begin(), others.end(), random_);
    // An owner without the store needs one answer soon, and some of the others may be gone.
    others.resize(std::min(others.size(), owner_ ? pullsOfUnconfirmedOwner : 1));
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

bool Node::maySpeakForFleet() const
{
    if (!owner_ || !owner_->isReady())
        return false;
    return !seat_.isUnconfirmed() || bootNow() - agreedAt_ < ownerSilence || otherNodes().empty();
}

void Node::pull(const net::PeerAddress& address)
{
    PullRequest request { settings_.name, settings_.peerAddress, seat_.owner(), desired_.revision() };
    clientOf(address).call(static_cast<std::uint16_t>(PeerMessage::Pull), net::encode(request), now() + pullTimeout,
        liveness_.guard([this, address](std::error_code error, const std::string& payload) {
            PullReply reply;
            if (!error && net::decode(payload, reply))
                applyPull(address, reply);
        }));
}

void Node::applyPull(const net::PeerAddress& from, const PullReply& reply)
{
    seat_.learn(reply.owner);
    if (owner_)
        agreedAt_ = bootNow();
    if (!reply.desiredState.empty())
        desired_.learn(reply.desiredRevision, reply.desiredState);
    for (const auto& peer : reply.peers)
        meetPeer(peer.name, peer.address);
    if (reply.isServingOwner && from == seat_.owner().record.address)
        ownerHeardAt_ = bootNow();
}

} // namespace agatevane::node
