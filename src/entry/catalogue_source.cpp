#include "entry/catalogue_source.h"

namespace agatevane::entry {

CatalogueSource::CatalogueSource(asio::io_context& context, store::Client& store, ApplySnapshot applySnapshot)
    : feed_(
        store,
        [rpcPuller = std::make_shared<RpcPuller>(context)](const CataloguePeer& peer,
            const CataloguePullRequest& request, Instant deadline,
            CataloguePullReply& reply) { return (*rpcPuller)(peer, request, deadline, reply); },
        [applySnapshot = std::move(applySnapshot)](
            const std::shared_ptr<const Catalogue>& catalogue) { applySnapshot(makeSnapshot(*catalogue)); })
{
}

void CatalogueSource::tick()
{
    // The time is taken before the status is read, so that a pause in between does not extend the proof.
    auto at = now();
    if (auto age = feed_.status().proofAge)
        freshUntil_.store(at - *age + freshnessLimit, std::memory_order_release);
}

void CatalogueSource::setPeers(const MemberAddresses& peers)
{
    std::lock_guard lock(peersMutex_);
    peers_.clear();
    for (const auto& [member, address] : peers)
        peers_.push_back({ member, address, 0 });
    feed_.setPeers(peers_);
}

void CatalogueSource::raisePeerRevision(const MemberId& peer, std::int64_t revision)
{
    std::lock_guard lock(peersMutex_);
    for (auto& known : peers_) {
        if (known.member == peer && known.revision < revision) {
            known.revision = revision;
            feed_.setPeers(peers_);
            return;
        }
    }
}

} // namespace agatevane::entry
