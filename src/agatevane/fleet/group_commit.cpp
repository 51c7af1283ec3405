#include "agatevane/fleet/group_commit.h"

#include "agatevane/fleet/queue_record.h"
#include "agatevane/fleet/record.h"

namespace agatevane::fleet {

namespace {

    std::size_t recordCount(Mutation mutation)
    {
        bool hasTwo = mutation == Mutation::Accept || mutation == Mutation::Prune;
        return hasTwo ? 2 : 1;
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

    void encodeAccepted(const Job& job, std::set<std::string>& keys, kv::Txn& txn)
    {
        txn.puts.push_back({ acceptancePrefix + job.spec.id, encodeAcceptance(job) });
        auto key = queueKey(job.policy.name);
        if (keys.insert(key).second)
            txn.puts.push_back({ key, encodeQueue(job.policy) });
    }

    void encodeDenied(const Denials& denials, const std::string& key, std::set<std::string>& keys, kv::Txn& txn)
    {
        auto record = denials.records.find(key);
        if (record != denials.records.end() && keys.insert(key).second)
            txn.puts.push_back({ key, encodeDenials(record->second) });
    }

} // namespace

WriteBatch takeBatch(Fleet& fleet, std::size_t maxEntries)
{
    WriteBatch batch;
    std::size_t entries = 0;
    while (!fleet.writes.empty()) {
        const auto& next = fleet.writes.front();
        entries += recordCount(next.mutation);
        if (entries > maxEntries)
            break;
        noteTaken(fleet, next);
        batch.writes.push_back(next);
        fleet.writes.pop_front();
    }
    return batch;
}

void returnBatch(Fleet& fleet, const WriteBatch& batch)
{
    for (auto write = batch.writes.rbegin(); write != batch.writes.rend(); ++write)
        fleet.writes.push_front(*write);
}

void encodeBatch(Fleet& fleet, const WriteBatch& batch, kv::Txn& txn)
{
    std::set<std::string> keys; //!< of records in `txn` that several writes may share
    for (const auto& write : batch.writes) {
        const auto* job = findJob(fleet, write.subject);
        switch (write.mutation) {
        case Mutation::Accept:
            if (job)
                encodeAccepted(*job, keys, txn);
            break;
        case Mutation::Progress:
            if (job && keys.insert(progressPrefix + write.subject).second)
                txn.puts.push_back({ progressPrefix + write.subject, encodeProgress(*job) });
            break;
        case Mutation::Prune:
            txn.deletes.push_back(acceptancePrefix + write.subject);
            txn.deletes.push_back(progressPrefix + write.subject);
            break;
        case Mutation::Deny:
            encodeDenied(fleet.denials, write.subject, keys, txn);
            break;
        case Mutation::ForgetDenials:
            txn.deletes.push_back(write.subject);
            break;
        }
    }
}

} // namespace agatevane::fleet
