#include "agatevane/scheduling/accounts.h"

#include "agatevane/scheduling/shares.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    void updateCallerKey(Shard& shard, int slot, int used, std::uint64_t lastStartSequence)
    {
        Caller& caller = shard.callers[slot];
        auto& waiting = shard.workspaces[caller.workspace].waitingCallers;
        if (caller.queued > 0)
            waiting.erase({ caller.used, caller.lastStartSequence, slot });
        caller.used = used;
        caller.lastStartSequence = lastStartSequence;
        if (caller.queued > 0)
            waiting.insert({ used, lastStartSequence, slot });
    }

    //! Removes a caller that has no queued or charged job, so that memory use is bounded by the number of jobs.
    void removeIdleCaller(Shard& shard, int slot)
    {
        Caller& caller = shard.callers[slot];
        if (caller.used > 0 || caller.queued > 0)
            return;
        shard.workspaces[caller.workspace].callers.erase(caller.id);
        caller = {};
        shard.vacantCallerSlots.push_back(slot);
    }

} // namespace

int findOrAddWorkspace(Shard& shard, const WorkspaceId& id)
{
    auto [found, isNew] = shard.workspaceSlots.try_emplace(id, static_cast<int>(shard.workspaces.size()));
    if (isNew) {
        shard.workspaces.emplace_back();
        shard.workspaces.back().id = id;
    }
    return found->second;
}

int findOrAddCaller(Shard& shard, int workspace, const CallerId& id)
{
    auto& callers = shard.workspaces[workspace].callers;
    auto found = callers.find(id);
    if (found != callers.end())
        return found->second;
    int slot = static_cast<int>(shard.callers.size());
    if (shard.vacantCallerSlots.empty()) {
        shard.callers.emplace_back();
    } else {
        slot = shard.vacantCallerSlots.back();
        shard.vacantCallerSlots.pop_back();
    }
    shard.callers[slot].id = id;
    shard.callers[slot].workspace = workspace;
    callers.emplace(id, slot);
    return slot;
}

int findOrAddShape(Shard& shard, const Shape& shape)
{
    auto [found, isNew] = shard.shapeSlots.try_emplace(shape, static_cast<int>(shard.shapes.size()));
    if (isNew) {
        shard.shapes.push_back(shape);
        shard.queuedJobsByShape.push_back(0);
    }
    return found->second;
}

Shape shapeOf(const JobSpec& spec)
{
    return { spec.accelerators, spec.acceleratorsPerWorker, spec.maxSpread, spec.canStop || spec.canCheckpoint };
}

int addJob(Shard& shard, const JobSpec& spec)
{
    int slot = static_cast<int>(shard.jobs.size());
    if (shard.vacantJobSlots.empty()) {
        shard.jobs.emplace_back();
    } else {
        slot = shard.vacantJobSlots.back();
        shard.vacantJobSlots.pop_back();
    }
    shard.jobSlots.emplace(spec.id, slot);
    Job& job = shard.jobs[slot];
    job.id = spec.id;
    job.workspace = findOrAddWorkspace(shard, spec.workspace);
    job.caller = findOrAddCaller(shard, job.workspace, spec.caller);
    job.shape = findOrAddShape(shard, shapeOf(spec));
    job.kind = findOrAddKind(shard.estimator, job.workspace, spec.kind);
    job.accelerators = spec.accelerators;
    job.workClass = spec.workClass;
    job.isStoppable = spec.canStop || spec.canCheckpoint;
    job.canCheckpoint = spec.canCheckpoint;
    job.declaredMs = spec.expectedMs;
    job.sequence = ++shard.sequence;
    return slot;
}

void removeJob(Shard& shard, int slot)
{
    Job& job = shard.jobs[slot];
    int caller = job.caller;
    shard.jobSlots.erase(job.id);
    job = {};
    shard.vacantJobSlots.push_back(slot);
    removeIdleCaller(shard, caller);
}

void addToQueue(Shard& shard, int slot)
{
    Job& job = shard.jobs[slot];
    Workspace& workspace = shard.workspaces[job.workspace];
    Caller& caller = shard.callers[job.caller];
    int workClass = indexOf(job.workClass);
    QueueKey key { job.queuedAt, job.sequence, slot };
    job.state = GangState::Queued;
    caller.queues[workClass][job.shape].insert(key);
    caller.queuedShapes[workClass].insert(job.shape);
    if (++caller.queued == 1)
        workspace.waitingCallers.insert({ caller.used, caller.lastStartSequence, job.caller });
    auto& counts = workspace.queuedJobsByClassAndShape[workClass];
    if (counts.size() <= static_cast<std::size_t>(job.shape))
        counts.resize(job.shape + 1);
    if (++counts[job.shape] == 1)
        workspace.queuedShapes[workClass].insert(job.shape);
    workspace.queuedByAge.insert(key);
    ++workspace.queuedJobs;
    workspace.queuedAccelerators += job.accelerators;
    ++shard.queuedJobsByShape[job.shape];
    ++shard.queuedJobsByClass[workClass];
    ++shard.queuedJobs;
}

