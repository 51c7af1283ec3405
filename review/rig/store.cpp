#include "rig/store.h"

#include "agatevane/base/base64.h"
#include "agatevane/base/error.h"

namespace review {

using nlohmann::json;
using namespace agatevane;

namespace {

    constexpr std::size_t maxItemsPerPage = 500;
    constexpr Millis watchCheckInterval { 5 };
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConditionFailed = 412;
    constexpr int statusUnavailable = 503;

    std::string unescape(std::string_view text)
    {
        std::string plain;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(std::string(text.substr(at + 1, 2)), nullptr, 16));
                at += 2;
            } else {
                plain += text[at];
            }
        }
        return plain;
    }

    std::map<std::string, std::string> queryOf(std::string_view target)
    {
        std::map<std::string, std::string> query;
        auto mark = target.find('?');
        auto rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
        while (!rest.empty()) {
            auto part = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(rest.size(), part.size() + 1));
            if (auto equals = part.find('='); equals != std::string_view::npos)
                query[std::string(part.substr(0, equals))] = unescape(part.substr(equals + 1));
        }
        return query;
    }

    json encodeItem(const kv::Item& item)
    {
        return { { "key", item.key }, { "value", toBase64(item.value) }, { "revision", item.revision },
            { "created", item.revision }, { "lease", item.lease } };
    }

    kv::Txn decodeTxn(const json& body)
    {
        kv::Txn txn;
        for (const auto& row : body.value("expectedRevision", json::array()))
            txn.conditions.push_back({ row.at("key"), row.at("revision") });
        for (const auto& row : body.value("puts", json::array()))
            txn.puts.push_back({ row.at("key"), fromBase64(row.at("value").get<std::string>()).value_or(""),
                row.value("lease", std::int64_t { 0 }) });
        for (const auto& key : body.value("deletes", json::array()))
            txn.deletes.push_back(key);
        return txn;
    }

} // namespace

event_http::Response jsonResponse(int status, const json& body)
{
    return { status, { { "content-type", "application/json" } }, body.dump() };
}

Store::Store(asio::io_context& context, Record& record)
    : context_(context)
    , record_(record)
    , server_(std::make_unique<event_http::Server>(
          context, [this](const Request& request, const Respond& respond) { handle(request, respond); }))
{
    if (server_->listen("127.0.0.1", 0))
        throw std::runtime_error("the store can't listen");
}

std::int64_t Store::millis() const
{
    return (isDown_ ? downSinceMs_ : rigMillis()) - pausedMs_;
}

void Store::setDown(bool isDown)
{
    if (isDown == isDown_)
        return;
    record_.line(isDown ? "store goes down: answers 503" : "store is back");
    if (isDown)
        downSinceMs_ = rigMillis();
    else
        pausedMs_ += rigMillis() - downSinceMs_;
    isDown_ = isDown;
}

void Store::put(const std::string& key, const std::string& value)
{
    kv_.commit({ {}, { { key, value, 0 } }, {} }, millis());
}

void Store::handle(const Request& request, const Respond& respond)
{
    auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/api/machines")
        return respond(jsonResponse(statusOk, { { "machines", json::array() }, { "nextPageToken", nullptr } }));
    if (isDown_)
        return respond(jsonResponse(statusUnavailable));
    if (request.method == "GET")
        return read(path, queryOf(request.target), respond);
    auto body = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    if (body.is_discarded())
        return respond(jsonResponse(statusNotFound));
    write(request.method, path, body, respond);
}

void Store::read(const std::string& path, std::map<std::string, std::string> query, const Respond& respond)
{
    if (path == "/api/kv-key") {
        auto result = kv_.get(query["key"], millis());
        if (result.items.empty())
            return respond(jsonResponse(statusNotFound));
        auto body = encodeItem(result.items.front());
        body["asOf"] = result.asOf;
        return respond(jsonResponse(statusOk, body));
    }
    if (path == "/api/kv-range") {
        auto result = kv_.list(query["prefix"], millis());
        auto items = json::array();
        bool hasMore = false;
        for (const auto& item : result.items) {
            if (item.key <= query["after"])
                continue;
            hasMore = items.size() >= maxItemsPerPage;
            if (hasMore)
                break;
            items.push_back(encodeItem(item));
        }
        return respond(jsonResponse(statusOk, { { "items", items }, { "hasMore", hasMore }, { "asOf", result.asOf } }));
    }
    if (path == "/api/kv-watch")
        return watch(query["prefix"], std::stoll("0" + query["after"]), rigMillis() + std::stoll("0" + query["waitMs"]),
            respond);
    respond(jsonResponse(statusNotFound));
}

void Store::watch(const std::string& prefix, std::int64_t after, std::int64_t untilMs, const Respond& respond)
{
    if (isDown_)
        return respond(jsonResponse(statusUnavailable));
    auto result = kv_.changes(prefix, after, millis());
    if (result.changes.empty() && rigMillis() < untilMs) {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(watchCheckInterval,
            [this, timer, prefix, after, untilMs, respond] { watch(prefix, after, untilMs, respond); });
        return;
    }
    auto events = json::array();
    for (const auto& change : result.changes) {
        if (change.isRemoval)
            events.push_back({ { "key", change.item.key }, { "revision", change.item.revision }, { "removed", true } });
        else
            events.push_back(encodeItem(change.item));
    }
    respond(jsonResponse(statusOk, { { "events", events }, { "asOf", result.asOf } }));
}

void Store::write(const std::string& method, const std::string& path, const json& body, const Respond& respond)
{
    constexpr std::string_view renewPath = "/api/kv-keep/";
    constexpr std::string_view endLeasePath = "/api/kv-lease-end/";
    auto idIn = [&path](std::string_view prefix) { return std::stoll("0" + path.substr(prefix.size())); };
    if (method == "POST" && path == "/api/kv-txn") {
        auto result = kv_.commit(decodeTxn(body), millis());
        if (!result.error)
            return respond(jsonResponse(statusOk, { { "revision", result.revision } }));
        if (result.error != Errc::Conflict)
            return respond(jsonResponse(statusNotFound));
        auto items = json::array();
        for (const auto& item : result.current)
            items.push_back(encodeItem(item));
        return respond(jsonResponse(statusConditionFailed, { { "items", items } }));
    }
    if (method == "POST" && path == "/api/kv-lease") {
        auto ttlMs = body.value("ttlMs", std::int64_t { 1000 });
        return respond(jsonResponse(statusOk, { { "lease", kv_.grant(ttlMs, millis()) }, { "ttlMs", ttlMs } }));
    }
    bool isDone = (path.starts_with(renewPath) && kv_.renew(idIn(renewPath), millis()))
        || (path.starts_with(endLeasePath) && kv_.endLease(idIn(endLeasePath), millis()));
    respond(jsonResponse(isDone ? statusOk : statusNotFound));
}

} // namespace review
