#include "store.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace rig {

namespace {

    constexpr std::size_t maxItemsPerPage = 500;
    constexpr std::int64_t answerTimeMs = 2;
    constexpr const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::int64_t numberIn(const HttpRequest& request, const std::string& name)
    {
        auto found = request.query.find(name);
        return found == request.query.end() || found->second.empty() ? 0 : std::stoll(found->second);
    }

    std::string textIn(const HttpRequest& request, const std::string& name)
    {
        auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    }

    HttpReply ok(const Json& body)
    {
        return { 200, body.dump(), Delivery::Answer };
    }

    HttpReply status(int code)
    {
        return { code, "{}", Delivery::Answer };
    }

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

} // namespace

std::string toBase64(const std::string& bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t n = 0; n < 3; ++n)
            group = group << 8U | (at + n < bytes.size() ? static_cast<unsigned char>(bytes[at + n]) : 0U);
        for (std::size_t n = 0; n < 4; ++n)
            text += at + n <= bytes.size() ? alphabet[group >> (18 - 6 * n) & 63U] : '=';
    }
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (char each : text) {
        const auto* found = std::char_traits<char>::find(alphabet, 64, each);
        if (!found)
            break;
        group = group << 6U | static_cast<unsigned>(found - alphabet);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

Store::Store(const std::string& address)
    : address_(address)
{
    std::thread([this] {
        while (true) {
            sleepMs(5);
            std::lock_guard lock(mutex_);
            expireLeases();
        }
    }).detach();
}

int Store::addNode()
{
    auto node = static_cast<int>(servers_.size());
    servers_.push_back(std::make_unique<HttpServer>(
        address_, [this, node](const HttpRequest& request) { return handle(node, request); }));
    return servers_.back()->port();
}

void Store::setAction(std::function<StoreAction(int node, const HttpRequest& request)> action)
{
    std::lock_guard lock(actionMutex_);
    action_ = std::move(action);
}

HttpReply Store::handle(int node, const HttpRequest& request)
{
    auto action = StoreAction::Serve;
    {
        std::lock_guard lock(actionMutex_);
        if (action_)
            action = action_(node, request);
    }
    if (action == StoreAction::Busy)
        return status(503);
    if (action == StoreAction::Silent)
        return { 0, {}, Delivery::NoAnswer };
    if (action == StoreAction::Reset)
        return { 0, {}, Delivery::Reset };
    sleepMs(answerTimeMs);
    if (request.path == "/api/kv-key")
        return get(request);
    if (request.path == "/api/kv-range")
        return range(request);
    if (request.path == "/api/kv-watch")
        return watch(request);
    if (startsWith(request.path, "/api/kv-keep/"))
        return renew(std::stoll(request.path.substr(13)));
    if (startsWith(request.path, "/api/kv-lease-end/"))
        return endLease(std::stoll(request.path.substr(18)));
    auto body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        return status(400);
    if (request.path == "/api/kv-txn")
        return commit(node, body);
    return request.path == "/api/kv-lease" ? grant(body) : status(404);
}

Json Store::encode(const Item& item)
{
    return { { "key", item.key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created },
        { "lease", item.lease } };
}

HttpReply Store::get(const HttpRequest& request)
{
    std::lock_guard lock(mutex_);
    auto found = items_.find(textIn(request, "key"));
    if (found == items_.end())
        return status(404);
    auto body = encode(found->second);
    body["asOf"] = revision_;
    return ok(body);
}

HttpReply Store::range(const HttpRequest& request)
{
    std::lock_guard lock(mutex_);
    auto prefix = textIn(request, "prefix");
    auto after = textIn(request, "after");
    auto items = Json::array();
    bool hasMore = false;
    for (auto each = items_.lower_bound(prefix); each != items_.end() && startsWith(each->first, prefix); ++each) {
        if (!after.empty() && each->first <= after)
            continue;
        hasMore = items.size() >= maxItemsPerPage;
        if (hasMore)
            break;
        items.push_back(encode(each->second));
    }
    return ok({ { "items", items }, { "hasMore", hasMore }, { "asOf", revision_ } });
}

HttpReply Store::watch(const HttpRequest& request)
{
    auto prefix = textIn(request, "prefix");
    auto after = numberIn(request, "after");
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberIn(request, "waitMs"));
    std::unique_lock lock(mutex_);
    while (true) {
        auto events = Json::array();
        for (const auto& event : history_) {
            if (event.item.revision <= after || !startsWith(event.item.key, prefix))
                continue;
            if (event.isRemoval)
                events.push_back(
                    { { "key", event.item.key }, { "revision", event.item.revision }, { "removed", true } });
            else
                events.push_back(encode(event.item));
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until)
            return ok({ { "events", events }, { "asOf", revision_ } });
        changed_.wait_until(lock, until);
    }
}