void removeFromQueue(Shard& shard, int slot)
{
    Job& job = shard.jobs[slot];
    Workspace& workspace = shard.workspaces[job.workspace];
    Caller& caller = shard.callers[job.caller];
    int workClass = indexOf(job.workClass);
    QueueKey key { job.queuedAt, job.sequence, slot };
    job.state = GangState::Vacant;
    auto queue = caller.queues[workClass].find(job.shape);
    queue->second.erase(key);
    if (queue->second.empty()) {
        caller.queues[workClass].erase(queue);
        caller.queuedShapes[workClass].erase(job.shape);
    }
    if (--caller.queued == 0)
        workspace.waitingCallers.erase({ caller.used, caller.lastStartSequence, job.caller });
    if (--workspace.queuedJobsByClassAndShape[workClass][job.shape] == 0)
        workspace.queuedShapes[workClass].erase(job.shape);
    workspace.queuedByAge.erase(key);
    --workspace.queuedJobs;
    workspace.queuedAccelerators -= job.accelerators;
    --shard.queuedJobsByShape[job.shape];
    --shard.queuedJobsByClass[workClass];
    --shard.queuedJobs;
}

void chargeGang(Shard& shard, int slot, Allocation allocation, Instant at)
{
    Job& job = shard.jobs[slot];
    Workspace& workspace = shard.workspaces[job.workspace];
    int workClass = indexOf(job.workClass);
    job.state = GangState::Charged;
    job.isRunning = false;
    job.startedAt = at;
    job.checkpointedAt = at;
    job.allocation = std::move(allocation);
    charge(shard.fleet, job.allocation);
    if (shard.gangsByWorker.size() < shard.fleet.workers.size())
        shard.gangsByWorker.resize(shard.fleet.workers.size());
    for (const auto& part : job.allocation)
        shard.gangsByWorker[part.worker].push_back(slot);
    workspace.used += job.accelerators;
    shard.usedByClass[workClass] += job.accelerators;
    ++shard.chargedJobs;
    if (job.workClass == WorkClass::Urgent)
        workspace.urgentUsed += job.accelerators;
    updateCallerKey(shard, job.caller, shard.callers[job.caller].used + job.accelerators, ++shard.sequence);
    workspace.chargedGangs.insert({ job.isStoppable, job.workClass, job.sequence, slot });
    if (job.isStoppable) {
        workspace.preemptibleGangs[workClass].insert({ job.checkpointedAt, slot });
        job.isProtected = workspace.protectedUsed + job.accelerators <= workspace.effectiveGuarantee;
        workspace.protectedUsed += job.isProtected ? job.accelerators : 0;
    } else {
        workspace.unstoppableUsed += job.accelerators;
        updateProtection(shard, workspace);
    }
    std::int64_t left = correctedRunTimeMs(shard.estimator, job.kind, job.declaredMs) - job.restoredMs;
    job.expectedEnd = at + Millis(std::max<std::int64_t>(left, 0));
    shard.byExpectedEnd.emplace(job.expectedEnd, slot);
}

void releaseGang(Shard& shard, int slot)
{
    Job& job = shard.jobs[slot];
    Workspace& workspace = shard.workspaces[job.workspace];
    int workClass = indexOf(job.workClass);
    release(shard.fleet, job.allocation);
    for (const auto& part : job.allocation)
        std::erase(shard.gangsByWorker[part.worker], slot);
    workspace.used -= job.accelerators;
    shard.usedByClass[workClass] -= job.accelerators;
    --shard.chargedJobs;
    if (job.workClass == WorkClass::Urgent)
        workspace.urgentUsed -= job.accelerators;
    if (job.state == GangState::Preempting) {
        workspace.preempting -= job.accelerators;
        shard.preemptingByClass[workClass] -= job.accelerators;
    }
    updateCallerKey(shard, job.caller, shard.callers[job.caller].used - job.accelerators,
        shard.callers[job.caller].lastStartSequence);
    workspace.chargedGangs.erase({ job.isStoppable, job.workClass, job.sequence, slot });
    workspace.preemptibleGangs[workClass].erase({ job.checkpointedAt, slot });
    workspace.unstoppableUsed -= job.isStoppable ? 0 : job.accelerators;
    shard.byExpectedEnd.erase({ job.expectedEnd, slot });
    job.allocation.clear();
    job.state = GangState::Vacant;
    if (job.isProtected) {
        workspace.protectedUsed -= job.accelerators;
        job.isProtected = false;
        if (workspace.used > workspace.protectedUsed)
            updateProtection(shard, workspace);
    }
}

void beginPreemption(Shard& shard, int slot, Instant deadline)
{
    Job& job = shard.jobs[slot];
    Workspace& workspace = shard.workspaces[job.workspace];
    workspace.preemptibleGangs[indexOf(job.workClass)].erase({ job.checkpointedAt, slot });
    workspace.preempting += job.accelerators;
    shard.preemptingByClass[indexOf(job.workClass)] += job.accelerators;
    job.state = GangState::Preempting;
    job.preemptionDeadline = deadline;
    // The guarantee now covers only the gangs that are not being preempted. If it still counted this one, the others
    // would lose their protection, and the workspace could be preempted below its guarantee.
    updateProtection(shard, workspace);
}

void setCheckpointedAt(Shard& shard, int slot, Instant at)
{
    Job& job = shard.jobs[slot];
    auto& preemptibleGangs = shard.workspaces[job.workspace].preemptibleGangs[indexOf(job.workClass)];
    bool isListed = preemptibleGangs.erase({ job.checkpointedAt, slot }) > 0;
    job.checkpointedAt = at;
    if (isListed)
        preemptibleGangs.insert({ at, slot });
}

void setExpectedEnd(Shard& shard, int slot, Instant at)
{
    Job& job = shard.jobs[slot];
    shard.byExpectedEnd.erase({ job.expectedEnd, slot });
    job.expectedEnd = at;
    shard.byExpectedEnd.emplace(at, slot);
}

} // namespace agatevane::scheduling
