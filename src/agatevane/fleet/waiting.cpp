#include "agatevane/fleet/waiting.h"

#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/placement.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! Number of tasks of the step that fit into `capacity` of one worker.
    std::int64_t tasksThatFit(const StepSpec& step, const Capacity& capacity)
    {
        std::int64_t most = step.maxPerWorker > 0 ? std::min(step.maxPerWorker, step.count) : step.count;
        auto bound = [&most](std::int64_t has, std::int64_t needs) {
            if (needs > 0)
                most = std::min(most, has / needs);
        };
        bound(capacity.milliCores, step.isFiller ? 0 : step.need.milliCores);
        bound(capacity.memoryMiB, step.need.memoryMiB);
        bound(capacity.accelerators, step.need.accelerators);
        return most;
    }

    enum class Room { Whole, Free };

    //! True if the usable workers of the right kind have room for the tasks that must start together.
    bool haveWorkersRoom(const Fleet& fleet, const Job& job, const StepSpec& step, Room room, Instant at)
    {
        std::int64_t slots = 0;
        for (const auto& [id, worker] : fleet.workers) {
            if (!isOfKind(worker, job, step) || !isUsable(worker, at))
                continue;
            auto capacity = worker.capacity;
            if (room == Room::Free)
                capacity -= worker.used;
            slots += std::max<std::int64_t>(0, tasksThatFit(step, capacity));
        }
        return slots >= (step.isGang ? static_cast<std::int64_t>(step.count) : 1);
    }

    //! True if no waiting task of the step may start before an earlier run of it has ended.
    bool haveTasksOpenRuns(const Fleet& fleet, const Job& job, const StepId& id, Instant at)
    {
        auto open = tasksWithOpenRun(fleet, at);
        const auto& tasks = job.occurrences[id.occurrence].steps[id.step].tasks;
        bool isGang = job.spec.steps[id.step].isGang;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            if (tasks[index].isDone || tasks[index].run)
                continue;
            bool isOpen = open.contains({ id.job, id.occurrence, id.step, index });
            if (isOpen == isGang)
                return isOpen;
        }
        return !isGang;
    }

    bool prefersRack(const StepSpec& step)
    {
        return !step.dataRack.empty() || (step.isGang && step.isTightlyCoupled);
    }

    WaitReason reasonOf(const Fleet& fleet, const Job& job, const StepId& id, Instant at)
    {
        const auto& spec = job.spec.steps[id.step];
        const auto& step = job.occurrences[id.occurrence].steps[id.step];
        if (areStartsHeld(fleet, at))
            return WaitReason::StartsHeld;
        if (job.isInherited && mayHaveUnreportedRuns(fleet, at))
            return WaitReason::RunsOfEarlierOwner;
        if (spec.isGang && step.active > 0)
            return WaitReason::RunsBeingStopped;
        if (haveTasksOpenRuns(fleet, job, id, at))
            return WaitReason::EarlierRunOpen;
        if (!haveWorkersRoom(fleet, job, spec, Room::Whole, at))
            return WaitReason::NoSuitableWorker;
        if (job.policy.needsTickets && workersWithTicket(fleet, id, at).empty())
            return WaitReason::NoTicket;
        if (prefersRack(spec) && haveWorkersRoom(fleet, job, spec, Room::Free, at))
            return WaitReason::PreferredRack;
        return WaitReason::NoRoom;
    }

} // namespace

WaitStatus explainWait(const Fleet& fleet, const Job& job, std::int64_t unixMs, Instant at)
{
    if (job.phase != JobPhase::Open)
        return {};
    bool isAnyDue = false;
    for (std::uint32_t occurrenceIndex = 0; occurrenceIndex < job.occurrences.size(); ++occurrenceIndex) {
        if (job.spec.occurrences > 0 && unixMs < job.spec.firstDueUnixMs + occurrenceIndex * job.spec.intervalMs)
            continue;
        isAnyDue = true;
        const auto& occurrence = job.occurrences[occurrenceIndex];
        for (std::uint32_t stepIndex = 0; stepIndex < occurrence.steps.size(); ++stepIndex) {
            const auto& step = occurrence.steps[stepIndex];
            auto waiting = static_cast<std::uint32_t>(step.tasks.size()) - step.done - step.active;
            if (waiting == 0 || !arePredecessorsDone(occurrence, job.spec.steps[stepIndex]))
                continue;
            return { reasonOf(fleet, job, { job.spec.id, occurrenceIndex, stepIndex }, at), occurrenceIndex, stepIndex,
                waiting };
        }
    }
    return { isAnyDue ? WaitReason::NotWaiting : WaitReason::NotDue, 0, 0, 0 };
}

} // namespace agatevane::fleet
