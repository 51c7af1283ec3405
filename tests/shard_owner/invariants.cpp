#include "simulation.h"

namespace agatevane::simulation {

using namespace shard_owner;

void Simulation::checkJournalWrite(const StoreCall& call)
{
    const auto& [key, value] = call.puts.front();
    auto record = ownership::decodeOwnerRecord(store_.values.at("/agatevane/owners/dc").value);
    auto epoch = key.substr(key.rfind('/') + 1, 16);
    if (epoch != toHex(record->epoch))
        throw InvariantViolation(
            "a fenced owner wrote " + key + " while epoch " + std::to_string(record->epoch) + " owns the data centre");
    auto batch = journal::decodeBatch(value);
    if (!batch)
        throw InvariantViolation("batch " + key + " cannot be read");
    for (const auto& entry : batch->records) {
        const auto& job = entry.spec.id;
        if (entry.kind == journal::RecordKind::Accepted) {
            durableJobs_.insert(job);
            continue;
        }
        // A delayed repeat of a write may take effect after a compaction has removed its batch. Replaying the batch
        // again changes nothing.
        auto [position, isFirst] = outcomeBatches_.emplace(job, key);
        if (!isFirst && position->second == key)
            continue;
        if (!isFirst)
            throw InvariantViolation("job " + job.value + " has two outcomes");
        if (entry.kind != journal::RecordKind::Finished)
            continue;
        ++totals_.finished;
        for (auto& worker : workers_)
            worker.advance(now_);
        const auto& attempt = history_.at(entry.attempt);
        for (int part = 0; part < attempt.parts; ++part) {
            auto run = attempt.runs.find(part);
            if (run == attempt.runs.end() || !run->second.isFinished)
                throw InvariantViolation(
                    "job " + job.value + " is recorded as finished without part " + std::to_string(part));
        }
    }
}

void Simulation::checkOvercommitment(const Process& process) const
{
    std::map<WorkerId, int> charged;
    for (const auto& [id, owned] : process.state.gangs) {
        for (const auto& part : owned.chargedPlacement)
            charged[part.worker] += part.accelerators;
    }
    for (const auto& worker : workers_) {
        if (charged[worker.id] > worker.capacity)
            throw InvariantViolation(process.id.value + " overcommitted " + worker.id.value);
        if (worker.used() > worker.capacity)
            throw InvariantViolation(worker.id.value + " is overcommitted");
    }
}

void Simulation::checkAttemptHistory()
{
    // One lease term plus the greatest age of a report that permits a renewal, with 1 % clock drift.
    constexpr double maxPartialRunMs = 6000 * 1.01;
    for (auto& worker : workers_)
        worker.advance(now_);
    for (auto& [id, attempt] : history_) {
        std::set<double> boundaries { now_ };
        for (auto& [number, run] : attempt.runs) {
            if (run.end < 0)
                run.end = now_;
            boundaries.insert(run.start);
            boundaries.insert(run.end);
        }
        for (const auto& [number, run] : attempt.runs) {
            double partialSince = -1;
            for (auto from = boundaries.begin(); std::next(from) != boundaries.end(); ++from) {
                auto middle = (*from + *std::next(from)) / 2;
                bool isRunning = run.start <= middle && middle < run.end;
                int partsPresent = 0;
                for (const auto& [otherNumber, other] : attempt.runs) {
                    bool isPresent = other.start <= middle && (middle < other.end || other.isFinished);
                    partsPresent += isPresent ? 1 : 0;
                }
                if (!isRunning || partsPresent == attempt.parts) {
                    partialSince = -1;
                    continue;
                }
                partialSince = partialSince < 0 ? *from : partialSince;
                auto partialRunMs = *std::next(from) - partialSince;
                totals_.longestPartialRunMs = std::max(totals_.longestPartialRunMs, partialRunMs);
                if (partialRunMs > maxPartialRunMs)
                    throw InvariantViolation("part " + std::to_string(number) + " of " + id.value
                        + " ran in an incomplete gang for " + std::to_string(partialRunMs) + " ms");
            }
        }
        if (refusedJobs_.contains(attempt.job) && !uncertainJobs_.contains(attempt.job))
            throw InvariantViolation("job " + attempt.job.value + " ran although it was refused");
    }
}

void Simulation::checkFinalState()
{
    // Replays the journal from the store, as a new owner would.
    auto state = journal::makeState({ "dc" }, "/agatevane/owners/dc", 1, 1, "check", Instant {});
    for (auto at = Instant {}; !state.isReplayed; at += Millis { 1 }) {
        if (auto result = journal::tick(state, at); result.call)
            journal::onStoreReply(state, store_.apply(*result.call), at);
    }
    for (const auto& job : durableJobs_) {
        auto found = state.jobs.find(job);
        if (found == state.jobs.end())
            throw InvariantViolation("accepted job " + job.value + " is lost from the journal");
        if (!found->second.outcome)
            throw InvariantViolation("accepted job " + job.value + " did not end");
    }
    for (const auto& job : refusedJobs_) {
        if (durableJobs_.contains(job) && !uncertainJobs_.contains(job))
            throw InvariantViolation("job " + job.value + " is durable although it was refused");
    }
}

} // namespace agatevane::simulation
