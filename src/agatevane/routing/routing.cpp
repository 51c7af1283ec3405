#include "agatevane/routing/routing.h"

#include "agatevane/routing/health.h"
#include <algorithm>
#include <cmath>

namespace agatevane::routing {

namespace {

    //! Maximum age of a report from a usable worker. A worker may begin to leave right after its last report, and must
    //! get no new work more than 3 s later.
    constexpr Millis maxReportAge { 2500 };
    //! Time without new requests for a worker that refused one because it is full. It frees a slot within a fraction of
    //! the service time; a request sent immediately would be refused again.
    constexpr Millis fullBackOff { 25 };
    constexpr double meanSmoothing = 0.05; //!< weight of a new sample in `meanServiceMs`
    constexpr int maxAttempts = 3; //!< limit of attempts of one request
    constexpr int maxRandomDraws = 8; //!< draws before all workers of a group are searched
    constexpr LinkCost unknownLink { 50, 0 }; //!< assumed for a region without a configured link
    //! Load that a failure share of 1 adds to a worker, as a multiple of its slots. Without it, a worker that fails
    //! requests immediately would always look idle and attract requests.
    constexpr double failurePenalty = 4;

    Worker* find(State& state, const WorkerId& id)
    {
        auto found = state.indexById.find(id);
        return found == state.indexById.end() ? nullptr : &state.workers[found->second];
    }

    //! Requests of other VMs that were in progress at the worker at its last report.
    int othersReported(const Worker& worker)
    {
        if (!worker.lastObservation)
            return 0;
        int used = std::max(worker.lastObservation->slotsUsed, worker.lastObservation->connectionsUsed);
        return std::max(0, used - worker.lastObservation->ownInProgress);
    }

    //! Estimates the requests in progress at the worker. This VM's own requests are known. The reported number of other
    //! VMs' requests decays towards the mean of the group, since other requests replace them after a few service times.
    //! Without the decay, all VMs would avoid the same workers until the next report and then return to them together.
    double inProgress(const State& state, const Group& group, const Worker& worker, Instant now)
    {
        double mean = group.othersInProgress / static_cast<double>(std::max<std::size_t>(1, group.workers.size()));
        double others = mean;
        if (worker.lastObservation) {
            double ageMs = std::chrono::duration<double, std::milli>(now - worker.lastObservation->requestedAt).count();
            double freshness = std::exp(-ageMs / std::max(1.0, state.meanServiceMs));
            others += freshness * (othersReported(worker) - mean);
        }
        return worker.ownInProgress + others;
    }

    double loadOf(const State& state, const Group& group, const Worker& worker, Instant now)
    {
        return inProgress(state, group, worker, now) / std::max(1, worker.config.slots)
            + failurePenalty * failureShare(worker, now);
    }

    //! Expected wait for a slot of the worker.
    double expectedWaitMs(const State& state, const Group& group, const Worker& worker, Instant now)
    {
        return std::max(0.0, loadOf(state, group, worker, now) - 1) * state.meanServiceMs;
    }

    bool isEligible(const Worker& worker, const Query& query, Instant now)
    {
        return worker.health == Health::Healthy && isUsable(worker, now)
            && std::find(query.excluded.begin(), query.excluded.end(), worker.config.id) == query.excluded.end();
    }

    //! Returns a random eligible worker other than `except`; null if there is none.
    Worker* randomEligible(
        State& state, const Group& group, const Query& query, const Worker* except, Instant now, Random& random)
    {
        for (int i = 0; i < maxRandomDraws; ++i) {
            auto& worker = state.workers[group.workers[random() % group.workers.size()]];
            if (&worker != except && isEligible(worker, query, now))
                return &worker;
        }
        auto offset = random() % group.workers.size();
        for (std::size_t i = 0; i < group.workers.size(); ++i) {
            auto& worker = state.workers[group.workers[(offset + i) % group.workers.size()]];
            if (&worker != except && isEligible(worker, query, now))
                return &worker;
        }
        return nullptr;
    }

    Worker* leastLoaded(State& state, const Group& group, const Query& query, Worker& start, Instant now)
    {
        Worker* least = &start;
        double leastLoad = loadOf(state, group, start, now);
        for (auto index : group.workers) {
            auto& worker = state.workers[index];
            if (!isEligible(worker, query, now))
                continue;
            double load = loadOf(state, group, worker, now);
            if (load < leastLoad) {
                least = &worker;
                leastLoad = load;
            }
        }
        return least;
    }

    Worker* betterOfTwo(State& state, const Group& group, const Query& query, Instant now, Random& random)
    {
        auto* first = randomEligible(state, group, query, nullptr, now, random);
        if (!first)
            return nullptr;
        auto* second = randomEligible(state, group, query, first, now, random);
        auto* better
            = second && loadOf(state, group, *second, now) < loadOf(state, group, *first, now) ? second : first;
        // If both are estimated to be full, searching all workers costs less than a refusal and a retry.
        return loadOf(state, group, *better, now) < 1 ? better : leastLoaded(state, group, query, *better, now);
    }

