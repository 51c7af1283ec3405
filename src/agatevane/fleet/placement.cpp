#include "agatevane/fleet/placement.h"

#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/worker_choice.h"
#include "agatevane/fleet/worker_speed.h"
#include <algorithm>
#include <limits>

namespace agatevane::fleet {

namespace {

    struct Candidate {
        std::size_t index = 0;
        std::size_t fits = 0;
        Capacity available;
        std::int64_t interference = 0; //!< expected interference with the tasks on the worker; lower is better
        bool isChosenLast = false;
        Standing standing = Standing::Trusted;
        int speedRank = 0; //!< higher is better
    };

    //! Expected interference between fillers and tasks that serve users. Other tasks neither cause nor suffer any.
    std::int64_t interferenceOf(const StepSpec& step, const WorkerHeadroom& headroom)
    {
        if (step.isFiller)
            return headroom.servingTasks * headroom.worker->capacity.milliCores + headroom.fillerMilliCores
                - headroom.free.milliCores;
        return isServing(step) ? headroom.servingTasks + (headroom.fillerMilliCores > 0 ? 1 : 0) : 0;
    }

    //! Sorts workers that are chosen last and suspects behind all others, then by interference, then the fullest
    //! workers first, so that entire workers stay free for large tasks.
    bool isFuller(const Candidate& a, const Candidate& b)
    {
        if (a.isChosenLast != b.isChosenLast)
            return b.isChosenLast;
        if (a.standing != b.standing)
            return a.standing < b.standing;
        if (a.interference != b.interference)
            return a.interference < b.interference;
        if (a.available.accelerators != b.available.accelerators)
            return a.available.accelerators < b.available.accelerators;
        if (a.available.milliCores != b.available.milliCores)
            return a.available.milliCores < b.available.milliCores;
        if (a.speedRank != b.speedRank)
            return a.speedRank > b.speedRank;
        return a.index < b.index;
    }

    //! Whether workers are candidates that the step avoids.
    enum class Avoided { LeftOut, Included };

    std::vector<Candidate> findCandidates(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
        std::size_t count, HeadroomKind kind, const std::string& rack, Avoided avoided)
    {
        auto need = reservedCapacity(pending.spec());
        std::vector<Candidate> candidates;
        for (std::size_t index = 0; index < headrooms.size(); ++index) {
            const auto& headroom = headrooms[index];
            const auto& worker = *headroom.worker;
            if ((!rack.empty() && worker.rack != rack) || !isAllowed(pending, worker))
                continue;
            auto available = availableOf(headroom, kind);
            auto most = std::min(count, remainingTasksOn(pending, worker));
            if (avoided == Avoided::LeftOut)
                most = std::min(most, mostTasksFor(pending, worker));
            auto fits = countFittingTasks(available, need, most);
            if (fits > 0)
                candidates.push_back({ index, fits, available, interferenceOf(pending.spec(), headroom),
                    headroom.isChosenLast, worker.standing, speedRank(worker, pending.job->policy.priority) });
        }
        std::sort(candidates.begin(), candidates.end(), isFuller);
        return candidates;
    }

    bool isAnyAvoided(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms)
    {
        return std::any_of(headrooms.begin(), headrooms.end(),
            [&pending](const WorkerHeadroom& headroom) { return isAvoided(pending, *headroom.worker); });
    }

    std::vector<Candidate> candidatesOf(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
        std::size_t count, HeadroomKind kind, const std::string& rack)
    {
        auto candidates = findCandidates(pending, headrooms, count, kind, rack, Avoided::LeftOut);
        std::size_t found = 0;
        for (const auto& candidate : candidates)
            found += candidate.fits;
        if (found < count && isAnyAvoided(pending, headrooms) && mayUseAvoided(pending, headrooms, count, found, rack))
            return findCandidates(pending, headrooms, count, kind, rack, Avoided::Included);
        return candidates;
    }

    //! As many of `count` tasks as fit.
    Placement assignSomeInOrder(const std::vector<Candidate>& candidates, std::size_t count)
    {
        Placement placement;
        for (const auto& candidate : candidates) {
            for (std::size_t n = 0; n < candidate.fits && placement.size() < count; ++n)
                placement.push_back(candidate.index);
        }
        return placement;
    }

    std::optional<Placement> assignInOrder(const std::vector<Candidate>& candidates, std::size_t count)
    {
        auto placement = assignSomeInOrder(candidates, count);
        if (placement.size() < count)
            return std::nullopt;
        return placement;
    }

