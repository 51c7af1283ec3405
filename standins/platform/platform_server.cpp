#include "standins/platform/platform_server.h"

#include "agatevane/base/base64.h"
#include "agatevane/base/error.h"
#include "agatevane/json/reader.h"
#include "platform/wire.h"
#include "standins/platform/published_address.h"
#include "standins/platform/replies.h"

namespace agatevane::standin {

namespace {

    using event_http::Request;
    using nlohmann::json;

    constexpr int statusConditionFailed = 412;
    constexpr auto publishInterval = Millis(200);
    //! Granularity of the published remaining time: a draining worker's entry is rewritten once per step.
    constexpr std::int64_t timeLeftStepMs = 500;

    std::string unescape(std::string_view text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        auto mark = target.find('?');
        auto rest = mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
        while (!rest.empty()) {
            auto part = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(rest.size(), part.size() + 1));
            auto equals = part.find('=');
            if (equals != std::string_view::npos)
                query[std::string(part.substr(0, equals))] = unescape(part.substr(equals + 1));
        }
        return query;
    }

    std::string replaceAll(std::string text, std::string_view from, std::string_view to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
        return text;
    }

    //! Encodes an item as a node sees it that reaches the workers at `workersAddress`; empty: at the published address.
    json encodeItem(const kv::Item& item, const std::string& workersAddress)
    {
        auto value
            = workersAddress.empty() ? item.value : replaceAll(item.value, publishedWorkersAddress, workersAddress);
        return { { "key", item.key }, { "value", toBase64(value) }, { "revision", item.revision },
            { "created", item.revision }, { "lease", item.lease } };
    }

    json encodeChange(const kv::Change& change, const std::string& workersAddress)
    {
        if (!change.isRemoval)
            return encodeItem(change.item, workersAddress);
        return { { "key", change.item.key }, { "revision", change.item.revision }, { "removed", true } };
    }

    kv::Txn decodeTxn(const json& body, const std::string& workersAddress)
    {
        kv::Txn txn;
        for (const auto& row : body.value("expectedRevision", json::array()))
            txn.conditions.push_back({ row.at("key"), row.at("revision") });
        for (const auto& row : body.value("puts", json::array()))
            txn.puts.push_back({ row.at("key"), fromBase64(row.at("value").get<std::string>()).value_or(""),
                row.value("lease", std::int64_t { 0 }) });
        for (auto& put : txn.puts) {
            if (!workersAddress.empty())
                put.value = replaceAll(put.value, workersAddress, publishedWorkersAddress);
        }
        for (const auto& key : body.value("deletes", json::array()))
            txn.deletes.push_back(key);
        return txn;
    }

} // namespace

PlatformServer::PlatformServer(asio::io_context& context, const PlatformOptions& options)
    : context_(context)
    , options_(options)
    , workers_(options.times)
    , publishTimer_(context)
{
}

bool PlatformServer::start()
{
    controlServer_ = std::make_unique<event_http::Server>(
        context_, [this](const Request& request, const Respond& respond) { handleControl(request, respond); });
    machinesServer_ = std::make_unique<event_http::Server>(
        context_, [this](const Request& request, const Respond& respond) { handleMachines(request, respond); });
    if (addStoreView({}) == 0 || controlServer_->listen(options_.address, 0)
        || machinesServer_->listen(options_.address, 0))
        return false;
    for (int n = 0; n < options_.workers; ++n) {
        fleet::WorkerListing listing;
        listing.id = "i-" + std::to_string(100 + n);
        listing.service = options_.service;
        listing.zone = "zone-a";
        listing.rack = "r" + std::to_string(n / options_.workersPerRack);
        listing.labels = { "a", listing.rack };
        listing.capacity = { 64000, 131072, 8 };
        if (!addWorker(listing))
            return false;
        machines_["m-" + std::to_string(100 + n)].worker = listing.id;
    }
    publishWorkers();
    return true;
}

