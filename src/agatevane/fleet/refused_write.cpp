#include "agatevane/fleet/refused_write.h"

#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/progress_parts.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! A write that the store has refused for good is tried again after this time, in case that the store has changed.
    constexpr Millis refusedWriteDelay { 5000 };

    PendingWrite* findQueued(Fleet& fleet, CommitSequence sequence)
    {
        auto found = std::find_if(fleet.writes.begin(), fleet.writes.end(),
            [sequence](const PendingWrite& write) { return write.sequence == sequence; });
        return found == fleet.writes.end() ? nullptr : &*found;
    }

    //! False if the job's progress is already stored in its shortest form.
    bool shortenProgress(Job& job)
    {
        if (job.phase != JobPhase::Open || std::exchange(job.parts.areWithoutCheckpoints, true))
            return false;
        if (!job.parts.areUsed)
            splitIntoParts(job);
        return true;
    }

} // namespace

RefusedWrite handleLastingRefusal(Fleet& fleet, const WriteBatch& refused, Instant at)
{
    returnBatch(fleet, refused);
    auto taken = std::find_if(
        refused.writes.begin(), refused.writes.end(), [](const TakenWrite& each) { return each.entries > 0; });
    if (taken == refused.writes.end())
        return {};
    const auto& subject = taken->write.subject;
    auto sequence = taken->write.sequence;
    auto mutation = taken->write.mutation;
    if (mutation == Mutation::Accept && withdraw(fleet, subject))
        return { sequence, RefusalEffect::SubmissionRefused };
    auto* write = findQueued(fleet, sequence);
    auto* job = findJob(fleet, subject);
    if (mutation == Mutation::Progress && write && job && shortenProgress(*job)) {
        write->isBegun = true;
        write->parts.merge(job->parts.changed);
        job->parts.changed.clear();
        return { sequence, RefusalEffect::StoredWithoutCheckpoints };
    }
    if (write)
        write->notBefore = at + refusedWriteDelay;
    return { sequence, RefusalEffect::Delayed };
}

} // namespace agatevane::fleet
