#include "agatevane/scheduling/accounts.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    constexpr double creditSeconds = 60; //!< an idle workspace cannot save more than this much of its share

    void updateCallerKey(Shard& shard, int slot, int used, std::uint64_t lastStart)
    {
        Caller& caller = shard.callers[slot];
        auto& waiting = shard.workspaces[caller.workspace].waitingCallers;
        if (caller.queued > 0)
            waiting.erase({ caller.used, caller.lastStart, slot });
        caller.used = used;
        caller.lastStart = lastStart;
        if (caller.queued > 0)
            waiting.insert({ used, lastStart, slot });
    }

    //! Callers come and go; one without any job is forgotten so that memory follows the load.
    void forgetIdleCaller(Shard& shard, int slot)
    {
        Caller& caller = shard.callers[slot];
        if (caller.used > 0 || caller.queued > 0)
            return;
        shard.workspaces[caller.workspace].callers.erase(caller.id);
        caller = {};
        shard.vacantCallers.push_back(slot);
    }

    int excess(int unstoppable, int guarantee)
    {
        return std::max(0, unstoppable - guarantee);
    }

} // namespace

int workspaceSlot(Shard& shard, const WorkspaceId& id)
{
    auto [found, isNew] = shard.workspaceSlots.try_emplace(id, static_cast<int>(shard.workspaces.size()));
    if (isNew) {
        shard.workspaces.emplace_back();
        shard.workspaces.back().id = id;
    }
    return found->second;
}

int callerSlot(Shard& shard, int workspace, const CallerId& id)
{
    auto& callers = shard.workspaces[workspace].callers;
    auto found = callers.find(id);
    if (found != callers.end())
        return found->second;
    int slot = static_cast<int>(shard.callers.size());
    if (shard.vacantCallers.empty()) {
        shard.callers.emplace_back();
    } else {
        slot = shard.vacantCallers.back();
        shard.vacantCallers.pop_back();
    }
    shard.callers[slot].id = id;
    shard.callers[slot].workspace = workspace;
    callers.emplace(id, slot);
    return slot;
}

int shapeSlot(Shard& shard, const Shape& shape)
{
    auto [found, isNew] = shard.shapeSlots.try_emplace(shape, static_cast<int>(shard.shapes.size()));
    if (isNew) {
        shard.shapes.push_back(shape);
        shard.queuedOfShape.push_back(0);
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
    if (shard.vacantJobs.empty()) {
        shard.jobs.emplace_back();
    } else {
        slot = shard.vacantJobs.back();
        shard.vacantJobs.pop_back();
    }
    shard.jobSlots.emplace(spec.id, slot);
    Job& job = shard.jobs[slot];
    job.id = spec.id;
    job.workspace = workspaceSlot(shard, spec.workspace);
    job.caller = callerSlot(shard, job.workspace, spec.caller);
    job.shape = shapeSlot(shard, shapeOf(spec));
    job.kind = kindSlot(shard.estimator, job.workspace, spec.kind);
    job.accelerators = spec.accelerators;
    job.workClass = spec.workClass;
    job.isStoppable = spec.canStop || spec.canCheckpoint;
    job.canCheckpoint = spec.canCheckpoint;
    job.declaredMs = spec.expectedMs;
    job.sequence = ++shard.sequence;
    return slot;
}

void forgetJob(Shard& shard, int slot)
{
    Job& job = shard.jobs[slot];
    int caller = job.caller;
    shard.jobSlots.erase(job.id);
    job = {};
    shard.vacantJobs.push_back(slot);
    forgetIdleCaller(shard, caller);
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
    caller.shapes[workClass].insert(job.shape);
    if (++caller.queued == 1)
        workspace.waitingCallers.insert({ caller.used, caller.lastStart, job.caller });
    auto& counts = workspace.queuedByShape[workClass];
    if (counts.size() <= static_cast<std::size_t>(job.shape))
        counts.resize(job.shape + 1);
    if (++counts[job.shape] == 1)
        workspace.shapes[workClass].insert(job.shape);
    workspace.byAge.insert(key);
    ++workspace.queuedJobs;
    workspace.queuedAccelerators += job.accelerators;
    ++shard.queuedOfShape[job.shape];
    ++shard.queuedOf[workClass];
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
        caller.shapes[workClass].erase(job.shape);
    }
    if (--caller.queued == 0)
        workspace.waitingCallers.erase({ caller.used, caller.lastStart, job.caller });
    if (--workspace.queuedByShape[workClass][job.shape] == 0)
        workspace.shapes[workClass].erase(job.shape);
    workspace.byAge.erase(key);
    --workspace.queuedJobs;
    workspace.queuedAccelerators -= job.accelerators;
    --shard.queuedOfShape[job.shape];
    --shard.queuedOf[workClass];
    --shard.queuedJobs;
}

void chargeGang(Shard& shard, int slot, Slots slots, Instant at)
{
    Job& job = shard.jobs[slot];
    Workspace& workspace = shard.workspaces[job.workspace];
    int workClass = indexOf(job.workClass);
    job.state = GangState::Charged;
    job.isRunning = false;
    job.startedAt = at;
    job.savedAt = at;
    job.slots = std::move(slots);
    charge(shard.fleet, job.slots);
    if (shard.gangsOf.size() < shard.fleet.workers.size())
        shard.gangsOf.resize(shard.fleet.workers.size());
    for (const auto& part : job.slots)
        shard.gangsOf[part.worker].push_back(slot);
    workspace.used += job.accelerators;
    shard.usedOf[workClass] += job.accelerators;
    ++shard.chargedJobs;
    if (job.workClass == WorkClass::Urgent)
        workspace.urgentUsed += job.accelerators;
    updateCallerKey(shard, job.caller, shard.callers[job.caller].used + job.accelerators, ++shard.sequence);
    workspace.charged.insert({ job.isStoppable, job.workClass, job.sequence, slot });
    if (job.isStoppable) {
        workspace.stoppable[workClass].insert({ job.savedAt, slot });
        job.isProtected = workspace.protectedUsed + job.accelerators <= workspace.effectiveGuarantee;
        workspace.protectedUsed += job.isProtected ? job.accelerators : 0;
    } else {
        workspace.unstoppableUsed += job.accelerators;
        updateProtection(shard, workspace);
    }
    std::int64_t left = correctedMs(shard.estimator, job.kind, job.declaredMs) - job.restoredMs;
    job.expectedEnd = at + Millis(std::max<std::int64_t>(left, 0));
    shard.byExpectedEnd.emplace(job.expectedEnd, slot);
}

