#include "entry/limit_table.h"

#include "agatevane/net/archive.h"
#include "agatevane/peer_api/messages.h"

namespace agatevane::entry {

namespace {

    constexpr Millis replyTimeout { 500 };

} // namespace

LimitTable::LimitTable(asio::io_context& context, const MemberId& self, const MemberAddresses& peers)
    : startedAt_(now())
{
    auto random = makeRandom();
    incarnation_ = self.value + "/" + randomToken(random);
    for (const auto& [member, address] : peers) {
        if (member != self)
            peers_.push_back(std::make_unique<net::RpcClient>(context, address));
    }
}

void LimitTable::configure(const std::map<std::string, double>& limits, int entryVmCount)
{
    std::lock_guard lock(mutex_);
    auto at = now();
    std::erase_if(limits_, [&limits](const auto& item) { return !limits.contains(item.first); });
    for (const auto& [key, limit] : limits) {
        auto [found, isNew] = limits_.try_emplace(key, limits::makeLimit(limit, entryVmCount, at));
        if (isNew)
            // Only a restart of the process can lose grants, so the limit gets the start time of the process. A
            // limit that is new in the catalogue has lost none.
            found->second.startedAt = startedAt_;
        else
            limits::update(found->second, limit, entryVmCount, at);
    }
}

std::optional<Millis> LimitTable::tryAdmit(const std::vector<std::string>& keys)
{
    std::lock_guard lock(mutex_);
    auto at = now();
    std::vector<limits::Limit*> reducedLimits;
    for (const auto& key : keys) {
        auto found = limits_.find(key);
        if (found == limits_.end())
            continue;
        if (limits::tryAdmit(found->second, at)) {
            reducedLimits.push_back(&found->second);
            continue;
        }
        for (auto* limit : reducedLimits)
            limits::returnToken(*limit);
        return limits::timeUntilToken(found->second, at);
    }
    return std::nullopt;
}

void LimitTable::borrow()
{
    if (peers_.empty())
        return;
    std::lock_guard lock(mutex_);
    auto at = now();
    for (auto& [key, limit] : limits_) {
        limits::expire(limit, at);
        double wanted = limits::rateToBorrow(limit, at);
        if (wanted <= 0)
            continue;
        limits::BorrowRequest request { key, { incarnation_, ++lastRequestNumber_ }, wanted };
        limits::registerBorrowRequest(limit, request.id, at);
        // The requests go to the peers in turn, since a peer without spare tokens is unlikely to have some a moment
        // later.
        auto& peer = *peers_[lastRequestNumber_ % peers_.size()];
        peer.call(static_cast<std::uint16_t>(MessageKind::BorrowLimit), net::encode(request), at + replyTimeout,
            [this, request](
                std::error_code error, const std::string& bytes) { handleBorrowReply(request, error, bytes); });
    }
}

limits::BorrowReply LimitTable::lend(const limits::BorrowRequest& request)
{
    std::lock_guard lock(mutex_);
    auto found = limits_.find(request.key);
    if (found == limits_.end())
        return {};
    return { limits::onBorrowRequest(found->second, request.id, request.wanted, now()) };
}

void LimitTable::handleBorrowReply(
    const limits::BorrowRequest& request, std::error_code error, const std::string& bytes)
{
    limits::BorrowReply reply;
    if (error || !net::decode(bytes, reply) || !(reply.granted <= request.wanted))
        return;
    std::lock_guard lock(mutex_);
    if (auto found = limits_.find(request.key); found != limits_.end())
        limits::onBorrowReply(found->second, request.id, reply.granted, now());
}

} // namespace agatevane::entry
