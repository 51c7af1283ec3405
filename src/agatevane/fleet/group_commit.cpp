#include "agatevane/fleet/group_commit.h"

#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/progress_parts.h"
#include "agatevane/fleet/queue_record.h"
#include "agatevane/fleet/record.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! How much of a write was added to a batch.
    enum class Taken { All, Some, None };

    //! A batch while writes are added to it.
    struct OpenBatch {
        Fleet& fleet;
        BatchLimits limits;
        WriteBatch batch;
        std::size_t bytes = 0;
        std::set<std::string> keys; //!< of `batch.puts`: several writes may share a record
    };

    std::size_t entriesOf(const WriteBatch& batch)
    {
        return batch.puts.size() + batch.deletes.size();
    }

    bool isEmpty(const OpenBatch& open)
    {
        return entriesOf(open.batch) == 0;
    }

    bool hasRoom(const OpenBatch& open, std::size_t entries, std::size_t bytes)
    {
        bool fits = entriesOf(open.batch) + entries <= open.limits.entries && open.bytes + bytes <= open.limits.bytes;
        return fits || isEmpty(open);
    }

    //! False if there is no room, and nothing was added.
    bool addPuts(OpenBatch& open, std::vector<kv::Put> puts)
    {
        std::erase_if(puts, [&open](const kv::Put& put) { return open.keys.contains(put.key); });
        std::size_t bytes = 0;
        for (const auto& put : puts)
            bytes += put.key.size() + put.value.size();
        if (!puts.empty() && !hasRoom(open, puts.size(), bytes))
            return false;
        for (auto& put : puts) {
            open.keys.insert(put.key);
            open.batch.puts.push_back(std::move(put));
        }
        open.bytes += bytes;
        return true;
    }

    bool addDeletes(OpenBatch& open, const std::vector<std::string>& keys)
    {
        if (!hasRoom(open, keys.size(), 0))
            return false;
        open.batch.deletes.insert(open.batch.deletes.end(), keys.begin(), keys.end());
        return true;
    }

    //! A later change of the same record needs another write.
    void noteTaken(Fleet& fleet, const PendingWrite& write)
    {
        if (write.mutation == Mutation::Deny)
            return noteDenialTaken(fleet.denials, write.subject, write.sequence);
        auto queued = fleet.queuedProgress.find(write.subject);
        if (write.mutation == Mutation::Progress && queued != fleet.queuedProgress.end()
            && queued->second == write.sequence)
            fleet.queuedProgress.erase(queued);
    }

    Taken takeAcceptance(OpenBatch& open, const PendingWrite& write)
    {
        const auto* job = findJob(open.fleet, write.subject);
        if (!job)
            return Taken::All;
        auto key = acceptancePrefix + write.subject;
        // The records of an earlier job with this id are removed first, in a transaction of their own.
        const auto& removed = open.batch.deletes;
        if (std::find(removed.begin(), removed.end(), key) != removed.end())
            return Taken::None;
        bool isAdded = addPuts(
            open, { { key, encodeAcceptance(*job) }, { queueKey(job->policy.name), encodeQueue(job->policy) } });
        return isAdded ? Taken::All : Taken::None;
    }

    Taken takeDenials(OpenBatch& open, const PendingWrite& write)
    {
        const auto& records = open.fleet.denials.records;
        auto record = records.find(write.subject);
        if (record == records.end())
            return Taken::All;
        return addPuts(open, { { write.subject, encodeDenials(record->second) } }) ? Taken::All : Taken::None;
    }

    //! Adds the parts that are left of the write, as far as there is room.
    Taken takeParts(OpenBatch& open, PendingWrite& write, Job& job, std::set<PartNumber>& taken)
    {
        auto maxBytes = job.parts.areWithoutCheckpoints ? 0 : std::min(maxPartBytes, open.fleet.limits.maxValueBytes);
        while (!write.parts.empty()) {
            auto part = *write.parts.begin();
            if (!addPuts(open, { { partKey(job.spec.id, part), encodePart(job, part, maxBytes) } }))
                return taken.empty() ? Taken::None : Taken::Some;
            job.parts.stored.insert(part);
            taken.insert(part);
            write.parts.erase(part);
        }
        return Taken::All;
    }

    Taken takeProgressRecord(OpenBatch& open, const Job& job, std::string record)
    {
        return addPuts(open, { { progressPrefix + job.spec.id, std::move(record) } }) ? Taken::All : Taken::None;
    }

    //! Fixes the changes that the write has to store, so that it ends although further tasks change.
    void beginParts(Fleet& fleet, PendingWrite& write, Job& job)
    {
        if (std::exchange(write.isBegun, true))
            return;
        write.parts = std::exchange(job.parts.changed, {});
        noteTaken(fleet, write);
    }

    //! True if a task has failed more often than the job's progress record can tell.
    bool hasForgottenFailures(const Job& job)
    {
        auto hasForgotten = [](const Task& task) { return task.failures > task.failedRuns.size(); };
        for (const auto& occurrence : job.occurrences) {
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
                const auto& tasks = occurrence.steps[index].tasks;
                // The failures of continuous tasks are not limited.
                if (!job.spec.steps[index].isContinuous && std::any_of(tasks.begin(), tasks.end(), hasForgotten))
                    return true;
            }
        }
        return false;
    }

    //! The job's progress in one record. Nothing if it does not fit.
    std::optional<std::string> encodeWhole(const Fleet& fleet, const Job& job)
    {
        if (hasForgottenFailures(job))
            return std::nullopt;
        auto record = encodeProgress(job);
        auto maxBytes = std::min(maxWholeBytes, fleet.limits.maxValueBytes);
        return record.size() <= maxBytes ? std::optional(std::move(record)) : std::nullopt;
    }

    Taken takeProgress(OpenBatch& open, PendingWrite& write, std::set<PartNumber>& parts)
    {
        auto* job = findJob(open.fleet, write.subject);
        if (!job)
            return Taken::All;
        if (!job->parts.areUsed) {
            if (open.keys.contains(progressPrefix + write.subject))
                return Taken::All;
            if (auto whole = encodeWhole(open.fleet, *job))
                return takeProgressRecord(open, *job, std::move(*whole));
            splitIntoParts(*job);
        }
        beginParts(open.fleet, write, *job);
        if (job->phase != JobPhase::Open)
            write.parts.clear();
        auto taken = takeParts(open, write, *job, parts);
        if (taken != Taken::All)
            return taken;
        taken = takeProgressRecord(open, *job, encodePhase(*job));
        return taken == Taken::None && !parts.empty() ? Taken::Some : taken;
    }

    Taken takeRemovalOfParts(OpenBatch& open, PendingWrite& write, std::set<PartNumber>& parts)
    {
        auto* job = findJob(open.fleet, write.subject);
        if (job && !std::exchange(write.isBegun, true))
            write.parts = job->parts.stored;
        while (!write.parts.empty()) {
            auto part = *write.parts.begin();
            if (!addDeletes(open, { partKey(write.subject, part) }))
                return parts.empty() ? Taken::None : Taken::Some;
            parts.insert(part);
            write.parts.erase(part);
        }
        return Taken::All;
    }

    Taken take(OpenBatch& open, PendingWrite& write, std::set<PartNumber>& parts)
    {
        const auto& subject = write.subject;
        switch (write.mutation) {
        case Mutation::Accept:
            return takeAcceptance(open, write);
        case Mutation::Progress:
            return takeProgress(open, write, parts);
        case Mutation::RemoveParts:
            return takeRemovalOfParts(open, write, parts);
        case Mutation::Prune:
            return addDeletes(open, { acceptancePrefix + subject, progressPrefix + subject }) ? Taken::All
                                                                                              : Taken::None;
        case Mutation::Deny:
            return takeDenials(open, write);
        case Mutation::ForgetDenials:
            return addDeletes(open, { subject }) ? Taken::All : Taken::None;
        }
        return Taken::All;
    }

    //! Lets other writes go first, except later ones of the same subject.
    void requeue(Fleet& fleet, PendingWrite write)
    {
        fleet.overtakenWrites.insert(write.sequence);
        auto next = std::find_if(fleet.writes.begin(), fleet.writes.end(),
            [&write](const PendingWrite& each) { return each.subject == write.subject; });
        fleet.writes.insert(next, std::move(write));
    }

    void putBack(Fleet& fleet, const TakenWrite& taken)
    {
        if (taken.isComplete) {
            auto write = taken.write;
            write.parts.insert(taken.parts.begin(), taken.parts.end());
            fleet.writes.push_front(std::move(write));
            return;
        }
        auto queued = std::find_if(fleet.writes.begin(), fleet.writes.end(),
            [&taken](const PendingWrite& write) { return write.sequence == taken.write.sequence; });
        if (queued != fleet.writes.end())
            queued->parts.insert(taken.parts.begin(), taken.parts.end());
    }

} // namespace

