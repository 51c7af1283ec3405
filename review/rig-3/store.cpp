#include "store.h"

#include <algorithm>
#include <set>

namespace rig {

namespace {

    constexpr int writesPerS = 400;
    constexpr int readsPerS = 2000;
    constexpr std::int64_t historyMs = 20000;
    constexpr std::size_t maxItemsPerPage = 500;
    constexpr std::size_t maxBytesPerPage = 1000000;
    constexpr std::size_t maxTxnEntries = 32;

    std::size_t decodedSize(const std::string& base64)
    {
        auto padding = std::count(base64.begin(), base64.end(), '=');
        return base64.size() / 4 * 3 - static_cast<std::size_t>(padding);
    }

    std::int64_t numberOf(const Json& body, const char* name)
    {
        auto found = body.find(name);
        return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
    }

    int digitOf(char digit)
    {
        return std::isdigit(static_cast<unsigned char>(digit)) ? digit - '0' : (digit | 32) - 'a' + 10;
    }

} // namespace

std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t n = 0; n < 3; ++n)
            group = group << 8 | (at + n < bytes.size() ? static_cast<unsigned char>(bytes[at + n]) : 0U);
        for (std::size_t n = 0; n < 4; ++n)
            text += at + n > bytes.size() ? '=' : digits[group >> (18 - 6 * n) & 63];
    }
    return text;
}

std::string parameterOf(const std::string& target, const std::string& name)
{
    auto at = target.find("?" + name + "=");
    if (at == std::string::npos)
        at = target.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    at += name.size() + 2;
    auto text = target.substr(at, target.find('&', at) - at);
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            decoded += static_cast<char>(digitOf(text[n + 1]) * 16 + digitOf(text[n + 2]));
            n += 2;
        } else {
            decoded += text[n];
        }
    }
    return decoded;
}

bool Store::isWithin(Rate& rate, int limit)
{
    auto second = steadyMs() / 1000;
    if (rate.second != second)
        rate = { second, 0 };
    return ++rate.calls <= limit;
}

void Store::handle(const Request& request, const Server::Respond& respond)
{
    removeExpiredLeases();
    auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/api/kv-key" || path == "/api/kv-range" || path == "/api/kv-watch") {
        if (!isWithin(reads_, readsPerS))
            return respond(429, "{}");
        auto number = [&](const char* name) {
            auto text = parameterOf(request.target, name);
            return text.empty() ? 0 : std::stoll(text);
        };
        if (path == "/api/kv-key")
            return getKey(parameterOf(request.target, "key"), respond);
        if (path == "/api/kv-range")
            return range(parameterOf(request.target, "prefix"), parameterOf(request.target, "after"), respond);
        return watch(
            { parameterOf(request.target, "prefix"), number("after"), steadyMs() + number("waitMs"), respond });
    }
    auto body = Json::parse(request.body, nullptr, false);
    if (path == "/api/kv-txn")
        return isWithin(writes_, writesPerS) ? commit(body, respond) : respond(429, "{}");
    if (path == "/api/kv-lease") {
        auto ttl = std::max<std::int64_t>(1000, numberOf(body, "ttlMs"));
        leases_[++lastLease_] = { ttl, steadyMs() + ttl };
        return respond(200, Json { { "lease", lastLease_ }, { "ttlMs", ttl } }.dump());
    }
    auto id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    auto lease = leases_.find(id);
    if (lease == leases_.end())
        return respond(404, "{}");
    if (path.starts_with("/api/kv-keep/")) {
        lease->second.endsAtMs = steadyMs() + lease->second.ttlMs;
        return respond(200, Json { { "ttlMs", lease->second.ttlMs } }.dump());
    }
    endLease(id);
    respond(200, "{}");
}

void Store::tick()
{
    removeExpiredLeases();
    while (!history_.empty() && history_.front().atMs + historyMs < steadyMs()) {
        compactedTo_ = history_.front().revision;
        history_.pop_front();
    }
    std::erase_if(watches_, [this](const Watch& waiting) {
        if (answerIfChanged(waiting))
            return true;
        if (steadyMs() < waiting.untilMs)
            return false;
        waiting.respond(200, Json { { "events", Json::array() }, { "asOf", revision_ } }.dump());
        return true;
    });
}

void Store::put(const std::string& key, const std::string& value)
{
    ++revision_;
    write(key, encodeBase64(value), 0);
}

std::string Store::get(const std::string& key) const
{
    auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value;
}

Json Store::describe(const std::string& key, const Item& item)
{
    return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created },
        { "lease", item.lease } };
}

