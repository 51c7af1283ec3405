#include "agatevane/fleet/group_commit.h"

#include "agatevane/fleet/queue_record.h"
#include "agatevane/fleet/record.h"

namespace agatevane::fleet {

namespace {

    std::size_t recordCount(Mutation mutation)
    {
        return mutation == Mutation::Progress ? 1 : 2;
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
        auto queued = fleet.queuedProgress.find(next.job);
        if (next.mutation == Mutation::Progress && queued != fleet.queuedProgress.end()
            && queued->second == next.sequence)
            fleet.queuedProgress.erase(queued);
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
    std::set<std::string> keys; //!< of progress records, by job, and of queue records
    for (const auto& write : batch.writes) {
        auto* job = findJob(fleet, write.job);
        if (write.mutation == Mutation::Prune) {
            txn.deletes.push_back(acceptancePrefix + write.job);
            txn.deletes.push_back(progressPrefix + write.job);
        } else if (job && write.mutation == Mutation::Accept) {
            txn.puts.push_back({ acceptancePrefix + write.job, encodeAcceptance(*job) });
            auto key = queueKey(job->policy.name);
            if (keys.insert(key).second)
                txn.puts.push_back({ key, encodeQueue(job->policy) });
        } else if (job && keys.insert(write.job).second) {
            txn.puts.push_back({ progressPrefix + write.job, encodeProgress(*job) });
        }
    }
}

} // namespace agatevane::fleet
