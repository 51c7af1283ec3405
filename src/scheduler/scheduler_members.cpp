#include "agatevane/metrics/process.h"
#include "agatevane/metrics/registry.h"
#include "scheduler/scheduler.h"
#include <algorithm>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

//! The parts of the scheduler process that handle the catalogue, the list of VMs, health checks, metrics and the
//! timeline.
namespace agatevane::scheduler {

namespace {

    timeline::EventType typeOf(const shard_owner::Event& event)
    {
        using Kind = shard_owner::EventKind;
        using Type = timeline::EventType;
        switch (event.kind) {
        case Kind::OwnershipTaken:
        case Kind::WorkersCollected:
        case Kind::JournalReplayed:
            return Type::OwnershipTaken;
        case Kind::OwnershipLost:
            return Type::OwnershipLost;
        case Kind::JobAccepted:
            return Type::JobAccepted;
        case Kind::JobFinal:
            return event.text == "finished" ? Type::JobFinished
                : event.text == "cancelled" ? Type::JobCancelled
                : event.text == "failed"    ? Type::JobFailed
                                            : Type::JobImpossible;
        case Kind::GangStarted:
            return Type::JobStarted;
        case Kind::GangEnded:
            return Type::JobStopped;
        case Kind::WorkerEjected:
            return Type::WorkerEjected;
        }
        return Type::JobStopped;
    }

} // namespace

void Scheduler::record(const DataCentreId& dataCentre, const shard_owner::Event& event)
{
    using Kind = shard_owner::EventKind;
    timeline::Event entry { .type = typeOf(event), .dataCentre = dataCentre, .detail = event.text };
    bool isAboutJob = event.kind == Kind::JobAccepted || event.kind == Kind::JobFinal || event.kind == Kind::GangStarted
        || event.kind == Kind::GangEnded;
    if (isAboutJob)
        entry.job = { event.subject };
    else if (event.kind == Kind::WorkerEjected)
        entry.worker = { event.subject };
    ring_.record(std::move(entry));
    if (!isAboutJob)
        LOG(INFO) << nameOf(event.kind) << " " << event.subject << ": " << event.text;
}

std::vector<ownership::Candidate> Scheduler::candidates() const
{
    std::vector<ownership::Candidate> result { { { settings_.name }, { settings_.region } } };
    for (const auto& peer : settings_.peers) {
        auto region = regions_.find(peer.name);
        result.push_back({ { peer.name }, region == regions_.end() ? RegionId {} : region->second });
    }
    return result;
}

void Scheduler::applyCatalogue(const Catalogue& catalogue)
{
    for (const auto& [id, dataCentre] : catalogue.dataCentres) {
        const auto& allowed = settings_.dataCentres;
        if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), id.value) == allowed.end())
            continue;
        for (const auto& worker : dataCentre->workers)
            workers_.setAddress(worker.id, worker.address);
        auto host = findHost(id);
        if (!host) {
            auto state
                = shard_owner::makeState(id, dataCentre->region, { settings_.name }, incarnation_, candidates(), now());
            host = std::make_shared<ShardHost>(std::move(state),
                [this](ShardHost& target, shard_owner::Action&& action) { execute(target, std::move(action)); });
            addMetrics(host);
            std::lock_guard lock(mutex_);
            hosts_.emplace(id, host);
        }
        host->handle(makeFleetChanged(catalogue, *dataCentre));
    }
    std::lock_guard lock(mutex_);
    dataCentreRegions_.clear();
    for (const auto& [id, dataCentre] : catalogue.dataCentres)
        dataCentreRegions_[id.value] = dataCentre->region;
    isReady_ = !isHandingOver_;
}

void Scheduler::refreshMembers()
{
    http::Client client(settings_.vmList);
    auto result = client.request("GET", "/v1/vms", "", now() + settings_.storeTimeout);
    auto list = nlohmann::json::parse(result.body, nullptr, false);
    if (result.error || result.status != 200 || !list.is_array())
        return;
    std::vector<ownership::Candidate> updated;
    {
        std::lock_guard lock(mutex_);
        for (const auto& vm : list) {
            if (!vm.is_object() || !vm.contains("name") || !vm.contains("dataCentre"))
                continue;
            auto region = dataCentreRegions_.find(vm.value("dataCentre", ""));
            if (region != dataCentreRegions_.end())
                regions_[vm.value("name", "")] = region->second;
        }
        updated = candidates();
    }
    for (const auto& host : hosts())
        host->setCandidates(updated);
}