void Store::getKey(const std::string& key, const Server::Respond& respond) const
{
    auto found = items_.find(key);
    if (found == items_.end())
        return respond(404, Json { { "asOf", revision_ } }.dump());
    auto item = describe(key, found->second);
    item["asOf"] = revision_;
    respond(200, item.dump());
}

void Store::range(const std::string& prefix, const std::string& after, const Server::Respond& respond) const
{
    auto items = Json::array();
    std::size_t bytes = 0;
    auto each = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
    for (; each != items_.end() && each->first.starts_with(prefix); ++each) {
        if (items.size() >= maxItemsPerPage || (!items.empty() && bytes + each->second.value.size() > maxBytesPerPage))
            break;
        bytes += each->second.value.size();
        items.push_back(describe(each->first, each->second));
    }
    bool hasMore = each != items_.end() && each->first.starts_with(prefix);
    respond(200, Json { { "items", items }, { "hasMore", hasMore }, { "asOf", revision_ } }.dump());
}

void Store::watch(const Watch& watch)
{
    if (watch.after < compactedTo_)
        return watch.respond(410, "{}");
    if (!answerIfChanged(watch))
        watches_.push_back(watch);
}

bool Store::answerIfChanged(const Watch& watch) const
{
    auto events = Json::array();
    auto first = std::upper_bound(history_.begin(), history_.end(), watch.after,
        [](std::int64_t after, const Change& change) { return after < change.revision; });
    for (auto change = first; change != history_.end(); ++change) {
        if (!change->key.starts_with(watch.prefix))
            continue;
        if (change->isRemoval)
            events.push_back({ { "key", change->key }, { "revision", change->revision }, { "removed", true } });
        else
            events.push_back(describe(change->key, change->item));
    }
    if (events.empty())
        return false;
    watch.respond(200, Json { { "events", events }, { "asOf", revision_ } }.dump());
    return true;
}

void Store::commit(const Json& body, const Server::Respond& respond)
{
    if (!body.is_object())
        return respond(400, "{}");
    auto rows = [&body](const char* name) { return body.contains(name) ? body.at(name) : Json::array(); };
    auto conditions = rows("expectedRevision");
    auto puts = rows("puts");
    auto deletes = rows("deletes");
    if (conditions.size() + puts.size() + deletes.size() > maxTxnEntries)
        return respond(400, R"({"error":"too many entries"})");
    auto current = Json::array();
    bool holds = true;
    for (const auto& condition : conditions) {
        auto key = condition.at("key").get<std::string>();
        auto found = items_.find(key);
        holds = holds && (found == items_.end() ? 0 : found->second.revision) == numberOf(condition, "revision");
        if (found != items_.end())
            current.push_back(describe(key, found->second));
    }
    if (!holds)
        return respond(412, Json { { "items", current } }.dump());
    for (const auto& put : puts) {
        auto size = decodedSize(put.at("value").get_ref<const std::string&>());
        if (size > valueBytes) {
            ++oversizedTxns_;
            largestRefused_ = std::max(largestRefused_, size);
            return respond(400, R"({"error":"a value has more than valueBytes"})");
        }
        if (auto lease = numberOf(put, "lease"); lease != 0 && !leases_.contains(lease))
            return respond(404, "{}");
    }
    ++revision_;
    for (const auto& put : puts)
        write(put.at("key"), put.at("value"), numberOf(put, "lease"));
    for (const auto& key : deletes)
        remove(key);
    lastCommitMs_ = steadyMs();
    respond(200, Json { { "revision", revision_ } }.dump());
}

void Store::write(const std::string& key, const std::string& value, std::int64_t lease)
{
    auto& item = items_[key];
    item.created = item.created == 0 ? revision_ : item.created;
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    history_.push_back({ revision_, steadyMs(), key, item, false });
}

void Store::remove(const std::string& key)
{
    if (items_.erase(key) > 0)
        history_.push_back({ revision_, steadyMs(), key, {}, true });
}

void Store::endLease(std::int64_t lease)
{
    leases_.erase(lease);
    std::set<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease == lease)
            keys.insert(key);
    }
    revision_ += keys.empty() ? 0 : 1;
    for (const auto& key : keys)
        remove(key);
}

void Store::removeExpiredLeases()
{
    std::set<std::int64_t> ended;
    for (const auto& [id, lease] : leases_) {
        if (steadyMs() >= lease.endsAtMs)
            ended.insert(id);
    }
    for (auto id : ended)
        endLease(id);
}

} // namespace rig
