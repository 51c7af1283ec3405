#include "standins/platform/kv_model.h"

#include "agatevane/base/error.h"
#include <algorithm>

namespace agatevane::standin {

void KvModel::removeExpiredLeases(std::int64_t nowMs)
{
    std::vector<kv::LeaseId> ended;
    for (const auto& [id, lease] : leases_) {
        if (nowMs >= lease.endsAtMs)
            ended.push_back(id);
    }
    for (auto id : ended) {
        leases_.erase(id);
        removeKeysOf(id);
    }
}

void KvModel::removeKeysOf(kv::LeaseId lease)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (!keys.empty())
        ++revision_;
    for (const auto& key : keys)
        remove(key);
}

void KvModel::remove(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    kv::Change change;
    change.item.key = key;
    change.item.revision = revision_;
    change.isRemoval = true;
    history_.push_back(change);
}

bool KvModel::isWithinLimits(const kv::Txn& txn)
{
    constexpr std::size_t maxEntries = 32;
    bool hasLongValue = false;
    for (const auto& put : txn.puts) {
        if (put.value.size() <= maxValueBytes_)
            continue;
        hasLongValue = true;
        longestRefusedValue_ = std::max(longestRefusedValue_, put.value.size());
    }
    return !hasLongValue && txn.conditions.size() + txn.puts.size() + txn.deletes.size() <= maxEntries;
}

kv::TxnResult KvModel::commit(const kv::Txn& txn, std::int64_t nowMs)
{
    removeExpiredLeases(nowMs);
    kv::TxnResult result;
    bool holds = true;
    for (const auto& condition : txn.conditions) {
        auto found = items_.find(condition.key);
        auto revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == condition.revision;
        if (found != items_.end())
            result.current.push_back(found->second);
    }
    if (!holds) {
        result.error = Errc::Conflict;
        return result;
    }
    result.current.clear();
    if (!isWithinLimits(txn)) {
        result.error = Errc::Refused;
        result.isRefusalLasting = true;
        return result;
    }
    for (const auto& put : txn.puts) {
        if (put.lease != 0 && !leases_.contains(put.lease)) {
            result.error = Errc::Refused;
            result.hasLeaseEnded = true;
            return result;
        }
    }
    ++revision_;
    for (const auto& put : txn.puts) {
        kv::Item item { put.key, put.value, revision_, put.lease };
        items_[put.key] = item;
        history_.push_back({ item, false });
    }
    for (const auto& key : txn.deletes)
        remove(key);
    result.revision = revision_;
    return result;
}

kv::ReadResult KvModel::get(const std::string& key, std::int64_t nowMs)
{
    removeExpiredLeases(nowMs);
    kv::ReadResult result;
    result.asOf = revision_;
    if (auto found = items_.find(key); found != items_.end())
        result.items.push_back(found->second);
    return result;
}

kv::ReadResult KvModel::list(const std::string& prefix, std::int64_t nowMs)
{
    removeExpiredLeases(nowMs);
    kv::ReadResult result;
    result.asOf = revision_;
    for (auto each = items_.lower_bound(prefix); each != items_.end() && each->first.starts_with(prefix); ++each)
        result.items.push_back(each->second);
    return result;
}

kv::WatchResult KvModel::changes(const std::string& prefix, kv::Revision after, std::int64_t nowMs)
{
    removeExpiredLeases(nowMs);
    kv::WatchResult result;
    result.asOf = revision_;
    if (after < compactedTo_) {
        result.error = Errc::Refused;
        result.isHistoryCompacted = true;
        return result;
    }
    for (const auto& change : history_) {
        if (change.item.revision > after && change.item.key.starts_with(prefix))
            result.changes.push_back(change);
    }
    return result;
}

kv::LeaseId KvModel::grant(std::int64_t ttlMs, std::int64_t nowMs)
{
    removeExpiredLeases(nowMs);
    leases_[++lastLease_] = { ttlMs, nowMs + ttlMs };
    return lastLease_;
}

bool KvModel::renew(kv::LeaseId lease, std::int64_t nowMs)
{
    removeExpiredLeases(nowMs);
    auto found = leases_.find(lease);
    if (found == leases_.end())
        return false;
    found->second.endsAtMs = nowMs + found->second.ttlMs;
    return true;
}

bool KvModel::endLease(kv::LeaseId lease, std::int64_t nowMs)
{
    removeExpiredLeases(nowMs);
    if (leases_.erase(lease) == 0)
        return false;
    removeKeysOf(lease);
    return true;
}

void KvModel::compact()
{
    compactedTo_ = revision_;
    history_.clear();
}

} // namespace agatevane::standin