int PlatformServer::addStoreView(const std::string& workersAddress)
{
    auto& view = views_.emplace_back();
    view.workersAddress = workersAddress;
    view.server = std::make_unique<event_http::Server>(context_,
        [this, &view](const Request& request, const Respond& respond) { handleStore(view, request, respond); });
    return view.server->listen(options_.address, 0) ? 0 : view.server->port();
}

//! False if the worker's port can't be bound.
bool PlatformServer::addWorker(const fleet::WorkerListing& listing)
{
    auto& endpoint = endpoints_[listing.id];
    endpoint.worker = listing.id;
    if (!serveWorker(endpoint, 0))
        return false;
    auto listingWithAddress = listing;
    listingWithAddress.address = { options_.address, endpoint.server->port() };
    workers_.addWorker(listingWithAddress, modelMillis());
    return true;
}

//! Starts a new incarnation at the same address and closes the connections of the earlier one. False if the port can't
//! be bound again.
bool PlatformServer::restartWorker(const fleet::WorkerId& worker)
{
    workers_.restart(worker, modelMillis());
    auto& endpoint = endpoints_.at(worker);
    auto port = endpoint.server->port();
    endpoint.server.reset();
    return serveWorker(endpoint, port);
}

//! False if the port can't be bound.
bool PlatformServer::serveWorker(Endpoint& endpoint, int port)
{
    endpoint.server = std::make_unique<event_http::Server>(
        context_, [this, id = endpoint.worker](const Request& request, const Respond& respond) {
            handleWorker(id, request, respond);
        });
    return !endpoint.server->listen(options_.address, port);
}

//! Writes changed worker entries to the store and removes the entries of workers that are down.
void PlatformServer::publishWorkers()
{
    publishTimer_.arm(publishInterval, [this] { publishWorkers(); });
    finishUpkeeps();
    if (faults_.isDown)
        return;
    std::map<fleet::WorkerId, std::string> current;
    for (const auto& listing : workers_.listings(modelMillis())) {
        if (endpoints_.at(listing.id).isUnlisted)
            continue;
        const auto& published = endpoints_.at(listing.id).publishedAddress;
        json entry { { "service", listing.service },
            { "address",
                published.empty() ? listing.address.address + ":" + std::to_string(listing.address.port) : published },
            { "zone", listing.zone }, { "version", "v1" }, { "slots", 8 },
            { "state", listing.isDraining ? "draining" : "ready" }, { "born", listing.incarnation },
            { "capacity",
                { { "cpu", listing.capacity.milliCores }, { "taskMemoryMb", listing.capacity.memoryMiB },
                    { "gpu", listing.capacity.accelerators } } },
            { "labels", listing.labels } };
        if (listing.timeLeft)
            entry["remainingMs"] = listing.timeLeft->count() / timeLeftStepMs * timeLeftStepMs;
        current[listing.id] = entry.dump();
    }
    // Each worker writes its own entry.
    for (const auto& [id, text] : current) {
        if (published_[id] != text)
            kv_.commit({ {}, { { "servers/" + id, text, 0 } }, {} }, modelMillis());
    }
    for (const auto& [id, text] : published_) {
        if (!current.contains(id))
            kv_.commit({ {}, {}, { "servers/" + id } }, modelMillis());
    }
    published_ = std::move(current);
}

void PlatformServer::handleStore(const StoreView& view, const Request& request, const Respond& respond)
{
    if (faults_.isDown || view.isRefusing)
        return respond(reply(platform::statusUnavailable));
    auto execute = [this, &view, request, respond] {
        if (request.method == "GET")
            handleRead(view, request, respond);
        else
            handleWrite(view, request, respond);
    };
    if (faults_.unansweredDelayMs > 0 && request.method != "GET")
        return runAfter(
            faults_.unansweredDelayMs, [this, &view, request] { handleWrite(view, request, [](const Response&) {}); });
    if (faults_.delayMs == 0)
        return execute();
    runAfter(faults_.delayMs, execute);
}

