#include "agatevane/catalogue_feed/pull.h"

#include "agatevane/base/error.h"
#include "agatevane/peer_api/messages.h"

namespace agatevane {

std::error_code RpcPuller::operator()(
    const CataloguePeer& peer, const CataloguePullRequest& request, Instant deadline, CataloguePullReply& reply)
{
    // VMs are replaced all the time. All connections are dropped when a new one exceeds this number, which removes
    // those to VMs that no longer exist.
    constexpr std::size_t maxClients = 256;
    std::shared_ptr<net::RpcClient> client;
    {
        std::lock_guard lock(mutex_);
        std::pair key { peer.address.address, peer.address.port };
        if (clients_.size() >= maxClients && !clients_.contains(key))
            clients_.clear();
        auto& slot = clients_[key];
        if (!slot)
            slot = std::make_shared<net::RpcClient>(context_, peer.address);
        client = slot;
    }
    std::string bytes;
    auto kind = static_cast<std::uint16_t>(MessageKind::CataloguePull);
    if (auto error = client->callAndWait(kind, net::encode(request), deadline, bytes))
        return error;
    return net::decode(bytes, reply) ? std::error_code() : Errc::Malformed;
}

} // namespace agatevane