    //! Chooses the rack with the fewest tasks on workers that are chosen last, and among these the one with the least
    //! free capacity that is sufficient.
    std::optional<Placement> assignOnOneRack(
        const std::vector<Candidate>& candidates, const std::vector<WorkerHeadroom>& headrooms, std::size_t count)
    {
        std::map<std::string, std::vector<Candidate>> racks;
        for (const auto& candidate : candidates)
            racks[headrooms[candidate.index].worker->rack].push_back(candidate);
        std::optional<Placement> best;
        constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
        auto bestCost = std::pair(unlimited, unlimited);
        for (const auto& [rack, members] : racks) {
            std::size_t total = 0;
            for (const auto& member : members)
                total
                    += static_cast<std::size_t>(std::max<std::int64_t>(0, member.available.accelerators)) + member.fits;
            auto placement = assignInOrder(members, count);
            if (!placement)
                continue;
            auto onLast = static_cast<std::size_t>(std::count_if(placement->begin(), placement->end(),
                [&headrooms](std::size_t index) { return headrooms[index].isChosenLast; }));
            if (auto cost = std::pair(onLast, total); cost < bestCost) {
                bestCost = cost;
                best = std::move(placement);
            }
        }
        return best;
    }

} // namespace

Capacity availableOf(const WorkerHeadroom& headroom, HeadroomKind kind)
{
    if (kind == HeadroomKind::Free)
        return headroom.free;
    auto available = headroom.afterStops;
    if (kind == HeadroomKind::AfterEnds)
        available += headroom.ending;
    return available;
}

std::size_t countFittingTasks(const Capacity& headroom, const Capacity& need, std::size_t most)
{
    auto fits = static_cast<std::int64_t>(most);
    auto bound = [&fits](std::int64_t have, std::int64_t each) {
        if (each > 0)
            fits = std::min(fits, have < 0 ? 0 : have / each);
        else if (have < 0 && each < 0)
            fits = 0;
    };
    bound(headroom.milliCores, need.milliCores);
    bound(headroom.memoryMiB, need.memoryMiB);
    bound(headroom.accelerators, need.accelerators);
    return static_cast<std::size_t>(fits);
}

double coreEquivalents(const Capacity& capacity)
{
    constexpr double milliPerCore = 1000;
    return static_cast<double>(capacity.milliCores) / milliPerCore
        + coresPerAccelerator * static_cast<double>(capacity.accelerators);
}

void addColocatedTask(WorkerHeadroom& headroom, const StepSpec& step)
{
    headroom.servingTasks += isServing(step) ? 1 : 0;
    headroom.fillerMilliCores += step.isFiller ? step.need.milliCores : 0;
}

bool arePredecessorsDone(const Occurrence& occurrence, const StepSpec& step)
{
    return std::all_of(step.after.begin(), step.after.end(), [&occurrence](std::uint32_t earlier) {
        return occurrence.steps[earlier].done == occurrence.steps[earlier].tasks.size();
    });
}

bool isOfKind(const Worker& worker, const Job& job, const StepSpec& step)
{
    if (worker.service != job.policy.service)
        return false;
    const auto& labels = worker.labels;
    return step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
}

bool isAllowed(const PendingStep& pending, const Worker& worker)
{
    if (pending.allowedWorkers && !pending.allowedWorkers->contains(worker.id))
        return false;
    return isOfKind(worker, *pending.job, pending.spec());
}

std::size_t remainingTasksOn(const PendingStep& pending, const Worker& worker)
{
    auto most = pending.spec().maxPerWorker;
    if (most == 0)
        return std::numeric_limits<std::uint32_t>::max();
    auto begin = worker.runs.lower_bound({ pending.task(0), 0 });
    std::size_t tasksOnWorker = 0;
    for (auto run = begin; run != worker.runs.end(); ++run) {
        const auto& id = run->first.first;
        if (id.job != pending.job->spec.id || id.occurrence != pending.occurrence || id.step != pending.step)
            break;
        ++tasksOnWorker;
    }
    return tasksOnWorker >= most ? 0 : most - tasksOnWorker;
}

std::optional<Placement> findWorkersFor(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
    std::size_t count, HeadroomKind kind, bool needsOneRack, const std::string& rack)
{
    auto candidates = candidatesOf(pending, headrooms, count, kind, rack);
    if (needsOneRack && rack.empty()) {
        auto suspects = std::find_if(candidates.begin(), candidates.end(),
            [](const Candidate& candidate) { return candidate.standing != Standing::Trusted; });
        auto placement = assignOnOneRack({ candidates.begin(), suspects }, headrooms, count);
        return placement || suspects == candidates.end() ? placement : assignOnOneRack(candidates, headrooms, count);
    }
    return assignInOrder(candidates, count);
}

Placement findWorkersForSome(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
    std::size_t count, const std::string& rack)
{
    return assignSomeInOrder(candidatesOf(pending, headrooms, count, HeadroomKind::Free, rack), count);
}

} // namespace agatevane::fleet
