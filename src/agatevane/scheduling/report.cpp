#include "agatevane/scheduling/reservation.h"
#include "agatevane/scheduling/shares.h"
#include <algorithm>
#include <map>

namespace agatevane::scheduling {

std::string explainWait(const Shard& shard, const JobId& id, Instant at)
{
    auto found = shard.jobSlots.find(id);
    if (found == shard.jobSlots.end() || shard.jobs[found->second].state != GangState::Queued)
        return {};
    const Job& job = shard.jobs[found->second];
    const Workspace& workspace = shard.workspaces[job.workspace];
    const Shape& shape = shard.shapes[job.shape];
    std::string text = "waits for " + std::to_string(elapsed(job.queuedAt, at).count() / 1000) + " s: ";
    if (auto reason = neverFitsReason(shard.fleet, shape))
        return text + *reason;
    if (const Reservation* reservation = reservationOf(shard, found->second)) {
        return text + "capacity on " + std::to_string(reservation->allocation.size())
            + " workers is held for it; expected within "
            + std::to_string(std::max<std::int64_t>(0, elapsed(at, reservation->expectedAt).count() / 1000)) + " s";
    }
    if (workspace.quota > 0 && workspace.used + job.accelerators > workspace.quota) {
        return text + "workspace " + workspace.id.value + " uses " + std::to_string(workspace.used)
            + " of its quota of " + std::to_string(workspace.quota) + " accelerators";
    }
    if (!isWithinQuotaAndGuarantees(shard, workspace, shape))
        return text + "it can neither be checkpointed nor stopped, and the free capacity belongs to guarantees";
    if (job.accelerators > shard.fleet.free) {
        return text + "needs " + std::to_string(job.accelerators) + " accelerators; " + std::to_string(shard.fleet.free)
            + " are free";
    }
    if (findAllocation(shard.fleet, shape).empty()) {
        return text + "needs " + std::to_string(job.accelerators) + " adjacent accelerators; "
            + std::to_string(shard.fleet.free) + " are free, but not in one block";
    }
    return text + "fits now; starts with the next decision";
}

std::vector<WorkspaceAccount> workspaceAccounts(const Shard& shard)
{
    std::vector<WorkspaceAccount> accounts;
    // The lent part of a guarantee is what its workspace does not use and could get only by preempting others.
    int spare = shard.fleet.free;
    for (const auto& workspace : shard.workspaces) {
        int unclaimed = std::max(0, workspace.effectiveGuarantee - workspace.used);
        int fromFree = std::min(spare, unclaimed);
        spare -= fromFree;
        accounts.push_back({ .id = workspace.id,
            .guaranteed = workspace.guaranteed,
            .effectiveGuarantee = workspace.effectiveGuarantee,
            .used = workspace.used,
            .lent = unclaimed - fromFree,
            .waiting = workspace.queuedAccelerators,
            .dominantShare = shard.fleet.capacity > 0
                ? workspace.used / workspace.weight / static_cast<double>(shard.fleet.capacity)
                : 0 });
    }
    std::sort(accounts.begin(), accounts.end(), [](const auto& a, const auto& b) { return a.id.value < b.id.value; });
    return accounts;
}

FleetSummary summarize(const Shard& shard)
{
    FleetSummary summary { .accelerators = shard.fleet.totalCapacity,
        .acceleratorsFree = shard.fleet.free,
        .largestFreeGang = largestFreeGang(shard.fleet),
        .queued = shard.queuedJobs,
        .running = shard.chargedJobs };
    for (const auto& worker : shard.fleet.workers) {
        summary.workers += worker.isPresent ? 1 : 0;
        summary.workersAvailable += worker.isPresent && worker.isAvailable ? 1 : 0;
    }
    return summary;
}

Findings checkGuarantees(
    const std::vector<WorkerState>& workers, const std::vector<WorkspacePolicy>& workspaces, const std::string& place)
{
    std::map<std::string, int> racks;
    int total = 0;
    for (const auto& worker : workers) {
        racks[worker.rack.value] += worker.capacity.accelerators;
        total += worker.capacity.accelerators;
    }
    auto largest = std::max_element(
        racks.begin(), racks.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    int coverable = largest == racks.end() ? 0 : total - largest->second;
    Findings findings;
    std::int64_t sum = 0;
    for (const auto& workspace : workspaces) {
        sum += workspace.guaranteedAccelerators;
        if (workspace.guaranteedAccelerators < 0)
            findings.push_back({ place, "workspace " + workspace.id.value + ": the guarantee is negative" });
        if (workspace.quotaAccelerators > 0 && workspace.guaranteedAccelerators > workspace.quotaAccelerators) {
            findings.push_back({ place,
                "workspace " + workspace.id.value + ": the guarantee of "
                    + std::to_string(workspace.guaranteedAccelerators) + " exceeds its quota of "
                    + std::to_string(workspace.quotaAccelerators) });
        }
    }
    if (sum > coverable) {
        findings.push_back({ place,
            "guarantees of " + std::to_string(sum) + " accelerators exceed the " + std::to_string(coverable)
                + " that remain without the largest rack"
                + (largest == racks.end() ? "" : " (" + largest->first + ")") });
    }
    return findings;
}

} // namespace agatevane::scheduling
