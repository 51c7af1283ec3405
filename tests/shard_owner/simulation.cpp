#include "simulation.h"
#include <iostream>

namespace agatevane::simulation {

using namespace shard_owner;

Simulation::Simulation(const Options& options)
    : options_(options)
    , random_(options.seed)
{
    for (int i = 0; i < workerCount; ++i) {
        SimulatedWorker worker { .id = { "w" + std::to_string(i) }, .number = i };
        // Each clock runs within 0.5 % of simulated time, so that two clocks differ by 1 % at most.
        worker.clockRate = 1 + static_cast<double>(uniform(random_, -50, 50)) / 10000;
        worker.clockOffsetMs = static_cast<double>(uniform(random_, 0, 1000000));
        worker.failsAllTasks = options.hasFaults && chance(0.04);
        worker.history = &history_;
        workers_.push_back(worker);
    }
    for (int i = 0; i < processCount; ++i) {
        processes_.emplace_back();
        processes_.back().id = { "s" + std::to_string(i) };
        processes_.back().number = i;
        processes_.back().clockRate = 1 + static_cast<double>(uniform(random_, -50, 50)) / 10000;
    }
}

void Simulation::schedule(double delay, Event event)
{
    events_.push({ now_ + delay, nextSequence_++, std::move(event) });
}

bool Simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

double Simulation::latency()
{
    bool isSlow = options_.hasFaults && now_ < options_.faultPeriodMs && chance(0.02);
    return isSlow ? static_cast<double>(uniform(random_, 10, 4000)) : static_cast<double>(uniform(random_, 1, 9));
}

Instant Simulation::localTime(const Process& process) const
{
    return Instant {} + std::chrono::hours(1)
        + std::chrono::microseconds(static_cast<long>(now_ * process.clockRate * 1000));
}

bool Simulation::isConnected(int siteA, int siteB) const
{
    return isolatedSites_.contains(siteA) == isolatedSites_.contains(siteB);
}

void Simulation::trace(const std::string& text) const
{
    if (options_.isTraceEnabled)
        std::cerr << static_cast<long>(now_) << " " << text << "\n";
}

void Simulation::startProcess(Process& process)
{
    std::vector<ownership::Candidate> candidates;
    for (int i = 0; i < processCount; ++i)
        candidates.push_back({ { "s" + std::to_string(i) }, { i == 0 ? "near" : "far" } });
    process.isAlive = true;
    process.state = shard_owner::makeState(dataCentre, { "near" }, process.id,
        process.id.value + "." + std::to_string(process.incarnation), candidates, localTime(process));
    process.state.journalTiming.batchesBeforeCompaction = 8;
    if (!options_.renewsOnlyFreshLeases)
        process.state.gangTiming.maxReportAge = process.state.gangTiming.reportTimeout = Millis { 60000 };
    FleetChanged fleet;
    for (const auto& worker : workers_) {
        WorkerEntry entry { .id = worker.id, .rack = { "r" + std::to_string(worker.number / 3) } };
        entry.capacity.accelerators = worker.capacity;
        fleet.workers.push_back(entry);
    }
    fleet.policy.workspaces.push_back({ .id = { "ws" } });
    run(process.number, process.incarnation, fleet);
    tick(process.number, process.incarnation);
}

void Simulation::tick(int number, int incarnation)
{
    auto& process = processes_[static_cast<std::size_t>(number)];
    if (!process.isAlive || process.incarnation != incarnation)
        return;
    run(number, incarnation, Tick {});
    schedule(50, [this, number, incarnation] { tick(number, incarnation); });
}

void Simulation::run(int number, int incarnation, const Input& input)
{
    auto& process = processes_[static_cast<std::size_t>(number)];
    if (!process.isAlive || process.incarnation != incarnation)
        return;
    if (process.pausedUntil > now_) {
        schedule(process.pausedUntil - now_, [this, number, incarnation, input] { run(number, incarnation, input); });
        return;
    }
    ++totals_.steps;
    auto takeovers = process.state.counters.takeovers;
    for (const auto& action : step(process.state, input, localTime(process)))
        carryOut(process, action);
    totals_.takeovers += process.state.counters.takeovers - takeovers;
    if (process.state.owner.role == ownership::Role::Owner) {
        // A restarted standby may hold its pre-allocated epoch again, because it starts nothing without the owner
        // record.
        bool isExclusive = process.state.owner.holdsRecord;
        auto tenure = process.id.value + (isExclusive ? "." + std::to_string(process.incarnation) : "");
        auto [position, isNew] = ownerOfEpoch_.emplace(process.state.owner.epoch, tenure);
        if (!isNew && position->second != tenure)
            throw InvariantViolation("two owners hold epoch " + std::to_string(process.state.owner.epoch));
    }
    if (std::holds_alternative<ReportArrived>(input))
        checkOvercommitment(process);
}

Totals Simulation::run()
{
    for (auto& process : processes_)
        startProcess(process);
    schedule(1500, [this] { submitJob(); });
    if (options_.hasFaults)
        schedule(3000, [this] { injectFault(); });
    schedule(options_.faultPeriodMs, [this] {
        trace("heal");
        storeMode_ = StoreMode::Answers;
        isolatedSites_.clear();
        for (auto& worker : workers_)
            worker.failsAllTasks = false;
    });
    while (!events_.empty() && now_ < options_.faultPeriodMs + options_.recoveryPeriodMs) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.event();
        bool isSettled = now_ > options_.faultPeriodMs + 20000 && totals_.steps % 256 == 0
            && std::all_of(durableJobs_.begin(), durableJobs_.end(),
                [&](const JobId& job) { return outcomeBatches_.contains(job); });
        if (isSettled)
            break;
    }
    checkAttemptHistory();
    checkFinalState();
    totals_.accepted = acceptedJobs_.size();
    totals_.refused = refusedJobs_.size();
    totals_.attempts = history_.size();
    return totals_;
}

} // namespace agatevane::simulation
