#include "agatevane/metrics/process.h"
#include "agatevane/metrics/registry.h"
#include "scheduler/scheduler.h"
#include <glog/logging.h>

//! What the scheduler process shows of itself: events on its timeline, health checks and metrics.
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
