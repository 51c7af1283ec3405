#include "agatevane/fleet/preemption.h"

#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/worker_choice.h"
#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace agatevane::fleet {

namespace {

    //! A restart costs a task about half a second, also if it saves checkpoints.
    constexpr double restartSeconds = 0.5;
    //! Non-urgent work preempts only runs that save checkpoints and have run for this long, so that none is stopped
    //! again and again.
    constexpr Millis minRunTime { 2000 };
    //! Added to the loss of urgent victims, whose tenant exceeds its guarantee, so that they are stopped as a last
    //! resort.
    constexpr double urgentVictimLoss = 1e6;
    constexpr double impossible = std::numeric_limits<double>::infinity();

    bool mayStop(const PendingStep& pending, const Victim& victim, Instant at)
    {
        if (victim.isStopped || victim.job == pending.job)
            return false;
        auto ownPriority = pending.job->policy.priority;
        auto victimPriority = victim.job->policy.priority;
        if (ownPriority == 0 && victimPriority == 0)
            return pending.isWithinGuarantee && !victim.isWithinGuarantee;
        if (ownPriority >= victimPriority)
            return false;
        return ownPriority == 0 || (victim.savesCheckpoints && at - victim.orderedAt >= minRunTime);
    }

    double lossOf(const Job& job, const Run& run, Instant at)
    {
        auto ran = std::chrono::duration<double>(at - run.orderedAt).count();
        auto seconds = stepOf(job, run.task).savesCheckpoints ? restartSeconds : ran + restartSeconds;
        auto loss = seconds * coreEquivalents(run.need);
        return job.policy.priority == 0 ? loss + urgentVictimLoss : loss;
    }

    class TableBuilder {
    public:
        TableBuilder(const Fleet& fleet, const std::vector<WorkerHeadroom>& headrooms, Instant at)
            : fleet_(fleet)
            , headrooms_(headrooms)
            , at_(at)
        {
        }

        VictimTable build()
        {
            for (std::size_t index = 0; index < headrooms_.size(); ++index)
                indexes_[headrooms_[index].worker] = index;
            table_.byWorker.resize(headrooms_.size());
            for (std::size_t index = 0; index < headrooms_.size(); ++index) {
                for (const auto& [key, run] : headrooms_[index].worker->runs)
                    addRun(index, run);
            }
            for (auto& victims : table_.byWorker) {
                std::sort(victims.begin(), victims.end(),
                    [this](std::size_t a, std::size_t b) { return table_.victims[a].loss < table_.victims[b].loss; });
            }
            return std::move(table_);
        }

    private:
        void addRun(std::size_t index, const Run& run)
        {
            if (!run.isWanted || run.state == RunState::Stopping)
                return;
            const auto* job = findJob(fleet_, run.task.job);
            if (!job || stepOf(*job, run.task).isContinuous)
                return;
            auto id = run.task;
            bool isGang = stepOf(*job, id).isGang;
            if (isGang)
                id.index = 0;
            auto number = table_.victims.size();
            if (isGang) {
                auto [found, isNew] = gangs_.try_emplace(id, number);
                number = found->second;
            }
            if (number == table_.victims.size())
                table_.victims.push_back(makeVictim(*job, id, isGang, index, run));
            auto& victims = table_.byWorker[index];
            if (victims.empty() || victims.back() != number)
                victims.push_back(number);
        }

        Victim makeVictim(const Job& job, const TaskId& id, bool isGang, std::size_t index, const Run& run)
        {
            const auto& step = stepOf(job, id);
            Victim victim;
            victim.task = id;
            victim.job = &job;
            victim.savesCheckpoints = step.savesCheckpoints;
            victim.isWithinGuarantee
                = job.policy.priority == 0 && fleet_.tenantsWithinGuarantee.contains(job.spec.tenant);
            victim.orderedAt = run.orderedAt;
            if (isGang)
                addMembers(victim);
            else
                addMember(victim, run, index);
            return victim;
        }

        void addMembers(Victim& gang)
        {
            auto member = gang.task;
            const auto& tasks = gang.job->occurrences[member.occurrence].steps[member.step].tasks;
            for (member.index = 0; member.index < tasks.size(); ++member.index) {
                const auto* run = findTaskRun(fleet_, member);
                if (!run || run->state == RunState::Stopping)
                    continue;
                auto found = indexes_.find(findWorker(fleet_, tasks[member.index].run->worker));
                addMember(gang, *run, found == indexes_.end() ? std::nullopt : std::optional(found->second));
            }
        }

        //! `index` is nothing for a run on a worker that gets no work.
        void addMember(Victim& victim, const Run& run, std::optional<std::size_t> index)
        {
            victim.loss += lossOf(*victim.job, run, at_);
            if (index)
                victim.freed.emplace_back(*index, run.need);
        }

