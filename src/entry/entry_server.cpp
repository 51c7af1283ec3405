#include "entry/entry_server.h"

#include "agatevane/http/problem.h"
#include "agatevane/metrics/process.h"
#include "agatevane/net/archive.h"
#include <algorithm>
#include <glog/logging.h>
#include <limits>
#include <set>

namespace agatevane::entry {

namespace {

    constexpr int ioThreadCount = 2;
    constexpr Millis tickInterval { 50 };
    constexpr int ticksPerBorrow = 2;

    http::ServerLimits limitsOf(const Settings& settings)
    {
        http::ServerLimits limits;
        limits.threads = settings.threads;
        return limits;
    }

    std::map<std::string, double> requestLimits(const CatalogueSnapshot& catalogue)
    {
        std::map<std::string, double> limits;
        auto add = [&limits](const std::string& kind, const auto& entry) {
            if (entry->requestsPerSecond > 0)
                limits[kind + entry->id.value] = entry->requestsPerSecond;
        };
        for (const auto& [id, caller] : catalogue.callers)
            add("callers/", caller);
        for (const auto& [id, workspace] : catalogue.workspaces)
            add("workspaces/", workspace);
        for (const auto& [id, service] : catalogue.services)
            add("services/", service);
        return limits;
    }

} // namespace

EntryServer::EntryServer(Settings settings)
    : settings_(std::move(settings))
    , workGuard_(context_.get_executor())
    , tickTimer_(context_)
    , entryVmCount_(1 + static_cast<int>(otherMembers().size()))
    , timeline_("entry " + settings_.name.value)
    , metrics_(metrics::registry())
    , store_(settings_.stores)
    , claims_(store_)
    , catalogueSource_(context_, store_, [this](SnapshotPointer snapshot) { applyCatalogue(std::move(snapshot)); })
    , router_(settings_.region)
    , limits_(context_, settings_.name, settings_.peers)
    , schedulerClient_(context_, settings_.schedulers)
    , membership_(context_, membershipSettings(), membershipHooks())
    , administration_(
          context_, settings_, store_, catalogueSource_, catalogue_, schedulerClient_, membership_, [this] { drain(); })
    , rpcServer_(context_,
          [this](
              std::uint16_t kind, std::string_view payload, const net::Reply& reply) { onRpc(kind, payload, reply); })
    , callContext_ { { catalogue_, [this] { return catalogueSource_.isFresh(); } }, workerClient_, router_, gates_,
        limits_, claims_, metrics_, settings_.defaultTimeout }
    , jobContext_ { { catalogue_, [this] { return catalogueSource_.isFresh(); } }, schedulerClient_,
        settings_.defaultTimeout }
    , httpServer_(limitsOf(settings_), settings_.tls)
{
}

EntryServer::~EntryServer()
{
    stop();
    context_.stop();
    for (auto& thread : ioThreads_)
        thread.join();
}

std::error_code EntryServer::start()
{
    addRoutes();
    if (auto error = rpcServer_.listen(settings_.rpcListen))
        return error;
    if (auto error = httpServer_.bind(settings_.listen.address, settings_.listen.port))
        return error;
    // Heartbeats use the UDP port with the same number as the RPC port, so that peers need only one address.
    if (auto error = membership_.start({ settings_.rpcListen.address, rpcServer_.port() }))
        return error;
    std::vector<membership::ListedMember> seeds;
    for (const auto& [member, address] : otherMembers())
        seeds.push_back({ member, address, false });
    membership_.setListedMembers(seeds);
    catalogueSource_.setPeers(otherMembers());
    catalogueSource_.start();
    recordEvent(timeline::EventType::ProcessStarted);
    scheduleTick(0);
    for (int i = 0; i < ioThreadCount; ++i)
        ioThreads_.emplace_back([this] { context_.run(); });
    reportPoller_ = std::make_unique<ReportPoller>(router_, workerClient_, settings_.reportInterval);
    if (settings_.vmList)
        vmListClient_ = std::make_unique<VmListClient>(
            *settings_.vmList, [this](const std::vector<ListedVm>& vms) { applyVmList(vms); });
    httpServer_.start();
    return {};
}

int EntryServer::port() const
{
    return httpServer_.port();
}

void EntryServer::applyCatalogue(SnapshotPointer snapshot)
{
    std::lock_guard lock(configureMutex_);
    catalogue_.store(std::move(snapshot));
    configure();
}

void EntryServer::applyVmList(const std::vector<ListedVm>& vms)
{
    std::unique_lock lock(configureMutex_);
    std::set<std::string> workers;
    for (const auto& target : router_.targets())
        workers.insert(target.worker.value);
    int entryVmCount = 0;
    MemberAddresses listedPeers;
    for (const auto& vm : vms) {
        if (workers.contains(vm.name))
            router_.setLeavingByVmList({ vm.name }, vm.state == VmState::Leaving);
        else if (settings_.peers.contains({ vm.name }) || vm.name == settings_.name.value)
            ++entryVmCount;
        if (auto peer = settings_.peers.find({ vm.name }); peer != settings_.peers.end())
            listedPeers.insert(*peer);
    }
    entryVmCount = std::max(1, entryVmCount);
    if (entryVmCount_.exchange(entryVmCount) == entryVmCount)
        return;
    configure();
    // The feed calls applyCatalogue with its own mutex held. Calling the feed with this mutex held could deadlock.
    lock.unlock();
    // A VM that is no longer in the list no longer has to prove that it has accepted no change of the catalogue.
    catalogueSource_.setPeers(listedPeers);
}

//! Applies the catalogue and the number of entry VMs. Called with `configureMutex_` held.
void EntryServer::configure()
{
    auto snapshot = catalogue_.load();
    router_.configure(*snapshot);
    gates_.configure(*snapshot, entryVmCount_, settings_.threads);
    limits_.configure(requestLimits(*snapshot), entryVmCount_);
    std::vector<std::string> addresses;
    for (const auto& target : router_.targets())
        addresses.push_back(target.address);
    workerClient_.dropClientsExcept(addresses);
}

MemberAddresses EntryServer::otherMembers() const
{
    auto others = settings_.peers;
    others.erase(settings_.name);
    return others;
}

void EntryServer::drain()
{
    if (isDraining_.exchange(true))
        return;
    membership_.leave();
    recordEvent(timeline::EventType::ProcessStopping);
}

void EntryServer::stop()
{
    drain();
    httpServer_.stop();
    membership_.stop();
    catalogueSource_.stop();
    vmListClient_.reset();
    reportPoller_.reset();
}

void EntryServer::scheduleTick(int tickNumber)
{
    tickTimer_.expires_after(tickInterval);
    tickTimer_.async_wait([this, tickNumber](std::error_code error) {
        if (error)
            return;
        catalogueSource_.tick();
        gates_.tick();
        recordFreshnessChange();
        if (tickNumber % ticksPerBorrow == 0)
            limits_.borrow();
        scheduleTick(tickNumber + 1);
    });
}

void EntryServer::onRpc(std::uint16_t kind, std::string_view payload, const net::Reply& reply)
{
    limits::BorrowRequest request;
    if (static_cast<MessageKind>(kind) == MessageKind::BorrowLimit && net::decode(payload, request))
        reply(net::encode(limits_.lend(request)));
    else if (static_cast<MessageKind>(kind) == MessageKind::CataloguePull)
        reply(catalogueSource_.feed().answerPull(payload));
    else if (static_cast<MessageKind>(kind) == MessageKind::DrainVm) {
        drain();
        reply("1");
    } else
        reply({}); // An empty reply cannot be decoded, so that the peer fails at once instead of waiting.
}

void EntryServer::addJobRoute(const std::string& method, const std::string& pattern,
    void (*handler)(JobContext&, const http::Request&, http::Response&))
{
    // Job requests wait for schedulers. Without a limit they could occupy all threads while no scheduler answers.
    int maxConcurrentRequests = std::max(1, settings_.threads / 8);
    httpServer_.route(method, pattern,
        [this, handler, maxConcurrentRequests](const http::Request& request, http::Response& response) {
            struct RequestCounter {
                std::atomic<int>& count;
                int value = ++count;
                ~RequestCounter() { --count; }
            };
            RequestCounter requestCounter { jobRequestsInProgress_ };
            if (requestCounter.value > maxConcurrentRequests) {
                http::Problem problem { .status = 503, .title = "too many job requests", .outcome = Outcome::NotRun };
                problem.retryAfterSeconds = 1;
                http::writeProblem(problem, response);
            } else {
                handler(jobContext_, request, response);
            }
        });
}

void EntryServer::addRoutes()
{
    using http::Request;
    using http::Response;
    httpServer_.route("POST", R"(/v1/services/([A-Za-z0-9_-]+)/calls)",
        [this](const Request& request, Response& response) { handleCall(callContext_, request, response); });
    httpServer_.route("GET", R"(/v1/requests/([A-Za-z0-9_-]+)/(.+))",
        [this](const Request& request, Response& response) { showRequest(callContext_, request, response); });
    addJobRoute("POST", "/v1/jobs", submitJob);
    addJobRoute("GET", "/v1/jobs", listJobs);
    addJobRoute("GET", R"(/v1/jobs/([A-Za-z0-9_.-]+))", showJob);
    addJobRoute("DELETE", R"(/v1/jobs/([A-Za-z0-9_.-]+))", cancelJob);
    admin::registerAdminRoutes(httpServer_, administration_.functions());
    timeline::registerTimelineRoute(httpServer_, timeline_);
    httpServer_.route("GET", "/healthz", [](const Request&, Response& response) { response.body = "{}"; });
    httpServer_.route("GET", "/readyz", [this](const Request&, Response& response) {
        if (isDraining_)
            http::writeProblem({ .status = 503, .title = "shutting down" }, response);
        else if (!catalogueSource_.isFresh())
            http::writeProblem({ .status = 503, .title = "the catalogue is not proved to be fresh" }, response);
        else
            response.body = "{}";
    });
    httpServer_.route("GET", "/metrics", [this](const Request&, Response& response) { writeMetrics(response); });
}

membership::Settings EntryServer::membershipSettings() const
{
    membership::Settings settings;
    settings.self.member = settings_.name;
    settings.self.address = settings_.rpcListen;
    return settings;
}

membership::Hooks EntryServer::membershipHooks()
{
    membership::Hooks hooks;
    hooks.onChange = [this](const membership::Change& change) {
        using enum timeline::EventType;
        auto detail
            = change.member.value + ": " + std::string(nameOf(change.from)) + " to " + std::string(nameOf(change.to));
        switch (change.to) {
        case membership::MemberState::Alive:
            recordEvent(change.from == membership::MemberState::Suspected ? MemberRefuted : MemberJoined, detail);
            break;
        case membership::MemberState::Suspected:
            recordEvent(MemberSuspected, detail);
            break;
        default:
            recordEvent(MemberLeft, detail);
        }
    };
    hooks.lamportTick = [this] { return timeline_.clock().tick(); };
    hooks.lamportObserve = [this](std::uint64_t clock) { timeline_.clock().observe(clock); };
    hooks.catalogueStatus = [this] {
        auto status = catalogueSource_.feed().status();
        constexpr std::uint32_t noProof = std::numeric_limits<std::uint32_t>::max();
        auto age = status.proofAge ? static_cast<std::uint32_t>(status.proofAge->count()) : noProof;
        return std::make_pair(static_cast<std::uint64_t>(status.revision), age);
    };
    hooks.onNewerCatalogue = [this](const MemberId& member, const net::PeerAddress&, std::uint64_t revision) {
        catalogueSource_.raisePeerRevision(member, static_cast<std::int64_t>(revision));
    };
    return hooks;
}

//! Logs and records each change of freshness once, instead of every request that is refused for it.
void EntryServer::recordFreshnessChange()
{
    bool isFresh = catalogueSource_.isFresh();
    if (isFresh == wasFresh_)
        return;
    wasFresh_ = isFresh;
    recordEvent(isFresh ? timeline::EventType::CatalogueFresh : timeline::EventType::CatalogueStale);
    LOG(INFO) << (isFresh ? "the catalogue is proved to be fresh" : "the catalogue is not proved to be fresh");
}

void EntryServer::recordEvent(timeline::EventType type, const std::string& detail)
{
    timeline::Event event;
    event.type = type;
    event.dataCentre = settings_.dataCentre;
    event.detail = detail;
    timeline_.record(std::move(event));
}

void EntryServer::writeMetrics(http::Response& response)
{
    auto& registry = metrics::registry();
    auto load = gates_.load();
    registry.gauge("agatevane_calls_running", "Calls that hold a slot").set(load.running);
    for (const auto& [workClass, name] : EnumNames<WorkClass>::table) {
        registry.gauge("agatevane_calls_waiting", "Calls that wait for a slot", { { "class", std::string(name) } })
            .set(load.waiting[static_cast<std::size_t>(workClass)]);
    }
    auto counts = router_.counts();
    registry.gauge("agatevane_workers", "Workers by state", { { "state", "all" } }).set(counts.all);
    registry.gauge("agatevane_workers", "Workers by state", { { "state", "usable" } }).set(counts.usable);
    registry.gauge("agatevane_workers", "Workers by state", { { "state", "ejected" } }).set(counts.ejected);
    response.contentType = metrics::contentType;
    response.body = registry.render();
}

} // namespace agatevane::entry