void releaseGang(Shard& shard, int slot)
{
    Job& job = shard.jobs[slot];
    Workspace& workspace = shard.workspaces[job.workspace];
    int workClass = indexOf(job.workClass);
    release(shard.fleet, job.slots);
    for (const auto& part : job.slots)
        std::erase(shard.gangsOf[part.worker], slot);
    workspace.used -= job.accelerators;
    shard.usedOf[workClass] -= job.accelerators;
    --shard.chargedJobs;
    if (job.workClass == WorkClass::Urgent)
        workspace.urgentUsed -= job.accelerators;
    if (job.state == GangState::Preempting) {
        workspace.leaving -= job.accelerators;
        shard.leavingOf[workClass] -= job.accelerators;
    }
    updateCallerKey(
        shard, job.caller, shard.callers[job.caller].used - job.accelerators, shard.callers[job.caller].lastStart);
    workspace.charged.erase({ job.isStoppable, job.workClass, job.sequence, slot });
    workspace.stoppable[workClass].erase({ job.savedAt, slot });
    workspace.unstoppableUsed -= job.isStoppable ? 0 : job.accelerators;
    shard.byExpectedEnd.erase({ job.expectedEnd, slot });
    job.slots.clear();
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
    workspace.stoppable[indexOf(job.workClass)].erase({ job.savedAt, slot });
    workspace.leaving += job.accelerators;
    shard.leavingOf[indexOf(job.workClass)] += job.accelerators;
    job.state = GangState::Preempting;
    job.preemptionDeadline = deadline;
    // The guarantee covers what stays; otherwise too much of the rest could be preempted.
    updateProtection(shard, workspace);
}

void setSavedAt(Shard& shard, int slot, Instant at)
{
    Job& job = shard.jobs[slot];
    auto& stoppable = shard.workspaces[job.workspace].stoppable[indexOf(job.workClass)];
    bool isListed = stoppable.erase({ job.savedAt, slot }) > 0;
    job.savedAt = at;
    if (isListed)
        stoppable.insert({ at, slot });
}

void setExpectedEnd(Shard& shard, int slot, Instant at)
{
    Job& job = shard.jobs[slot];
    shard.byExpectedEnd.erase({ job.expectedEnd, slot });
    job.expectedEnd = at;
    shard.byExpectedEnd.emplace(at, slot);
}

void updateProtection(Shard& shard, Workspace& workspace)
{
    workspace.protectedUsed = 0;
    for (const auto& key : workspace.charged) {
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

void settle(Shard& shard, Instant at)
{
    double seconds = std::chrono::duration<double>(at - shard.settledAt).count();
    seconds = std::clamp(seconds, 0.0, creditSeconds);
    shard.settledAt = at;
    double activeWeight = 0;
    for (const auto& workspace : shard.workspaces)
        activeWeight += workspace.used > 0 || workspace.queuedJobs > 0 ? workspace.weight : 0;
    for (auto& workspace : shard.workspaces) {
        bool isActive = workspace.used > 0 || workspace.queuedJobs > 0;
        double weights = activeWeight + (isActive ? 0 : workspace.weight);
        double share = weights > 0 ? shard.fleet.capacity * workspace.weight / weights : 0;
        workspace.fairShare = std::max({ 1.0, share, static_cast<double>(workspace.effectiveGuarantee) });
        workspace.credit += (workspace.fairShare - workspace.used) * seconds;
        workspace.credit = std::clamp(workspace.credit, 0.0, creditSeconds * workspace.fairShare);
    }
}

double score(const Shard& shard, const Workspace& workspace, Instant at)
{
    double used = workspace.used - workspace.leaving - workspace.credit / creditSeconds;
    double age = 0;
    if (!workspace.byAge.empty() && shard.policy.reservationAfter.count() > 0) {
        age = std::chrono::duration<double>(at - workspace.byAge.begin()->queuedAt).count()
            / std::chrono::duration<double>(shard.policy.reservationAfter).count();
    }
    return shard.policy.fairnessWeight * used / workspace.fairShare - (1 - shard.policy.fairnessWeight) * age;
}

bool mayCharge(const Shard& shard, const Workspace& workspace, const Shape& shape)
{
    if (workspace.quota > 0 && workspace.used + shape.accelerators > workspace.quota)
        return false;
    if (shape.isStoppable)
        return true;
    // Work that cannot be stopped must leave room for every guarantee that is not its own.
    std::int64_t committed = 0;
    for (const auto& other : shard.workspaces)
        committed += other.effectiveGuarantee + excess(other.unstoppableUsed, other.effectiveGuarantee);
    int unstoppable = workspace.unstoppableUsed;
    committed += excess(unstoppable + shape.accelerators, workspace.effectiveGuarantee)
        - excess(unstoppable, workspace.effectiveGuarantee);
    return committed <= shard.fleet.capacity;
}

} // namespace agatevane::scheduling