HttpReply Store::commit(int node, const Json& body)
{
    std::lock_guard lock(mutex_);
    expireLeases();
    auto current = Json::array();
    bool isMet = true;
    for (const auto& row : body.value("expectedRevision", Json::array())) {
        auto found = items_.find(row.at("key"));
        auto revision = found == items_.end() ? 0 : found->second.revision;
        isMet = isMet && revision == row.at("revision").get<std::int64_t>();
        if (found != items_.end())
            current.push_back(encode(found->second));
    }
    if (!isMet)
        return { 412, Json { { "items", current } }.dump(), Delivery::Answer };
    for (const auto& row : body.value("puts", Json::array())) {
        auto lease = row.value("lease", std::int64_t { 0 });
        if (lease != 0 && leases_.count(lease) == 0)
            return status(404);
        std::string key = row.at("key");
        if (startsWith(key, "op/") || startsWith(key, "servers/"))
            return status(403);
    }
    auto revision = ++revision_;
    for (const auto& row : body.value("puts", Json::array()))
        write(row.at("key"), row.at("value"), row.value("lease", std::int64_t { 0 }), revision);
    for (const auto& key : body.value("deletes", Json::array()))
        erase(key, revision);
    changed_.notify_all();
    lastWriter_ = node;
    return ok({ { "revision", revision } });
}

HttpReply Store::grant(const Json& body)
{
    std::lock_guard lock(mutex_);
    auto ttlMs = body.value("ttlMs", std::int64_t { 1000 });
    auto lease = ++lastLease_;
    leases_[lease] = { ttlMs, nowMs() + ttlMs };
    return ok({ { "lease", lease }, { "ttlMs", ttlMs } });
}

HttpReply Store::renew(std::int64_t lease)
{
    std::lock_guard lock(mutex_);
    expireLeases();
    auto found = leases_.find(lease);
    if (found == leases_.end())
        return status(404);
    found->second.endsAtMs = nowMs() + found->second.ttlMs;
    return ok({ { "ttlMs", found->second.ttlMs } });
}

HttpReply Store::endLease(std::int64_t lease)
{
    std::lock_guard lock(mutex_);
    if (leases_.erase(lease) == 0)
        return status(404);
    eraseKeysOf(lease);
    return ok(Json::object());
}

void Store::write(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t revision)
{
    auto& item = items_[key];
    item.created = item.revision == 0 ? revision : item.created;
    item.key = key;
    item.value = value;
    item.revision = revision;
    item.lease = lease;
    history_.push_back({ item, false });
}

void Store::erase(const std::string& key, std::int64_t revision)
{
    if (items_.erase(key) == 0)
        return;
    Event event;
    event.item.key = key;
    event.item.revision = revision;
    event.isRemoval = true;
    history_.push_back(event);
}

void Store::eraseKeysOf(std::int64_t lease)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    auto revision = ++revision_;
    for (const auto& key : keys)
        erase(key, revision);
    changed_.notify_all();
}

void Store::expireLeases()
{
    for (auto each = leases_.begin(); each != leases_.end();) {
        if (nowMs() < each->second.endsAtMs) {
            ++each;
            continue;
        }
        auto lease = each->first;
        each = leases_.erase(each);
        eraseKeysOf(lease);
    }
}

std::int64_t Store::put(const std::string& key, const std::string& bytes)
{
    std::lock_guard lock(mutex_);
    write(key, toBase64(bytes), 0, ++revision_);
    changed_.notify_all();
    return revision_;
}

void Store::remove(const std::string& key)
{
    std::lock_guard lock(mutex_);
    erase(key, ++revision_);
    changed_.notify_all();
}

std::string Store::read(const std::string& key)
{
    std::lock_guard lock(mutex_);
    auto found = items_.find(key);
    return found == items_.end() ? std::string() : fromBase64(found->second.value);
}

} // namespace rig