void PlatformServer::runAfter(int delayMs, const std::function<void()>& action)
{
    auto timer = std::make_shared<node::Timer>(context_);
    timer->arm(Millis(delayMs), [timer, action] { action(); });
}

void PlatformServer::handleRead(const StoreView& view, const Request& request, const Respond& respond)
{
    auto path = pathOf(request.target);
    auto query = queryOf(request.target);
    if (path == "/api/kv-key") {
        auto result = kv_.get(query["key"], modelMillis());
        if (result.items.empty())
            return respond(reply(statusNotFound));
        auto body = encodeItem(result.items.front(), view.workersAddress);
        body["asOf"] = result.asOf;
        return respond(reply(platform::statusOk, body));
    }
    if (path == "/api/kv-range") {
        auto result = kv_.list(query["prefix"], modelMillis());
        auto items = json::array();
        for (const auto& item : result.items) {
            if (item.key > query["after"])
                items.push_back(encodeItem(item, view.workersAddress));
        }
        return respond(
            reply(platform::statusOk, { { "items", items }, { "hasMore", false }, { "asOf", result.asOf } }));
    }
    if (path == "/api/kv-watch")
        return waitForChanges(view, query["prefix"], std::stoll("0" + query["after"]),
            modelMillis() + std::stoll("0" + query["waitMs"]), respond);
    respond(reply(statusNotFound));
}

void PlatformServer::waitForChanges(
    const StoreView& view, const std::string& prefix, kv::Revision after, std::int64_t untilMs, const Respond& respond)
{
    auto result = kv_.changes(prefix, after, modelMillis());
    if (result.isHistoryCompacted)
        return respond(reply(platform::statusGone));
    if (result.changes.empty() && modelMillis() < untilMs) {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(recheckInterval, [this, &view, timer, prefix, after, untilMs, respond] {
            waitForChanges(view, prefix, after, untilMs, respond);
        });
        return;
    }
    auto events = json::array();
    for (const auto& change : result.changes)
        events.push_back(encodeChange(change, view.workersAddress));
    respond(reply(platform::statusOk, { { "events", events }, { "asOf", result.asOf } }));
}

void PlatformServer::handleWrite(const StoreView& view, const Request& request, const Respond& respond)
{
    auto path = pathOf(request.target);
    auto body = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    auto answer = reply(statusNotFound);
    auto idIn = [&path](std::string_view prefix) { return std::stoll("0" + path.substr(prefix.size())); };
    constexpr std::string_view renewPath = "/api/kv-keep/";
    constexpr std::string_view endLeasePath = "/api/kv-lease-end/";
    if (path == "/api/kv-txn" && !body.is_discarded()) {
        auto result = kv_.commit(decodeTxn(body, view.workersAddress), modelMillis());
        auto items = json::array();
        for (const auto& item : result.current)
            items.push_back(encodeItem(item, view.workersAddress));
        if (!result.error)
            answer = reply(platform::statusOk, { { "revision", result.revision } });
        else if (result.error == Errc::Conflict)
            answer = reply(statusConditionFailed, { { "items", items } });
        else if (result.isRefusalLasting)
            answer = reply(platform::statusBadRequest, { { "error", "a limit is exceeded" } });
    } else if (path == "/api/kv-lease" && !body.is_discarded()) {
        auto ttlMs = body.value("ttlMs", std::int64_t { 1000 });
        answer = reply(platform::statusOk, { { "lease", kv_.grant(ttlMs, modelMillis()) }, { "ttlMs", ttlMs } });
    } else {
        bool isDone = (path.starts_with(renewPath) && kv_.renew(idIn(renewPath), modelMillis()))
            || (path.starts_with(endLeasePath) && kv_.endLease(idIn(endLeasePath), modelMillis()));
        if (isDone)
            answer = reply(platform::statusOk);
    }
    if (!faults_.losesAnswers)
        respond(answer);
}

} // namespace agatevane::standin
