#include "agatevane/fleet/preemption.h"

#include "agatevane/fleet/runs.h"
#include <algorithm>
#include <limits>

namespace agatevane::fleet {

namespace {

    //! A task that saves its work loses its restart, about half a second.
    constexpr double restartSeconds = 0.5;
    //! Work that is less than urgent is stopped for other such work only if it saves, and not again and again.
    constexpr Millis leastRunTime { 2000 };
    //! Stopping an urgent job of a tenant beyond its guarantee is the last resort.
    constexpr double urgentVictimLoss = 1e6;

    struct Victim {
        TaskId task;
        bool isGang = false;
        double loss = 0; //!< of the whole gang
        std::vector<std::pair<WorkerId, Capacity>> freed;
    };

    bool mayStop(const Fleet& fleet, const Unit& unit, const Job& victim, const Run& run, Instant at)
    {
        if (!run.isWanted || run.state == RunState::Stopping || victim.spec.id == unit.job->spec.id)
            return false;
        const auto& step = stepOf(victim, run.task);
        if (step.isContinuous)
            return false;
        auto own = unit.job->policy.priority;
        if (own == 0 && victim.policy.priority == 0)
            return unit.isWithinGuarantee && !fleet.tenantsWithinGuarantee.contains(victim.spec.tenant);
        if (own >= victim.policy.priority)
            return false;
        return own == 0 || (step.savesCheckpoints && at - run.orderedAt >= leastRunTime);
    }

    double lossOf(const Job& job, const Run& run, Instant at)
    {
        auto ran = std::chrono::duration<double>(at - run.orderedAt).count();
        auto seconds = stepOf(job, run.task).savesCheckpoints ? restartSeconds : ran + restartSeconds;
        auto loss = seconds * coresOf(run.need);
        return job.policy.priority == 0 ? loss + urgentVictimLoss : loss;
    }

    Victim victimOf(Fleet& fleet, Job& job, const Run& run, Instant at)
    {
        Victim victim;
        victim.task = run.task;
        victim.isGang = stepOf(job, run.task).isGang;
        auto& step = job.occurrences[run.task.occurrence].steps[run.task.step];
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            const auto& task = step.tasks[index];
            if ((!victim.isGang && index != run.task.index) || !task.worker)
                continue;
            auto* worker = findWorker(fleet, *task.worker);
            TaskId id { run.task.job, run.task.occurrence, run.task.step, index };
            auto found = worker->runs.find({ id, task.lastRun });
            if (found == worker->runs.end())
                continue;
            victim.loss += lossOf(job, found->second, at);
            victim.freed.emplace_back(worker->id, found->second.need);
        }
        if (victim.isGang)
            victim.task.index = 0;
        return victim;
    }

    class Planner {
    public:
        Planner(Fleet& fleet, const Unit& unit, const std::vector<Room>& rooms, Instant at)
            : fleet_(fleet)
            , unit_(unit)
            , rooms_(rooms)
            , at_(at)
            , need_(roomOf(unit.spec()))
        {
            for (std::size_t index = 0; index < rooms.size(); ++index)
                roomOfWorker_[rooms[index].worker->id] = index;
            collect();
        }

        std::optional<PreemptionPlan> plan(const std::string& rack)
        {
            PreemptionPlan plan;
            std::vector<Capacity> left;
            std::vector<std::size_t> placed(rooms_.size(), 0);
            for (const auto& room : rooms_)
                left.push_back(room.soon);
            for (std::size_t n = 0; n < unit_.indexes.size(); ++n) {
                auto choice = cheapest(rack, left, placed, plan);
                if (!choice)
                    return std::nullopt;
                for (const auto* victim : choice->victims)
                    take(*victim, left, plan);
                left[choice->room] -= need_;
                ++placed[choice->room];
                plan.places.push_back(choice->room);
            }
            return plan;
        }