    Worker* dueProbe(State& state, const Group& group, const Query& query, Instant now)
    {
        for (auto index : group.workers) {
            auto& worker = state.workers[index];
            if (isProbeDue(worker, query.isIdempotent, now) && isUsable(worker, now) && query.excluded.empty())
                return &worker;
        }
        return nullptr;
    }

    Choice assign(Worker& worker, bool isProbe)
    {
        ++worker.ownInProgress;
        if (isProbe)
            worker.health = Health::Probing;
        return { worker.config.id, worker.config.address,
            worker.lastObservation ? worker.lastObservation->instance : "", isProbe };
    }

} // namespace

void configure(State& state, const RegionId& ownRegion, const std::vector<WorkerConfig>& workers,
    const std::map<RegionId, LinkCost>& links)
{
    std::vector<Worker> next;
    next.reserve(workers.size());
    std::unordered_map<WorkerId, std::size_t> indexById;
    std::map<ServiceId, std::map<RegionId, Group>> groups;
    for (const auto& config : workers) {
        Worker worker;
        if (auto* known = find(state, config.id); known && known->config.address == config.address)
            worker = std::move(*known);
        worker.config = config;
        if (!indexById.emplace(config.id, next.size()).second)
            continue;
        auto& group = groups[config.service][config.region];
        group.workers.push_back(next.size());
        group.othersInProgress += othersReported(worker);
        next.push_back(std::move(worker));
    }
    state.ownRegion = ownRegion;
    state.workers = std::move(next);
    state.indexById = std::move(indexById);
    state.groups = std::move(groups);
    state.links = links;
}

void setLeavingByVmList(State& state, const WorkerId& id, bool isLeaving)
{
    if (auto* worker = find(state, id))
        worker->isLeavingByVmList = isLeaving;
}

void onReport(State& state, const WorkerId& id, const Observation& observation)
{
    auto* worker = find(state, id);
    if (!worker || (worker->lastObservation && observation.requestedAt <= worker->lastObservation->requestedAt))
        return;
    auto& group = state.groups.at(worker->config.service).at(worker->config.region);
    group.othersInProgress -= othersReported(*worker);
    worker->lastObservation = observation;
    group.othersInProgress += othersReported(*worker);
    // A report that was requested after the refusal overrides it.
    if (worker->refusedAsLeavingAt && observation.requestedAt > *worker->refusedAsLeavingAt)
        worker->refusedAsLeavingAt.reset();
}

bool isUsable(const Worker& worker, Instant now)
{
    if (!worker.lastObservation || worker.lastObservation->isLeaving
        || now - worker.lastObservation->requestedAt > maxReportAge)
        return false;
    return !worker.isLeavingByVmList && !worker.refusedAsLeavingAt && now >= worker.fullUntil
        && worker.ownInProgress + othersReported(worker) < worker.config.connections;
}

std::optional<Choice> choose(State& state, const Query& query, Instant now, Random& random)
{
    if (query.excluded.empty())
        state.retries.onRequest();
    auto service = state.groups.find(query.service);
    if (service == state.groups.end())
        return std::nullopt;
    for (const auto& [region, group] : service->second) {
        if (auto* worker = dueProbe(state, group, query, now))
            return assign(*worker, true);
    }
    Worker* best = nullptr;
    double bestCost = 0;
    for (const auto& [region, group] : service->second) {
        auto* worker = betterOfTwo(state, group, query, now, random);
        if (!worker)
            continue;
        double cost = expectedWaitMs(state, group, *worker, now);
        bool isLocal = region == state.ownRegion;
        if (!isLocal) {
            auto link = state.links.find(region);
            const auto& linkCost = link == state.links.end() ? unknownLink : link->second;
            cost += linkCost.roundTripMs + linkCost.billingMs;
        }
        if (!best || cost < bestCost || (cost == bestCost && isLocal)) {
            best = worker;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    return assign(*best, false);
}

void onResult(State& state, const WorkerId& id, Result result, Millis took, Instant now, Random& random)
{
    auto* worker = find(state, id);
    if (!worker)
        return;
    worker->ownInProgress = std::max(0, worker->ownInProgress - 1);
    if (result == Result::Leaving)
        worker->refusedAsLeavingAt = now;
    if (result == Result::Full)
        worker->fullUntil = now + fullBackOff;
    else
        worker->fullUntil = now; // This request has freed its slot.
    if (result == Result::Success)
        state.meanServiceMs += meanSmoothing * (static_cast<double>(took.count()) - state.meanServiceMs);
    updateHealth(state, *worker, result, now, random);
}

void onNotSent(State& state, const WorkerId& id)
{
    auto* worker = find(state, id);
    if (!worker)
        return;
    worker->ownInProgress = std::max(0, worker->ownInProgress - 1);
    if (worker->health == Health::Probing)
        worker->health = Health::Ejected; // The worker is still due for a probe.
}

bool mayRetry(State& state, Result result, bool isIdempotent, int attempts, Instant deadline, Instant now)
{
    if (result == Result::Success || attempts >= maxAttempts || now >= deadline)
        return false;
    if (!isRefusal(result) && !isIdempotent)
        return false;
    return state.retries.tryRetry();
}

} // namespace agatevane::routing
