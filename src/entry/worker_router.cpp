#include "entry/worker_router.h"

#include <algorithm>

namespace agatevane::entry {

WorkerRouter::WorkerRouter(const RegionId& region)
    : region_(region)
    , random_(makeRandom())
{
}

void WorkerRouter::configure(const CatalogueSnapshot& catalogue)
{
    std::vector<routing::WorkerConfig> workers;
    for (const auto& [id, dataCentre] : catalogue.dataCentres) {
        for (const auto& worker : dataCentre->workers) {
            workers.push_back(
                { worker.id, dataCentre->region, worker.service, worker.address, worker.slots, worker.connections });
        }
    }
    std::map<RegionId, routing::LinkCost> links;
    for (const auto& [id, link] : catalogue.links) {
        routing::LinkCost cost { 2 * link->oneWayMs, link->billingMsPerRequest };
        if (link->from == region_)
            links[link->to] = cost;
        else if (link->to == region_)
            links.emplace(link->from, cost); // A link in the direction from this region takes precedence.
    }
    std::lock_guard lock(mutex_);
    routing::configure(state_, region_, workers, links);
}

std::optional<routing::Choice> WorkerRouter::choose(const routing::Query& query)
{
    std::lock_guard lock(mutex_);
    return routing::choose(state_, query, now(), random_);
}

void WorkerRouter::finish(const WorkerId& worker, routing::Result result, Millis latency)
{
    std::lock_guard lock(mutex_);
    routing::onResult(state_, worker, result, latency, now(), random_);
}

bool WorkerRouter::hasTemporarilyFullWorker(const ServiceId& service)
{
    std::lock_guard lock(mutex_);
    auto at = now();
    return std::any_of(state_.workers.begin(), state_.workers.end(), [&service, at](const routing::Worker& worker) {
        return worker.config.service == service && worker.health == routing::Health::Healthy && at < worker.fullUntil
            && routing::isUsable(worker, worker.fullUntil);
    });
}

void WorkerRouter::release(const WorkerId& worker)
{
    std::lock_guard lock(mutex_);
    routing::onNotSent(state_, worker);
}

bool WorkerRouter::mayRetry(routing::Result result, bool isIdempotent, int attempts, Instant deadline)
{
    std::lock_guard lock(mutex_);
    return routing::mayRetry(state_, result, isIdempotent, attempts, deadline, now());
}

int WorkerRouter::ownInProgress(const WorkerId& worker)
{
    std::lock_guard lock(mutex_);
    auto found = state_.indexById.find(worker);
    return found == state_.indexById.end() ? 0 : state_.workers[found->second].ownInProgress;
}

void WorkerRouter::onReport(const WorkerId& worker, const WorkerReport& report, Instant requestedAt, int ownInProgress)
{
    std::lock_guard lock(mutex_);
    routing::onReport(state_, worker,
        { requestedAt, report.instance, report.leaving, report.slotsUsed, report.connectionsUsed, ownInProgress });
}

void WorkerRouter::setLeavingByVmList(const WorkerId& worker, bool isLeaving)
{
    std::lock_guard lock(mutex_);
    routing::setLeavingByVmList(state_, worker, isLeaving);
}

std::vector<WorkerRouter::Target> WorkerRouter::targets()
{
    std::lock_guard lock(mutex_);
    std::vector<Target> targets;
    targets.reserve(state_.workers.size());
    for (const auto& worker : state_.workers)
        targets.push_back({ worker.config.id, worker.config.address });
    return targets;
}

WorkerRouter::Counts WorkerRouter::counts()
{
    std::lock_guard lock(mutex_);
    Counts counts;
    auto at = now();
    for (const auto& worker : state_.workers) {
        ++counts.all;
        counts.usable += routing::isUsable(worker, at) ? 1 : 0;
        counts.ejected += worker.health == routing::Health::Healthy ? 0 : 1;
    }
    return counts;
}

} // namespace agatevane::entry