        const Fleet& fleet_;
        const std::vector<WorkerHeadroom>& headrooms_;
        Instant at_;
        VictimTable table_;
        std::map<const Worker*, std::size_t> indexes_;
        std::map<TaskId, std::size_t> gangs_;
    };

    //! Places the tasks one after the other where the least work is lost. The loss on each worker is kept, and computed
    //! again only where a choice has changed it.
    class Planner {
    public:
        Planner(const VictimTable& table, const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
            const std::string& rack, Instant at)
            : table_(table)
            , pending_(pending)
            , headrooms_(headrooms)
            , rack_(rack)
            , at_(at)
            , need_(reservedCapacity(pending.spec()))
            , mayUseAvoided_(mayUseAvoided(pending, headrooms, pending.taskIndexes.size(), 0, rack))
            , isChosen_(table.victims.size(), false)
            , placedCounts_(headrooms.size(), 0)
        {
            available_.reserve(headrooms.size());
            for (const auto& headroom : headrooms)
                available_.push_back(headroom.afterStops);
            losses_.reserve(headrooms.size());
            for (std::size_t index = 0; index < headrooms.size(); ++index)
                losses_.push_back(lossOn(index));
        }

        std::optional<PreemptionPlan> plan()
        {
            for (std::size_t n = 0; n < pending_.taskIndexes.size(); ++n) {
                auto cheapest = std::min_element(losses_.begin(), losses_.end());
                if (cheapest == losses_.end() || *cheapest == impossible)
                    return std::nullopt;
                choose(static_cast<std::size_t>(cheapest - losses_.begin()));
            }
            return std::move(plan_);
        }

    private:
        //! Calls `take` with the victims to stop on the worker, the least loss first, until the task fits there. False
        //! if it doesn't fit without all of them either.
        template <typename Take> bool visitVictims(std::size_t index, Take take) const
        {
            auto available = available_[index];
            if (fitsWithin(need_, available))
                return true;
            for (auto number : table_.byWorker[index]) {
                const auto& victim = table_.victims[number];
                if (isChosen_[number] || !mayStop(pending_, victim, at_))
                    continue;
                for (const auto& [freedOn, capacity] : victim.freed) {
                    if (freedOn == index)
                        available += capacity;
                }
                take(number);
                if (fitsWithin(need_, available))
                    return true;
            }
            return false;
        }

        double lossOn(std::size_t index) const
        {
            const auto& worker = *headrooms_[index].worker;
            if ((!rack_.empty() && worker.rack != rack_) || !isAllowed(pending_, worker)
                || (!mayUseAvoided_ && isAvoided(pending_, worker))
                || remainingTasksOn(pending_, worker) <= placedCounts_[index])
                return impossible;
            double loss = 0;
            bool fits = visitVictims(index, [&](std::size_t number) { loss += table_.victims[number].loss; });
            return fits ? loss : impossible;
        }

        void choose(std::size_t index)
        {
            std::vector<std::size_t> stopped;
            visitVictims(index, [&stopped](std::size_t number) { stopped.push_back(number); });
            std::set<std::size_t> changed { index };
            for (auto number : stopped) {
                isChosen_[number] = true;
                plan_.victims.push_back(number);
                plan_.loss += table_.victims[number].loss;
                for (const auto& [freedOn, capacity] : table_.victims[number].freed) {
                    available_[freedOn] += capacity;
                    changed.insert(freedOn);
                }
            }
            available_[index] -= need_;
            ++placedCounts_[index];
            plan_.placement.push_back(index);
            for (auto each : changed)
                losses_[each] = lossOn(each);
        }

        const VictimTable& table_;
        const PendingStep& pending_;
        const std::vector<WorkerHeadroom>& headrooms_;
        const std::string& rack_;
        Instant at_;
        Capacity need_;
        bool mayUseAvoided_;
        std::vector<bool> isChosen_; //!< by number of the victim
        std::vector<std::size_t> placedCounts_; //!< the following are by index of the headroom
        std::vector<Capacity> available_;
        std::vector<double> losses_; //!< least loss that makes room for one task there
        PreemptionPlan plan_;
    };

} // namespace

VictimTable findVictims(const Fleet& fleet, const std::vector<WorkerHeadroom>& headrooms, Instant at)
{
    return TableBuilder(fleet, headrooms, at).build();
}

std::optional<PreemptionPlan> planPreemption(const VictimTable& table, const PendingStep& pending,
    const std::vector<WorkerHeadroom>& headrooms, bool needsOneRack, const std::string& rack, Instant at)
{
    if (!needsOneRack || !rack.empty())
        return Planner(table, pending, headrooms, rack, at).plan();
    std::set<std::string> racks;
    for (const auto& headroom : headrooms)
        racks.insert(headroom.worker->rack);
    std::optional<PreemptionPlan> best;
    for (const auto& each : racks) {
        auto plan = Planner(table, pending, headrooms, each, at).plan();
        if (plan && (!best || plan->loss < best->loss))
            best = std::move(plan);
    }
    return best;
}

} // namespace agatevane::fleet
