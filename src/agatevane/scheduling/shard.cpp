#include "agatevane/scheduling/shard.h"
#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/shares.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    int findJob(const Shard& shard, const JobId& id)
    {
        auto found = shard.jobSlots.find(id);
        return found == shard.jobSlots.end() ? -1 : found->second;
    }

    bool isCharged(const Job& job)
    {
        return job.state == GangState::Charged || job.state == GangState::Preempting;
    }

} // namespace

void ShardDeleter::operator()(Shard* shard) const
{
    delete shard;
}

ShardPtr makeShard()
{
    return ShardPtr(new Shard);
}

void setPolicy(Shard& shard, const Policy& policy)
{
    shard.policy = policy;
    for (auto& workspace : shard.workspaces) {
        workspace.weight = 1;
        workspace.guaranteed = 0;
        workspace.quota = 0;
    }
    for (const auto& entry : policy.workspaces) {
        Workspace& workspace = shard.workspaces[findOrAddWorkspace(shard, entry.id)];
        workspace.weight = std::max(entry.weight, 0.01);
        workspace.guaranteed = std::max(0, entry.guaranteedAccelerators);
        workspace.quota = std::max(0, entry.quotaAccelerators);
    }
    shard.policy.workspaces.clear();
    shard.isGuaranteeShortfallExpected = true;
    updateGuarantees(shard);
}

void setWorker(Shard& shard, const WorkerState& worker)
{
    int total = shard.fleet.totalCapacity;
    int available = shard.fleet.capacity;
    setWorker(shard.fleet, worker);
    shard.didCapacityShrink |= shard.fleet.totalCapacity < total;
    shard.isGuaranteeShortfallExpected |= shard.fleet.capacity < available;
    const Worker& state = shard.fleet.workers[findOrAddWorker(shard.fleet, worker.id)];
    shard.isOvercommitExpected |= state.used > state.capacity;
    updateGuarantees(shard);
}

void removeWorker(Shard& shard, const WorkerId& worker)
{
    auto found = shard.fleet.workerSlots.find(worker);
    if (found == shard.fleet.workerSlots.end())
        return;
    std::vector<int> affectedJobs;
    for (const auto& reservation : shard.reservations) {
        if (std::any_of(reservation.allocation.begin(), reservation.allocation.end(),
                [&](const AllocationPart& part) { return part.worker == found->second; }))
            affectedJobs.push_back(reservation.job);
    }
    for (int job : affectedJobs)
        dropReservation(shard, job);
    const Worker& state = shard.fleet.workers[found->second];
    shard.isOvercommitExpected |= state.used > 0;
    shard.isGuaranteeShortfallExpected |= state.isAvailable;
    removeWorker(shard.fleet, worker);
    shard.didCapacityShrink = true;
    updateGuarantees(shard);
}

std::optional<std::string> impossibleReason(const Shard& shard, const JobSpec& spec)
{
    if (auto reason = neverFitsReason(shard.fleet, shapeOf(spec)))
        return reason;
    auto found = shard.workspaceSlots.find(spec.workspace);
    const Workspace* workspace = found == shard.workspaceSlots.end() ? nullptr : &shard.workspaces[found->second];
    if (workspace != nullptr && workspace->quota > 0 && spec.accelerators > workspace->quota) {
        return "the job needs " + std::to_string(spec.accelerators) + " accelerators; the quota of workspace "
            + spec.workspace.value + " is " + std::to_string(workspace->quota);
    }
    if (spec.canStop || spec.canCheckpoint)
        return std::nullopt;
    std::int64_t others = 0;
    for (const auto& other : shard.workspaces)
        others += &other == workspace ? 0 : other.guaranteed;
    if (others > 0 && others + spec.accelerators > shard.fleet.totalCapacity) {
        return "the job can neither be checkpointed nor stopped, and " + std::to_string(spec.accelerators)
            + " accelerators would block the guarantees of other workspaces";
    }
    return std::nullopt;
}

void enqueue(Shard& shard, const JobSpec& spec, Instant queuedAt, std::int64_t restoredMs)
{
    if (shard.jobSlots.contains(spec.id))
        return;
    int job = addJob(shard, spec);
    shard.jobs[job].queuedAt = queuedAt;
    shard.jobs[job].restoredMs = restoredMs;
    addToQueue(shard, job);
}

void adopt(
    Shard& shard, const JobSpec& spec, const Placement& placement, Instant startedAt, std::int64_t checkpointedMs)
{
    int known = findJob(shard, spec.id);
    if (known >= 0 && isCharged(shard.jobs[known]))
        return;
    if (known >= 0)
        dequeue(shard, spec.id);
    int job = addJob(shard, spec);
    Allocation allocation;
    for (const auto& part : placement)
        allocation.push_back({ findOrAddWorker(shard.fleet, part.worker), part.accelerators });
    shard.jobs[job].queuedAt = startedAt;
    chargeGang(shard, job, std::move(allocation), startedAt);
    shard.jobs[job].isRunning = true;
    shard.isGuaranteeShortfallExpected |= !shard.jobs[job].isStoppable;
    for (const auto& part : shard.jobs[job].allocation) {
        const Worker& state = shard.fleet.workers[part.worker];
        shard.isOvercommitExpected |= state.used > state.capacity;
    }
    setCheckpointedAt(shard, job, startedAt + Millis(checkpointedMs));
}

void markRunning(Shard& shard, const JobId& id, Instant at)
{
    int job = findJob(shard, id);
    if (job < 0 || !isCharged(shard.jobs[job]) || shard.jobs[job].isRunning)
        return;
    Job& gang = shard.jobs[job];
    setExpectedEnd(shard, job, gang.expectedEnd + (at - gang.startedAt));
    gang.isRunning = true;
    gang.startedAt = at;
    setCheckpointedAt(shard, job, at);
}

void recordCheckpoint(Shard& shard, const JobId& id, std::int64_t, Instant at)
{
    int job = findJob(shard, id);
    if (job >= 0 && isCharged(shard.jobs[job]))
        setCheckpointedAt(shard, job, at);
}

void markEnded(Shard& shard, const JobId& id, EndReason reason, Instant at)
{
    int job = findJob(shard, id);
    if (job < 0 || !isCharged(shard.jobs[job]))
        return;
    const Job& gang = shard.jobs[job];
    if (reason == EndReason::Finished && gang.isRunning)
        recordRunTime(
            shard.estimator, gang.kind, gang.declaredMs, elapsed(gang.startedAt, at).count() + gang.restoredMs);
    releaseGang(shard, job);
    removeJob(shard, job);
}

void dequeue(Shard& shard, const JobId& id)
{
    int job = findJob(shard, id);
    if (job < 0 || shard.jobs[job].state != GangState::Queued)
        return;
    dropReservation(shard, job);
    removeFromQueue(shard, job);
    removeJob(shard, job);
}

} // namespace agatevane::scheduling