    private:
        struct Choice {
            std::size_t room = 0;
            double loss = 0;
            std::vector<const Victim*> victims;
        };

        void collect()
        {
            std::map<TaskId, std::size_t> known;
            victimsOf_.resize(rooms_.size());
            for (std::size_t index = 0; index < rooms_.size(); ++index) {
                for (const auto& [key, run] : rooms_[index].worker->runs) {
                    auto* job = findJob(fleet_, key.first.job);
                    if (!job || !findTask(fleet_, key.first) || !mayStop(fleet_, unit_, *job, run, at_))
                        continue;
                    auto id = key.first;
                    if (stepOf(*job, id).isGang)
                        id.index = 0;
                    auto [found, isNew] = known.try_emplace(id, all_.size());
                    if (isNew)
                        all_.push_back(victimOf(fleet_, *job, run, at_));
                    auto& there = victimsOf_[index];
                    if (there.empty() || there.back() != found->second)
                        there.push_back(found->second);
                }
            }
            for (auto& there : victimsOf_) {
                std::sort(there.begin(), there.end(),
                    [this](std::size_t a, std::size_t b) { return all_[a].loss < all_[b].loss; });
            }
        }

        std::optional<Choice> cheapest(const std::string& rack, const std::vector<Capacity>& left,
            const std::vector<std::size_t>& placed, const PreemptionPlan& plan) const
        {
            std::optional<Choice> best;
            for (std::size_t index = 0; index < rooms_.size(); ++index) {
                const auto& worker = *rooms_[index].worker;
                if ((!rack.empty() && worker.rack != rack) || !isAllowed(unit_, worker)
                    || spreadLeft(unit_, worker) <= placed[index])
                    continue;
                auto choice = choiceAt(index, left[index], plan);
                if (choice && (!best || choice->loss < best->loss))
                    best = std::move(choice);
            }
            return best;
        }

        std::optional<Choice> choiceAt(std::size_t index, Capacity left, const PreemptionPlan& plan) const
        {
            Choice choice { index, 0, {} };
            if (fitsWithin(need_, left))
                return choice;
            for (auto candidate : victimsOf_[index]) {
                const auto& victim = all_[candidate];
                if (plan.victims.contains(victim.task))
                    continue;
                for (const auto& [worker, freed] : victim.freed) {
                    if (worker == rooms_[index].worker->id)
                        left += freed;
                }
                choice.loss += victim.loss;
                choice.victims.push_back(&victim);
                if (fitsWithin(need_, left))
                    return choice;
            }
            return std::nullopt;
        }

        void take(const Victim& victim, std::vector<Capacity>& left, PreemptionPlan& plan) const
        {
            plan.victims.insert(victim.task);
            plan.loss += victim.loss;
            for (const auto& [worker, freed] : victim.freed) {
                if (auto found = roomOfWorker_.find(worker); found != roomOfWorker_.end())
                    left[found->second] += freed;
            }
        }

        Fleet& fleet_;
        const Unit& unit_;
        const std::vector<Room>& rooms_;
        Instant at_;
        Capacity need_;
        std::vector<Victim> all_;
        std::vector<std::vector<std::size_t>> victimsOf_; //!< by room, least loss first
        std::map<WorkerId, std::size_t> roomOfWorker_;
    };

} // namespace

std::optional<PreemptionPlan> planPreemption(
    Fleet& fleet, const Unit& unit, const std::vector<Room>& rooms, bool oneRack, const std::string& rack, Instant at)
{
    Planner planner(fleet, unit, rooms, at);
    if (!oneRack || !rack.empty())
        return planner.plan(rack);
    std::set<std::string> racks;
    for (const auto& room : rooms)
        racks.insert(room.worker->rack);
    std::optional<PreemptionPlan> best;
    for (const auto& each : racks) {
        auto plan = planner.plan(each);
        if (plan && (!best || plan->loss < best->loss))
            best = std::move(plan);
    }
    return best;
}

} // namespace agatevane::fleet