CommitSequence WriteBatch::lastSequence() const
{
    CommitSequence last = 0;
    for (const auto& taken : writes)
        last = std::max(last, taken.isComplete ? taken.write.sequence : 0);
    return last;
}

WriteBatch takeBatch(Fleet& fleet, const BatchLimits& limits, Instant at)
{
    OpenBatch open { fleet, limits, {}, 0, {} };
    std::deque<PendingWrite> delayed;
    std::set<std::string> delayedSubjects;
    while (!fleet.writes.empty()) {
        auto write = std::move(fleet.writes.front());
        fleet.writes.pop_front();
        if (write.notBefore > at || delayedSubjects.contains(write.subject)) {
            delayedSubjects.insert(write.subject);
            delayed.push_back(std::move(write));
            continue;
        }
        std::set<PartNumber> parts;
        auto entriesBefore = entriesOf(open.batch);
        auto taken = take(open, write, parts);
        if (taken == Taken::None) {
            fleet.writes.push_front(std::move(write));
            break;
        }
        noteTaken(fleet, write);
        open.batch.writes.push_back(
            { write, std::move(parts), taken == Taken::All, entriesOf(open.batch) - entriesBefore });
        if (taken == Taken::Some) {
            requeue(fleet, std::move(write));
            break;
        }
    }
    for (auto write = delayed.rbegin(); write != delayed.rend(); ++write) {
        fleet.overtakenWrites.insert(write->sequence);
        fleet.writes.push_front(std::move(*write));
    }
    return std::move(open.batch);
}

WriteBatch takeBatch(Fleet& fleet, std::size_t maxEntries)
{
    return takeBatch(fleet, BatchLimits { maxEntries }, Instant::max());
}

void returnBatch(Fleet& fleet, const WriteBatch& batch)
{
    for (auto taken = batch.writes.rbegin(); taken != batch.writes.rend(); ++taken)
        putBack(fleet, *taken);
}

void encodeBatch(const WriteBatch& batch, kv::Txn& txn)
{
    txn.puts.insert(txn.puts.end(), batch.puts.begin(), batch.puts.end());
    txn.deletes.insert(txn.deletes.end(), batch.deletes.begin(), batch.deletes.end());
}

void applyCommitted(Fleet& fleet, const WriteBatch& batch)
{
    for (const auto& taken : batch.writes) {
        if (!taken.isComplete)
            continue;
        fleet.overtakenWrites.erase(taken.write.sequence);
        auto* job = findJob(fleet, taken.write.subject);
        if (job && taken.write.mutation == Mutation::RemoveParts) {
            job->parts.stored.clear();
            job->parts.isRemovalQueued = false;
        }
    }
    applyCommitted(fleet, batch.lastSequence());
}

} // namespace agatevane::fleet
