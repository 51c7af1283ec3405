#include "standins/store/memory_store.h"

#include "agatevane/base/base64.h"
#include <algorithm>

namespace agatevane::standin {

namespace {

    constexpr std::size_t maxEventsInMessage = 500;

    Json leaseAnswer(Json header, std::int64_t id, std::int64_t ttlSeconds)
    {
        return { { "header", std::move(header) }, { "ID", std::to_string(id) }, { "TTL", std::to_string(ttlSeconds) } };
    }

} // namespace

Json MemoryStore::grantLease(const Json& request, Instant at)
{
    std::lock_guard lock(mutex_);
    auto ttl = std::max<std::int64_t>(1, numberOf(request, "TTL"));
    auto id = numberOf(request, "ID");
    if (id == 0)
        id = ++nextLease_;
    if (leases_.contains(id))
        throw StoreError { 9, "etcdserver: lease already exists" };
    leases_[id] = { ttl, at + std::chrono::seconds(ttl), {} };
    return leaseAnswer(header(), id, ttl);
}

Json MemoryStore::keepLeaseAlive(const Json& request, Instant at)
{
    std::lock_guard lock(mutex_);
    auto id = numberOf(request, "ID");
    auto found = leases_.find(id);
    std::int64_t ttl = 0;
    if (found != leases_.end()) {
        ttl = found->second.ttlSeconds;
        found->second.expiry = at + std::chrono::seconds(ttl);
    }
    return { { "result", leaseAnswer(header(), id, ttl) } };
}

Json MemoryStore::revokeLease(const Json& request)
{
    std::lock_guard lock(mutex_);
    auto id = numberOf(request, "ID");
    if (!leases_.contains(id))
        throw StoreError { 5, "etcdserver: requested lease not found" };
    Write write { revision_ + 1 };
    endLease(id, write);
    commit(write);
    return { { "header", header() } };
}

void MemoryStore::expireLeases(Instant at)
{
    std::lock_guard lock(mutex_);
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : leases_) {
        if (lease.expiry <= at)
            ended.push_back(id);
    }
    for (auto id : ended) {
        Write write { revision_ + 1 };
        endLease(id, write);
        commit(write);
    }
}

void MemoryStore::endLease(std::int64_t id, Write& write)
{
    auto keys = leases_[id].keys;
    for (const auto& key : keys)
        deleteLocked(key, "", write);
    leases_.erase(id);
}

WatchCursor MemoryStore::makeCursor(const Json& createRequest)
{
    WatchCursor cursor { bytesOf(createRequest, "key"), bytesOf(createRequest, "range_end"),
        numberOf(createRequest, "start_revision"), flagOf(createRequest, "progress_notify") };
    std::lock_guard lock(mutex_);
    if (cursor.nextRevision == 0)
        cursor.nextRevision = revision_ + 1;
    return cursor;
}

std::optional<Json> MemoryStore::nextEvents(WatchCursor& cursor, Millis wait)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait,
        [&] { return revision_ >= cursor.nextRevision || (cursor.nextRevision <= compacted_ && compacted_ > 0); });
    if (cursor.nextRevision <= compacted_) {
        Json message { { "header", header() }, { "canceled", true },
            { "compact_revision", std::to_string(compacted_) } };
        return Json { { "result", std::move(message) } };
    }
    auto change = std::lower_bound(changes_.begin(), changes_.end(), cursor.nextRevision,
        [](const Change& each, std::int64_t revision) { return each.revision < revision; });
    Json events = Json::array();
    std::int64_t last = cursor.nextRevision - 1;
    for (; change != changes_.end(); ++change) {
        // All events of a revision go into the same message.
        if (events.size() >= maxEventsInMessage && change->revision != last)
            break;
        last = change->revision;
        bool isInRange = change->key == cursor.key
            || (!cursor.rangeEnd.empty() && change->key >= cursor.key
                && (change->key < cursor.rangeEnd || cursor.rangeEnd == std::string(1, '\0')));
        if (!isInRange)
            continue;
        if (const auto* version = find(change->key, change->revision))
            events.push_back({ { "kv", keyValue(change->key, *version, false) } });
        else
            events.push_back({ { "type", "DELETE" },
                { "kv", { { "key", toBase64(change->key) }, { "mod_revision", std::to_string(change->revision) } } } });
    }
    cursor.nextRevision = last + 1;
    if (events.empty())
        return std::nullopt;
    return Json { { "result", { { "header", header() }, { "events", std::move(events) } } } };
}

Json MemoryStore::progress(WatchCursor& cursor)
{
    std::lock_guard lock(mutex_);
    auto position = header();
    position["revision"] = std::to_string(cursor.nextRevision - 1);
    return { { "result", { { "header", std::move(position) } } } };
}

} // namespace agatevane::standin
