#include "scheduler/scheduler.h"

#include "agatevane/base/random.h"
#include "agatevane/metrics/process.h"
#include "scheduler/store_link.h"
#include <asio/post.hpp>

namespace agatevane::scheduler {

namespace {

    constexpr std::size_t maxQueuedCalls = 20000;
    constexpr int rpcThreads = 2;

    std::string makeIncarnation()
    {
        auto random = makeRandom();
        return toHex(random());
    }

} // namespace

Scheduler::Scheduler(const SchedulerSettings& settings)
    : settings_(settings)
    , incarnation_(makeIncarnation())
    , ring_("scheduler/" + settings.name)
    , store_(settings.stores)
    , source_(settings.stores, [this](const Catalogue& catalogue) { applyCatalogue(catalogue); })
    , workers_(settings.workerTimeout)
    , workerPool_(settings.workerThreads, maxQueuedCalls)
    , storePool_(settings.storeThreads, maxQueuedCalls)
    , rpcServer_(context_,
          [this](std::uint16_t kind, std::string_view payload, net::Reply reply) {
              onRequest(kind, payload, std::move(reply));
          })
    , datagrams_(context_, [this](std::string_view bytes, const net::PeerAddress&) { onDatagram(bytes); })
    , httpServer_(http::ServerLimits { .threads = 4, .queuedConnections = 64 })
{
}

Scheduler::~Scheduler()
{
    stop();
}

std::error_code Scheduler::start()
{
    if (auto error = rpcServer_.listen(settings_.listen))
        return error;
    if (auto error = datagrams_.bind(settings_.listen))
        return error;
    if (auto error = httpServer_.bind(settings_.httpListen.address, settings_.httpListen.port))
        return error;
    addRoutes();
    httpServer_.start();
    ring_.record({ .type = timeline::EventType::ProcessStarted, .detail = incarnation_ });
    for (int i = 0; i < rpcThreads; ++i)
        threads_.emplace_back([this] { context_.run(); });
    if (settings_.vmList.port != 0)
        refreshMembers();
    source_.start();
    threads_.emplace_back([this] { tickLoop(); });
    if (settings_.vmList.port != 0)
        threads_.emplace_back([this] { memberRefreshLoop(); });
    return {};
}

void Scheduler::handOver()
{
    isReady_ = false;
    ring_.record({ .type = timeline::EventType::ProcessStopping });
    auto deadline = now() + settings_.handoverTimeout;
    auto isOwner = [](const shard_owner::State& state) { return state.owner.role == ownership::Role::Owner; };
    isHandingOver_ = true;
    while (now() < deadline) {
        bool isAnyOwned = false;
        for (const auto& host : hosts()) {
            if (!host->read(isOwner))
                continue;
            isAnyOwned = true;
            host->handle(shard_owner::ReleaseRequested {});
        }
        if (!isAnyOwned)
            break;
        std::this_thread::sleep_for(settings_.tick);
    }
    // Leaves time to send the heartbeats that name the successors.
    std::this_thread::sleep_for(settings_.tick);
}

void Scheduler::stop()
{
    if (isStopping_.exchange(true))
        return;
    source_.stop();
    httpServer_.stop();
    workerPool_.stop();
    storePool_.stop();
    rpcServer_.close();
    datagrams_.close();
    context_.stop();
    for (auto& thread : threads_)
        thread.join();
}

void Scheduler::tickLoop()
{
    while (!isStopping_) {
        // During a handover, a tick must not take ownership of a data centre again.
        for (const auto& host : hosts()) {
            bool isNotOwner
                = host->read([](const auto& state) { return state.owner.role == ownership::Role::NotOwner; });
            if (!isHandingOver_ || !isNotOwner)
                host->handle(shard_owner::Tick {});
        }
        std::this_thread::sleep_for(settings_.tick);
    }
}

std::shared_ptr<ShardHost> Scheduler::findHost(const DataCentreId& dataCentre)
{
    std::lock_guard lock(mutex_);
    auto found = hosts_.find(dataCentre);
    return found == hosts_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<ShardHost>> Scheduler::hosts()
{
    std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<ShardHost>> result;
    result.reserve(hosts_.size());
    for (const auto& [id, host] : hosts_)
        result.push_back(host);
    return result;
}

void Scheduler::callWorker(std::function<void()> call, std::function<void()> onFull)
{
    if (!workerPool_.post(std::move(call)))
        asio::post(context_, std::move(onFull));
}

void Scheduler::execute(ShardHost& host, shard_owner::Action&& action)
{
    using namespace shard_owner;
    auto* target = &host;
    if (const auto* poll = std::get_if<Poll>(&action)) {
        auto worker = poll->worker;
        callWorker([this, target, worker] { target->handle(workers_.poll(worker)); },
            [target, worker] { target->handle(PollFailed { worker }); });
    } else if (auto* renewal = std::get_if<SendRenewal>(&action)) {
        workerPool_.post([this, target, sent = std::move(*renewal)] { target->handle(workers_.renew(sent)); });
    } else if (auto* command = std::get_if<SendCommand>(&action)) {
        workerPool_.post([this, target, sent = std::move(*command)] { target->handle(workers_.send(sent)); });
    } else if (auto* call = std::get_if<CallStore>(&action)) {
        StoreReply failure { .id = call->call.id, .outcome = StoreOutcome::NoEffect };
        auto executeCall = [this, target, sent = std::move(call->call)] {
            auto reply = callStore(store_, sent, now() + settings_.storeTimeout);
            target->handle(StoreAnswered { std::move(reply) });
        };
        if (!storePool_.post(std::move(executeCall)))
            asio::post(context_, [target, failure] { target->handle(StoreAnswered { failure }); });
    } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
        sendHeartbeat(heartbeat->heartbeat);
    } else if (const auto* submitted = std::get_if<AnswerSubmit>(&action)) {
        host.answer(submitted->request, net::encode(submitted->reply));
    } else if (const auto* cancelled = std::get_if<AnswerCancel>(&action)) {
        host.answer(cancelled->request, net::encode(cancelled->reply));
    } else if (const auto* event = std::get_if<shard_owner::Event>(&action)) {
        record(host.dataCentre(), *event);
    }
}

void Scheduler::sendHeartbeat(const OwnerHeartbeat& heartbeat)
{
    auto bytes = net::encode(heartbeat);
    for (const auto& peer : settings_.peers) {
        metrics::countControlBytesSent("ownership", bytes.size());
        datagrams_.send(bytes, peer.address);
    }
}

void Scheduler::onDatagram(std::string_view bytes)
{
    metrics::countControlBytesReceived("ownership", bytes.size());
    OwnerHeartbeat heartbeat;
    if (!net::decode(bytes, heartbeat))
        return;
    if (auto host = findHost(heartbeat.dataCentre))
        host->handle(shard_owner::HeartbeatArrived { heartbeat.owner, heartbeat.epoch });
}

void Scheduler::onRequest(std::uint16_t kind, std::string_view payload, net::Reply reply)
{
    auto hasHost = [&](const DataCentreId& dataCentre) { return findHost(dataCentre) != nullptr; };
    switch (static_cast<MessageKind>(kind)) {
    case MessageKind::SubmitJob: {
        SubmitJobRequest request;
        if (!net::decode(payload, request))
            return;
        if (auto host = findHost(request.spec.dataCentre))
            host->submit(request.spec, std::move(reply));
        else
            reply(net::encode(SubmitJobReply { .result = SubmitResult::NotOwner, .reason = "unknown data centre" }));
        return;
    }
    case MessageKind::JobStatus:
    case MessageKind::CancelJob: {
        JobRequest request;
        if (!net::decode(payload, request))
            return;
        if (!hasHost(request.dataCentre))
            reply(net::encode(JobReply { .status = JobReplyStatus::NotOwner }));
        else if (static_cast<MessageKind>(kind) == MessageKind::CancelJob)
            findHost(request.dataCentre)->cancel(request.job, std::move(reply));
        else
            reply(net::encode(findHost(request.dataCentre)->read([&](const auto& state) {
                return shard_owner::jobStatus(state, request.job, now());
            })));
        return;
    }
    case MessageKind::ListJobs: {
        ListJobsRequest request;
        if (!net::decode(payload, request))
            return;
        auto host = findHost(request.dataCentre);
        reply(net::encode(host
                ? host->read([&](const auto& state) { return shard_owner::listJobs(state, request, now()); })
                : ListJobsReply { .status = JobReplyStatus::NotOwner }));
        return;
    }
    case MessageKind::ShardStatus: {
        ShardStatusRequest request;
        if (!net::decode(payload, request))
            return;
        auto host = findHost(request.dataCentre);
        reply(net::encode(host ? host->read([&](const auto& state) { return shard_owner::shardStatus(state, now()); })
                               : ShardStatusReply { .status = JobReplyStatus::NotOwner }));
        return;
    }
    case MessageKind::CataloguePull:
    case MessageKind::BorrowLimit:
    case MessageKind::DrainVm:
        return; // Entry processes serve these requests.
    }
}

} // namespace agatevane::scheduler
