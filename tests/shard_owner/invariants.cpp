#include "simulation.h"

namespace agatevane::simulation {

using namespace shard_owner;

void Simulation::checkJournalWrite(const StoreCall& call)
{
    const auto& [key, value] = call.puts.front();
    auto record = ownership::decodeOwnerRecord(store_.values.at("/agatevane/owners/dc").value);
    auto epoch = key.substr(key.rfind('/') + 1, 16);
    if (epoch != toHex(record->epoch))
        throw Breach("a fenced owner wrote " + key + " while epoch " + std::to_string(record->epoch) + " owns");
    auto batch = journal::decodeBatch(value);
    if (!batch)
        throw Breach("batch " + key + " cannot be read");
    for (const auto& entry : batch->records) {
        const auto& job = entry.spec.id;
        if (entry.kind == journal::RecordKind::Accepted) {
            durable_.insert(job);
            continue;
        }
        // A delayed write may land again after compaction removed its batch; folding it again changes nothing.
        auto [position, isFirst] = finals_.emplace(job, key);
        if (!isFirst && position->second == key)
            continue;
        if (!isFirst)
            throw Breach("job " + job.value + " has two outcomes");
        if (entry.kind != journal::RecordKind::Finished)
            continue;
        ++totals_.finished;
        for (auto& worker : workers_)
            worker.advance(now_);
        const auto& attempt = history_.at(entry.attempt);
        for (int part = 0; part < attempt.parts; ++part) {
            auto run = attempt.runs.find(part);
            if (run == attempt.runs.end() || !run->second.isFinished)
                throw Breach("job " + job.value + " counts as finished without part " + std::to_string(part));
        }
    }
}

void Simulation::checkAccounts(const Process& process) const
{
    std::map<WorkerId, int> charged;
    for (const auto& [id, owned] : process.state.gangs) {
        for (const auto& part : owned.placement)
            charged[part.worker] += part.accelerators;
    }
    for (const auto& worker : workers_) {
        if (charged[worker.id] > worker.capacity)
            throw Breach(process.id.value + " overcommitted " + worker.id.value);
        if (worker.used() > worker.capacity)
            throw Breach(worker.id.value + " is overcommitted");
    }
}

void Simulation::checkAttempts()
{
    constexpr double longestAlone = 6000 * 1.01;
    for (auto& worker : workers_)
        worker.advance(now_);
    for (auto& [id, attempt] : history_) {
        std::set<double> marks { now_ };
        for (auto& [number, run] : attempt.runs) {
            if (run.end < 0)
                run.end = now_;
            marks.insert(run.start);
            marks.insert(run.end);
        }
        for (const auto& [number, run] : attempt.runs) {
            double aloneSince = -1;
            for (auto from = marks.begin(); std::next(from) != marks.end(); ++from) {
                auto middle = (*from + *std::next(from)) / 2;
                bool isRunning = run.start <= middle && middle < run.end;
                int present = 0;
                for (const auto& [otherNumber, other] : attempt.runs) {
                    bool isPresent = other.start <= middle && (middle < other.end || other.isFinished);
                    present += isPresent ? 1 : 0;
                }
                if (!isRunning || present == attempt.parts) {
                    aloneSince = -1;
                    continue;
                }
                aloneSince = aloneSince < 0 ? *from : aloneSince;
                auto alone = *std::next(from) - aloneSince;
                totals_.longestAloneMs = std::max(totals_.longestAloneMs, alone);
                if (alone > longestAlone)
                    throw Breach("part " + std::to_string(number) + " of " + id.value + " ran alone for "
                        + std::to_string(alone) + " ms");
            }
        }
        if (refused_.contains(attempt.job) && !uncertain_.contains(attempt.job))
            throw Breach("job " + attempt.job.value + " ran although it was refused");
    }
}

void Simulation::checkEnd()
{
    // What a new owner would read, from the store alone.
    auto state = journal::makeState({ "dc" }, "/agatevane/owners/dc", 1, 1, "check", Instant {});
    for (auto at = Instant {}; !state.isReplayed; at += Millis { 1 }) {
        if (auto result = journal::tick(state, at); result.call)
            journal::onStoreReply(state, store_.apply(*result.call), at);
    }
    for (const auto& job : durable_) {
        auto found = state.jobs.find(job);
        if (found == state.jobs.end())
            throw Breach("accepted job " + job.value + " is lost from the journal");
        if (!found->second.outcome)
            throw Breach("accepted job " + job.value + " did not end");
    }
    for (const auto& job : refused_) {
        if (durable_.contains(job) && !uncertain_.contains(job))
            throw Breach("job " + job.value + " is durable although it was refused");
    }
}

} // namespace agatevane::simulation
