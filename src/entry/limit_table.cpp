#include "entry/limit_table.h"

#include "agatevane/net/archive.h"
#include "agatevane/peer_api/messages.h"

namespace agatevane::entry {

namespace {

    constexpr Millis replyTimeout { 500 };

} // namespace

LimitTable::LimitTable(asio::io_context& context, const MemberId& self, const MemberAddresses& peers)
    : started_(now())
{
    auto random = makeRandom();
    incarnation_ = self.value + "/" + randomToken(random);
    for (const auto& [member, address] : peers) {
        if (member != self)
            peers_.push_back(std::make_unique<net::RpcClient>(context, address));
    }
}

void LimitTable::configure(const std::map<std::string, double>& limits, int members)
{
    std::lock_guard lock(mutex_);
    auto at = now();
    std::erase_if(limits_, [&limits](const auto& item) { return !limits.contains(item.first); });
    for (const auto& [key, limit] : limits) {
        auto [found, isNew] = limits_.try_emplace(key, limits::makeLimit(limit, members, at));
        if (isNew)
            // Only the start of the process can have lost grants; a limit that is new in the catalogue has none.
            found->second.startedAt = started_;
        else
            limits::update(found->second, limit, members, at);
    }
}

std::optional<Millis> LimitTable::tryAdmit(const std::vector<std::string>& keys)
{
    std::lock_guard lock(mutex_);
    auto at = now();
    std::vector<limits::Limit*> taken;
    for (const auto& key : keys) {
        auto found = limits_.find(key);
        if (found == limits_.end())
            continue;
        if (limits::tryAdmit(found->second, at)) {
            taken.push_back(&found->second);
            continue;
        }
        for (auto* limit : taken)
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
        limits::BorrowRequest request { key, { incarnation_, ++lastNumber_ }, wanted };
        limits::registerBorrowRequest(limit, request.id, at);
        // Each peer in turn, since one that has nothing to spare now will have nothing a moment later either.
        auto& peer = *peers_[lastNumber_ % peers_.size()];
        peer.call(static_cast<std::uint16_t>(MessageKind::BorrowLimit), net::encode(request), at + replyTimeout,
            [this, request](std::error_code error, const std::string& bytes) { onReply(request, error, bytes); });
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

void LimitTable::onReply(const limits::BorrowRequest& request, std::error_code error, const std::string& bytes)
{
    limits::BorrowReply reply;
    if (error || !net::decode(bytes, reply) || !(reply.granted <= request.wanted))
        return;
    std::lock_guard lock(mutex_);
    if (auto found = limits_.find(request.key); found != limits_.end())
        limits::onBorrowReply(found->second, request.id, reply.granted, now());
}

} // namespace agatevane::entry
