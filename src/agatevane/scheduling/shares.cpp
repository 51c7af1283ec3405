#include "agatevane/scheduling/shares.h"

#include <algorithm>

namespace agatevane::scheduling {

namespace {

    constexpr double maxCreditSeconds = 60; //!< credit is at most the fair share multiplied by this time

    //! Accelerators of work that cannot be stopped beyond the guarantee of its workspace.
    int excess(int unstoppable, int guarantee)
    {
        return std::max(0, unstoppable - guarantee);
    }

} // namespace

void updateProtection(Shard& shard, Workspace& workspace)
{
    workspace.protectedUsed = 0;
    for (const auto& key : workspace.chargedGangs) {
        Job& job = shard.jobs[key.job];
        job.isProtected = job.state != GangState::Preempting
            && workspace.protectedUsed + job.accelerators <= workspace.effectiveGuarantee;
        workspace.protectedUsed += job.isProtected ? job.accelerators : 0;
    }
}

void updateGuarantees(Shard& shard)
{
    std::int64_t total = 0;
    for (const auto& workspace : shard.workspaces)
        total += workspace.guaranteed;
    for (auto& workspace : shard.workspaces) {
        std::int64_t effective = workspace.guaranteed;
        if (total > shard.fleet.capacity)
            effective = effective * shard.fleet.capacity / total;
        if (effective != workspace.effectiveGuarantee) {
            workspace.effectiveGuarantee = static_cast<int>(effective);
            updateProtection(shard, workspace);
        }
    }
}

void updateFairShares(Shard& shard, Instant at)
{
    double seconds = std::chrono::duration<double>(at - shard.fairSharesUpdatedAt).count();
    seconds = std::clamp(seconds, 0.0, maxCreditSeconds);
    shard.fairSharesUpdatedAt = at;
    double activeWeight = 0;
    for (const auto& workspace : shard.workspaces)
        activeWeight += workspace.used > 0 || workspace.queuedJobs > 0 ? workspace.weight : 0;
    for (auto& workspace : shard.workspaces) {
        bool isActive = workspace.used > 0 || workspace.queuedJobs > 0;
        double weights = activeWeight + (isActive ? 0 : workspace.weight);
        double share = weights > 0 ? shard.fleet.capacity * workspace.weight / weights : 0;
        workspace.fairShare = std::max({ 1.0, share, static_cast<double>(workspace.effectiveGuarantee) });
        workspace.credit += (workspace.fairShare - workspace.used) * seconds;
        workspace.credit = std::clamp(workspace.credit, 0.0, maxCreditSeconds * workspace.fairShare);
    }
}

double score(const Shard& shard, const Workspace& workspace, Instant at)
{
    double used = workspace.used - workspace.preempting - workspace.credit / maxCreditSeconds;
    double age = 0;
    if (!workspace.queuedByAge.empty() && shard.policy.reservationAfter.count() > 0) {
        age = std::chrono::duration<double>(at - workspace.queuedByAge.begin()->queuedAt).count()
            / std::chrono::duration<double>(shard.policy.reservationAfter).count();
    }
    return shard.policy.fairnessWeight * used / workspace.fairShare - (1 - shard.policy.fairnessWeight) * age;
}

bool isWithinQuotaAndGuarantees(const Shard& shard, const Workspace& workspace, const Shape& shape)
{
    if (workspace.quota > 0 && workspace.used + shape.accelerators > workspace.quota)
        return false;
    if (shape.isStoppable)
        return true;
    // Work that cannot be stopped must leave enough capacity for the guarantees of all other workspaces.
    std::int64_t committed = 0;
    for (const auto& other : shard.workspaces)
        committed += other.effectiveGuarantee + excess(other.unstoppableUsed, other.effectiveGuarantee);
    int unstoppable = workspace.unstoppableUsed;
    committed += excess(unstoppable + shape.accelerators, workspace.effectiveGuarantee)
        - excess(unstoppable, workspace.effectiveGuarantee);
    return committed <= shard.fleet.capacity;
}

} // namespace agatevane::scheduling
