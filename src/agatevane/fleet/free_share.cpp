#include "agatevane/fleet/free_share.h"

#include "agatevane/fleet/placement.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>
#include <limits>

namespace agatevane::fleet {

namespace {

    struct WidestStep {
        const Job* job = nullptr; //!< null: no step waits
        const StepSpec* step = nullptr;
    };

    void addOccurrence(WidestStep& widest, const Job& job, const Occurrence& occurrence)
    {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto& step = occurrence.steps[index];
            const auto& spec = job.spec.steps[index];
            if (step.done + step.active >= step.tasks.size() || spec.need.accelerators <= 0)
                continue;
            bool isWider = !widest.step || spec.need.accelerators > widest.step->need.accelerators;
            if (isWider && arePredecessorsDone(occurrence, spec))
                widest = { &job, &spec };
        }
    }

    WidestStep findWidest(const Fleet& fleet, std::int64_t unixMs)
    {
        WidestStep widest;
        for (const auto& id : fleet.openJobs) {
            const auto& job = fleet.jobs.at(id);
            for (std::size_t index = 0; index < job.occurrences.size(); ++index) {
                auto dueMs = job.spec.firstDueUnixMs + static_cast<std::int64_t>(index) * job.spec.intervalMs;
                if (job.spec.occurrences == 0 || unixMs >= dueMs)
                    addOccurrence(widest, job, job.occurrences[index]);
            }
        }
        return widest;
    }

} // namespace

double usableFreeShare(const Fleet& fleet, std::int64_t unixMs, Instant at)
{
    auto widest = findWidest(fleet, unixMs);
    if (!widest.job)
        return 1;
    auto need = reservedCapacity(*widest.step);
    std::int64_t freeAccelerators = 0;
    std::int64_t usable = 0;
    for (const auto& [id, worker] : fleet.workers) {
        if (worker.service != widest.job->policy.service || !isUsable(worker, at))
            continue;
        auto free = worker.capacity;
        free -= worker.used;
        freeAccelerators += std::max<std::int64_t>(0, free.accelerators);
        if (worker.standing == Standing::HeldBack || !isOfKind(worker, *widest.job, *widest.step))
            continue;
        auto fits = countFittingTasks(free, need, std::numeric_limits<std::uint32_t>::max());
        usable += static_cast<std::int64_t>(fits) * need.accelerators;
    }
    return freeAccelerators > 0 ? static_cast<double>(usable) / static_cast<double>(freeAccelerators) : 1;
}

} // namespace agatevane::fleet