void Scheduler::memberRefreshLoop()
{
    auto next = now();
    while (!isStopping_) {
        if (now() >= next) {
            refreshMembers();
            next = now() + settings_.memberInterval;
        }
        std::this_thread::sleep_for(settings_.tick);
    }
}

void Scheduler::addRoutes()
{
    httpServer_.route("GET", "/healthz",
        [](const http::Request&, http::Response& response) { response.body = R"({"status":"ok"})"; });
    httpServer_.route("GET", "/readyz", [this](const http::Request&, http::Response& response) {
        response.status = isReady_ ? 200 : 503;
        response.body = isReady_ ? R"({"status":"ready"})" : R"({"status":"not_ready"})";
    });
    httpServer_.route("GET", "/metrics", [](const http::Request&, http::Response& response) {
        response.contentType = metrics::contentType;
        response.body = metrics::registry().render();
    });
    timeline::registerTimelineRoute(httpServer_, ring_);
    metrics::addProcessMetrics(metrics::registry());
    metrics::registry().observe(
        "agatevane_scheduler_store_calls_total", "Calls to the store", metrics::MetricType::Counter, [this] {
            auto counts = store_.counts();
            return static_cast<double>(counts.reads + counts.writes);
        });
}

void Scheduler::addMetrics(const std::shared_ptr<ShardHost>& host)
{
    using Counters = shard_owner::Counters;
    using metrics::MetricType;
    metrics::Labels labels { { "data_centre", host->dataCentre().value } };
    auto add = [&](const std::string& name, const std::string& help, MetricType type, auto value) {
        metrics::registry().observe(
            "agatevane_scheduler_" + name, help, type, [host, value] { return static_cast<double>(host->read(value)); },
            labels);
    };
    auto counter = [&](const std::string& name, const std::string& help, std::uint64_t Counters::*field) {
        add(name, help, MetricType::Counter,
            [field](const shard_owner::State& state) { return state.counters.*field; });
    };
    counter("takeovers_total", "Times that ownership was taken", &Counters::takeovers);
    counter("polls_total", "Reports asked for", &Counters::polls);
    counter("commands_total", "Commands to workers without renewals", &Counters::commands);
    counter("renewals_total", "Renewals sent", &Counters::renewals);
    counter("shard_store_calls_total", "Store calls for ownership and journal", &Counters::storeCalls);
    counter("withheld_effects_total", "Effects not sent after the ownership deadline", &Counters::withheldEffects);
    counter("jobs_accepted_total", "Jobs accepted", &Counters::jobsAccepted);
    counter("jobs_finished_total", "Jobs finished", &Counters::jobsFinished);
    counter("jobs_refused_total", "Submissions refused before any effect", &Counters::jobsRefused);
    counter("gangs_started_total", "Gangs that ran on all their workers", &Counters::gangsStarted);
    counter("gangs_adopted_total", "Gangs taken over from another owner", &Counters::gangsAdopted);
    counter("ejections_total", "Workers ejected after repeated failures", &Counters::ejections);
    add("is_owner", "1 if this scheduler owns the data centre", MetricType::Gauge,
        [](const shard_owner::State& state) { return state.owner.role == ownership::Role::Owner ? 1 : 0; });
    add("is_serving", "1 if it decides and accepts jobs", MetricType::Gauge,
        [](const shard_owner::State& state) { return shard_owner::isServing(state) ? 1 : 0; });
    add("epoch", "Own or highest known epoch", MetricType::Gauge,
        [](const shard_owner::State& state) { return state.owner.highestEpoch; });
    add("takeover_seconds", "From taking ownership to the first decision", MetricType::Gauge,
        [](const shard_owner::State& state) { return static_cast<double>(state.counters.lastTakeoverMs) / 1000; });
}

} // namespace agatevane::scheduler
