#include "agatevane/fleet/waiting.h"

#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/placement.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! Number of tasks of the step that fit on the worker if nothing else runs on it.
    std::int64_t tasksThatFit(const StepSpec& step, const Worker& worker)
    {
        std::int64_t most = step.maxPerWorker > 0 ? std::min(step.maxPerWorker, step.count) : step.count;
        auto bound = [&most](std::int64_t has, std::int64_t needs) {
            if (needs > 0)
                most = std::min(most, has / needs);
        };
        bound(worker.capacity.milliCores, step.isFiller ? 0 : step.need.milliCores);
        bound(worker.capacity.memoryMiB, step.need.memoryMiB);
        bound(worker.capacity.accelerators, step.need.accelerators);
        return most;
    }

    bool areWorkersSuitable(const Fleet& fleet, const Job& job, const StepSpec& step, Instant at)
    {
        std::int64_t slots = 0;
        for (const auto& [id, worker] : fleet.workers) {
            const auto& labels = worker.labels;
            bool isOfKind = worker.service == job.policy.service
                && (step.requiredLabel.empty()
                    || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
            if (isOfKind && isUsable(worker, at))
                slots += tasksThatFit(step, worker);
        }
        return slots >= (step.isGang ? static_cast<std::int64_t>(step.count) : 1);
    }

    WaitReason reasonOf(const Fleet& fleet, const Job& job, const StepId& id, Instant at)
    {
        const auto& spec = job.spec.steps[id.step];
        const auto& step = job.occurrences[id.occurrence].steps[id.step];
        if (job.isInherited && mayHaveUnreportedRuns(fleet, at))
            return WaitReason::RunsOfEarlierOwner;
        if (spec.isGang && step.active > 0)
            return WaitReason::RunsBeingStopped;
        if (!areWorkersSuitable(fleet, job, spec, at))
            return WaitReason::NoSuitableWorker;
        if (job.policy.needsTickets && workersWithTicket(fleet, id, at).empty())
            return WaitReason::NoTicket;
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
