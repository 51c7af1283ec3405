#include "agatevane/base/hash.h"
#include "agatevane/journal/journal.h"
#include <algorithm>

namespace agatevane::journal {

namespace {

    //! Removes the oldest outcomes beyond `maxKeptOutcomes`. It removes only compacted ones: if an Accepted record of
    //! the job is still in some batch, a replay without the outcome would restore the job.
    void removeOldOutcomes(State& state)
    {
        std::vector<std::pair<std::uint64_t, JobId>> compacted;
        std::size_t count = 0;
        for (const auto& [id, job] : state.jobs) {
            count += job.outcome ? 1 : 0;
            if (job.isOutcomeCompacted)
                compacted.emplace_back(job.outcomeOrder, id);
        }
        if (count <= state.timing.maxKeptOutcomes)
            return;
        auto excess = std::min(count - state.timing.maxKeptOutcomes, compacted.size());
        std::sort(compacted.begin(), compacted.end());
        for (std::size_t i = 0; i < excess; ++i)
            state.jobs.erase(compacted[i].second);
    }

} // namespace

void planCompaction(State& state)
{
    removeOldOutcomes(state);
    auto generation = ++state.snapshotGeneration;
    // The epoch precedes the generation, so that keys of a later epoch sort after those of an earlier one.
    auto generationPrefix = snapshotPrefix(state.dataCentre) + toHex(state.epoch) + "-" + toHex(generation) + "-";
    std::vector<std::string> chunk;
    std::size_t bytes = 128; // Braces, token and field names.
    std::uint64_t chunks = 0;
    auto flush = [&] {
        if (chunk.empty())
            return;
        StoreCall call;
        call.puts.emplace_back(generationPrefix + toHex(chunks++), encodeBatch("snapshot", chunk));
        state.compaction.push_back(std::move(call));
        chunk.clear();
        bytes = 128;
    };
    std::vector<std::pair<std::uint64_t, const JournaledJob*>> ordered;
    for (const auto& [id, job] : state.jobs)
        ordered.emplace_back(job.outcome ? job.outcomeOrder : 0, &job);
    std::sort(ordered.begin(), ordered.end());
    for (const auto& [order, job] : ordered) {
        auto text = job->outcome ? encode(*job->outcome) : encode({ .kind = RecordKind::Accepted, .spec = job->spec });
        if (bytes + text.size() + 1 > maxBatchBytes)
            flush();
        bytes += text.size() + 1;
        chunk.push_back(std::move(text));
        if (job->outcome)
            state.compactedOutcomes.push_back(job->outcome->spec.id);
    }
    flush();
    // The deletions come last: a crash between any two steps leaves a superset of the records, which replays to the
    // same state.
    StoreCall removal;
    auto journal = journalPrefix(state.dataCentre);
    removal.deletes.emplace_back(journal, journal + toHex(state.epoch) + "-" + toHex(state.nextBatchSequence));
    removal.deletes.emplace_back(snapshotPrefix(state.dataCentre), generationPrefix);
    state.compaction.push_back(std::move(removal));
    state.batchesSinceCompaction = 0;
}

} // namespace agatevane::journal
