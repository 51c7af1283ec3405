#include "standins/store/store_server.h"

#include "agatevane/base/error.h"
#include "agatevane/json/reader.h"

namespace agatevane::standin {

namespace {

    constexpr Millis pollInterval { 50 };
    constexpr Millis maxTurnDelay { 5000 };

    void writeError(http::Response& response, int status, const StoreError& error)
    {
        response.status = status;
        response.body
            = json::dump({ { "error", error.message }, { "code", error.code }, { "message", error.message } });
    }

} // namespace

StoreServer::StoreServer(const StoreSettings& settings)
    : settings_(settings)
    , store_(settings.limits)
    , reads_ { settings.readsPerSecond }
    , writes_ { settings.writesPerSecond }
    , control_(http::ServerLimits { .threads = 4 })
{
}

StoreServer::~StoreServer()
{
    stop();
}

std::error_code StoreServer::start()
{
    port_ = settings_.port;
    if (auto error = listen())
        return error;
    addControlRoutes();
    if (auto error = control_.bind(settings_.address, settings_.controlPort))
        return error;
    control_.start();
    expiryThread_ = std::thread([this] {
        while (!stopped_) {
            store_.expireLeases(now());
            std::this_thread::sleep_for(pollInterval);
        }
    });
    return {};
}

void StoreServer::stop()
{
    if (stopped_.exchange(true))
        return;
    control_.stop();
    if (expiryThread_.joinable())
        expiryThread_.join();
    std::lock_guard lock(serverMutex_);
    closing_ = true;
    server_.reset();
}

std::error_code StoreServer::listen()
{
    std::lock_guard lock(serverMutex_);
    http::ServerLimits limits;
    limits.threads = settings_.threads;
    limits.maxBodyBytes = 4 << 20;
    server_ = std::make_unique<http::Server>(limits);
    closing_ = false;
    auto add = [this](const char* path, Kind kind, std::function<Json(MemoryStore&, const Json&)> operation) {
        server_->route("POST", path,
            [this, kind, operation = std::move(operation)](const http::Request& request, http::Response& response) {
                handle(kind, request.body, response, operation);
            });
    };
    add("/v3/kv/range", Kind::Read, [](MemoryStore& store, const Json& body) { return store.range(body); });
    add("/v3/kv/put", Kind::Write, [](MemoryStore& store, const Json& body) { return store.put(body); });
    add("/v3/kv/txn", Kind::Write, [](MemoryStore& store, const Json& body) { return store.txn(body); });
    add("/v3/kv/deleterange", Kind::Write,
        [](MemoryStore& store, const Json& body) { return store.deleteRange(body); });
    add("/v3/lease/grant", Kind::Lease,
        [](MemoryStore& store, const Json& body) { return store.grantLease(body, now()); });
    add("/v3/lease/keepalive", Kind::Lease,
        [](MemoryStore& store, const Json& body) { return store.keepLeaseAlive(body, now()); });
    add("/v3/lease/revoke", Kind::Lease, [](MemoryStore& store, const Json& body) { return store.revokeLease(body); });
    server_->routeStream(
        "POST", "/v3/watch", [this](const http::Request& request, http::Response&) { return watch(request); });
    // Binding to a port that has just been closed can fail for a short time.
    std::error_code error;
    for (int attempt = 0; attempt < 40; ++attempt) {
        error = server_->bind(settings_.address, port_);
        if (!error)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    if (error)
        return error;
    port_ = server_->port();
    server_->start();
    return {};
}

void StoreServer::setFaults(const StoreFaults& faults)
{
    bool wasDown = false;
    {
        std::lock_guard lock(mutex_);
        wasDown = faults_.down;
        faults_ = faults;
    }
    if (faults.down && !wasDown) {
        std::lock_guard lock(serverMutex_);
        closing_ = true;
        server_.reset();
    } else if (!faults.down && wasDown) {
        listen();
    }
}

StoreFaults StoreServer::faults() const
{
    std::lock_guard lock(mutex_);
    return faults_;
}

bool StoreServer::consumesFault(std::int64_t StoreFaults::*counter, double share)
{
    std::lock_guard lock(mutex_);
    if (faults_.*counter > 0) {
        --(faults_.*counter);
        return true;
    }
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void StoreServer::pause(Millis duration)
{
    auto end = now() + duration;
    while (!closing_ && now() < end)
        std::this_thread::sleep_for(std::min<Instant::duration>(pollInterval, end - now()));
}

bool StoreServer::waitForTurn(Kind kind)
{
    Instant turn;
    {
        std::lock_guard lock(mutex_);
        auto& limit = kind == Kind::Read ? reads_ : writes_;
        if (limit.perSecond <= 0)
            return true;
        auto interval
            = std::chrono::duration_cast<Instant::duration>(std::chrono::duration<double>(1 / limit.perSecond));
        turn = std::max(limit.next, now());
        if (turn > now() + maxTurnDelay)
            return false;
        limit.next = turn + interval;
    }
    std::this_thread::sleep_until(turn);
    return true;
}

void StoreServer::withholdAnswer(http::Response& response)
{
    pause(Millis(settings_.lostAnswerMs));
    writeError(response, 503, { 14, "etcdserver: request timed out" });
}

void StoreServer::handle(Kind kind, const std::string& body, http::Response& response,
    const std::function<Json(MemoryStore&, const Json&)>& operation)
{
    ++counts_[static_cast<std::size_t>(kind)];
    auto current = faults();
    if (current.silent) {
        withholdAnswer(response);
        return;
    }
    if (current.slowMs > 0)
        pause(Millis(current.slowMs));
    if (!waitForTurn(kind)) {
        writeError(response, 429, { 8, "etcdserver: too many requests" });
        return;
    }
    bool isWrite = kind != Kind::Read;
    if (isWrite && consumesFault(&StoreFaults::dropNext, 0)) {
        ++dropped_;
        withholdAnswer(response);
        return;
    }
    Findings findings;
    Json request;
    if (!json::parse(body, "body", request, findings) || !request.is_object()) {
        writeError(response, 400, { 3, "invalid JSON" });
        return;
    }
    try {
        auto answer = operation(store_, request);
        if (isWrite && consumesFault(&StoreFaults::loseNext, current.loseShare)) {
            ++lost_;
            withholdAnswer(response);
            return;
        }
        response.body = json::dump(answer);
    } catch (const StoreError& error) {
        writeError(response, 400, error);
    } catch (const nlohmann::json::exception& error) {
        writeError(response, 400, { 3, error.what() });
    }
}

http::ChunkSource StoreServer::watch(const http::Request& request)
{
    ++watches_;
    Findings findings;
    Json body;
    WatchCursor cursor;
    try {
        if (!json::parse(request.body, "body", body, findings) || !body.contains("create_request"))
            return nullptr;
        cursor = store_.makeCursor(body["create_request"]);
    } catch (const StoreError&) {
        return nullptr;
    }
    auto lastSent = now();
    return [this, cursor, lastSent, isCreated = false](std::string& chunk) mutable {
        if (closing_)
            return false;
        if (faults().silent) {
            std::this_thread::sleep_for(pollInterval);
            return true;
        }
        std::optional<Json> message;
        if (!isCreated) {
            isCreated = true;
            message = Json { { "result",
                { { "header", { { "revision", std::to_string(store_.revision()) } } }, { "created", true } } } };
        } else {
            message = store_.nextEvents(cursor, pollInterval);
            if (!message && cursor.wantsProgress && now() - lastSent >= Millis(settings_.progressMs))
                message = store_.progress(cursor);
        }
        if (!message)
            return true;
        if (auto slow = faults().slowMs; slow > 0)
            pause(Millis(slow));
        lastSent = now();
        chunk = json::dump(*message) + "\n";
        return !(*message)["result"].contains("canceled");
    };
}

Json StoreServer::counters() const
{
    return { { "reads", counts_[0].load() }, { "writes", counts_[1].load() }, { "leaseCalls", counts_[2].load() },
        { "watches", watches_.load() }, { "lost", lost_.load() }, { "dropped", dropped_.load() },
        { "revision", store_.revision() }, { "keys", store_.keyCount() } };
}

void StoreServer::addControlRoutes()
{
    control_.route("GET", "/control/counters",
        [this](const http::Request&, http::Response& response) { response.body = json::dump(counters()); });
    control_.route("POST", "/control/faults", [this](const http::Request& request, http::Response& response) {
        Findings findings;
        Json body;
        StoreFaults faults;
        if (json::parse(request.body, "body", body, findings)) {
            json::ObjectReader reader(body, "", findings);
            reader.read("down", faults.down, json::Presence::Optional);
            reader.read("silent", faults.silent, json::Presence::Optional);
            reader.read("slowMs", faults.slowMs, json::Presence::Optional, 0, 600000);
            reader.read("loseNext", faults.loseNext, json::Presence::Optional, 0);
            reader.read("loseShare", faults.loseShare, json::Presence::Optional, 0.0, 1.0);
            reader.read("dropNext", faults.dropNext, json::Presence::Optional, 0);
            reader.finish();
        }
        if (!findings.empty()) {
            response.status = 400;
            response.contentType = "text/plain";
            response.body = format(findings);
            return;
        }
        setFaults(faults);
        response.body = "{}";
    });
    control_.route("POST", "/control/compact", [this](const http::Request&, http::Response& response) {
        store_.compact(store_.revision());
        response.body = "{}";
    });
}

} // namespace agatevane::standin
