#include "agatevane/fleet/room_holds.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/placement.h"
#include "agatevane/fleet/runs.h"
#include <algorithm>
#include <string_view>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! The headroom of a worker, which are sorted by the worker's id; null if the worker is not usable.
    template <typename Headrooms> auto* findHeadroom(Headrooms& headrooms, const WorkerId& id)
    {
        auto found = std::lower_bound(headrooms.begin(), headrooms.end(), id,
            [](const WorkerHeadroom& headroom, const WorkerId& wanted) { return headroom.worker->id < wanted; });
        bool isFound = found != headrooms.end() && found->worker->id == id;
        return isFound ? &*found : nullptr;
    }

    void take(WorkerHeadroom& headroom, const Capacity& need)
    {
        headroom.free -= need;
        headroom.afterStops -= need;
    }

    void putBack(WorkerHeadroom& headroom, const Capacity& need)
    {
        headroom.free += need;
        headroom.afterStops += need;
    }

    void logGivenUp(const StepId& step, const RoomHold& hold, std::string_view reason)
    {
        Line("room_hold_given_up")
            .with("job", step.job)
            .with("step", step.step)
            .with("tasks", hold.workers.size())
            .with("reason", reason);
    }

    bool mayStillStart(const Fleet& fleet, const StepId& id)
    {
        const auto* job = findJob(fleet, id.job);
        if (!job || job->phase != JobPhase::Open)
            return false;
        const auto& step = job->occurrences[id.occurrence].steps[id.step];
        bool hasGangStarted = job->spec.steps[id.step].isGang && step.active > 0;
        return !hasGangStarted && step.done + step.active < step.tasks.size();
    }

    void release(RoomHold& hold, std::vector<WorkerHeadroom>& headrooms)
    {
        for (const auto& worker : hold.workers)
            putBack(*findHeadroom(headrooms, worker), hold.need);
        hold.isTaken = false;
    }

    //! Takes the capacity for at most `count` tasks and forgets the workers that lack it. A gang needs all of them.
    bool takeRoom(RoomHold& hold, std::vector<WorkerHeadroom>& headrooms, std::size_t count)
    {
        std::vector<WorkerId> kept;
        for (const auto& worker : hold.workers) {
            auto* headroom = findHeadroom(headrooms, worker);
            if (kept.size() == count || !headroom
                || !fitsWithin(hold.need, availableOf(*headroom, HeadroomKind::AfterEnds)))
                continue;
            take(*headroom, hold.need);
            kept.push_back(worker);
        }
        bool isWhole = kept.size() == std::min(count, hold.workers.size());
        hold.workers = std::move(kept);
        hold.isTaken = true;
        if (!hold.workers.empty() && (isWhole || !hold.isGang))
            return true;
        release(hold, headrooms);
        return false;
    }

} // namespace

void holdRoom(Fleet& fleet, const PendingStep& pending, const std::vector<std::size_t>& placement,
    const std::vector<WorkerHeadroom>& headrooms, Instant at)
{
    RoomHold hold;
    for (auto index : placement)
        hold.workers.push_back(headrooms[index].worker->id);
    hold.need = reservedCapacity(pending.spec());
    hold.isGang = pending.isGang;
    hold.tier = pending.tier;
    hold.endsAt = at + fleet.limits.gangAssemblyTimeout;
    hold.isTaken = true;
    Line("room_held")
        .with("job", pending.job->spec.id)
        .with("step", pending.step)
        .with("tasks", hold.workers.size())
        .with("tier", hold.tier)
        .with("ends_in_ms", fleet.limits.gangAssemblyTimeout.count());
    fleet.roomHolds.byStep[pending.id()] = std::move(hold);
}

void removeEndedHolds(Fleet& fleet, Instant at)
{
    auto& holds = fleet.roomHolds.byStep;
    for (auto each = holds.begin(); each != holds.end();) {
        each->second.isTaken = false;
        bool mayStart = mayStillStart(fleet, each->first);
        if (mayStart && at < each->second.endsAt) {
            ++each;
            continue;
        }
        if (mayStart)
            logGivenUp(each->first, each->second, "not_started_in_time");
        each = holds.erase(each);
    }
}

void removeHoldIfStarted(Fleet& fleet, const StepId& step)
{
    if (fleet.roomHolds.byStep.contains(step) && !mayStillStart(fleet, step))
        fleet.roomHolds.byStep.erase(step);
}

void takeHeldRoom(Fleet& fleet, std::vector<WorkerHeadroom>& headrooms, int highestTier)
{
    auto& holds = fleet.roomHolds.byStep;
    for (auto each = holds.begin(); each != holds.end();) {
        auto& hold = each->second;
        if (hold.isTaken || hold.tier > highestTier || takeRoom(hold, headrooms, hold.workers.size())) {
            ++each;
            continue;
        }
        logGivenUp(each->first, hold, "room_gone");
        each = holds.erase(each);
    }
}

bool releaseHeldRoom(Fleet& fleet, const StepId& step, std::vector<WorkerHeadroom>& headrooms)
{
    auto found = fleet.roomHolds.byStep.find(step);
    if (found == fleet.roomHolds.byStep.end() || !found->second.isTaken)
        return false;
    release(found->second, headrooms);
    return true;
}

std::vector<std::size_t> findHeldRoom(
    const Fleet& fleet, const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms)
{
    const auto& hold = fleet.roomHolds.byStep.at(pending.id());
    std::vector<std::size_t> placement;
    std::map<std::size_t, Capacity> freeOn;
    for (const auto& worker : hold.workers) {
        const auto* headroom = findHeadroom(headrooms, worker);
        if (placement.size() == pending.taskIndexes.size() || !headroom || !isAllowed(pending, *headroom->worker))
            continue;
        auto index = static_cast<std::size_t>(headroom - headrooms.data());
        auto& free = freeOn.try_emplace(index, headroom->free).first->second;
        auto placedThere = static_cast<std::size_t>(std::count(placement.begin(), placement.end(), index));
        if (!fitsWithin(hold.need, free) || placedThere >= remainingTasksOn(pending, *headroom->worker))
            continue;
        free -= hold.need;
        placement.push_back(index);
    }
    if (pending.isGang && placement.size() < pending.taskIndexes.size())
        return {};
    return placement;
}

bool keepHeldRoom(Fleet& fleet, const PendingStep& pending, std::vector<WorkerHeadroom>& headrooms)
{
    auto found = fleet.roomHolds.byStep.find(pending.id());
    if (found == fleet.roomHolds.byStep.end())
        return false;
    auto& hold = found->second;
    auto waiting = pending.taskIndexes.size();
    if (hold.workers.size() >= waiting && takeRoom(hold, headrooms, waiting)) {
        if (hold.workers.size() == waiting)
            return true;
        release(hold, headrooms);
    }
    logGivenUp(found->first, hold, "too_small");
    fleet.roomHolds.byStep.erase(found);
    return false;
}

} // namespace agatevane::fleet
