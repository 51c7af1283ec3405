#include "agatevane/fleet/preemption.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/ranking.h"
#include "agatevane/fleet/remaining_time.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/worker_choice.h"
#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
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
    //! A job is stopped this often for others, so that it ends some time. Only guaranteed work stops it more often.
    constexpr int maxStopsForOthers = 3;
    constexpr double impossible = std::numeric_limits<double>::infinity();

    bool mayStop(const PendingStep& pending, const Victim& victim, HeadroomKind kind, Instant at)
    {
        if (victim.isStopped || victim.job == pending.job)
            return false;
        if (kind == HeadroomKind::AfterEnds && victim.endsBeforeStop)
            return false;
        if (!pending.isWithinGuarantee && victim.stopsOfJob >= maxStopsForOthers)
            return false;
        auto ownPriority = pending.job->policy.priority;
        auto victimPriority = victim.job->policy.priority;
        if (ownPriority == 0 && victimPriority == 0)
            return pending.isWithinGuarantee && !victim.isWithinGuarantee;
        if (ownPriority >= victimPriority)
            return false;
        return ownPriority == 0 || (victim.savesCheckpoints && at - victim.orderedAt >= minRunTime);
    }

    double inSeconds(Millis time)
    {
        return std::chrono::duration<double>(time).count();
    }

    int countStops(const Occurrence& occurrence)
    {
        return std::accumulate(occurrence.steps.begin(), occurrence.steps.end(), 0,
            [](int sum, const Step& step) { return sum + step.stopsForOthers; });
    }

    //! Work and time that a stop loses where stops are costly.
    double lostSeconds(const Limits& limits, const StepSpec& step, const Run& run, Instant at)
    {
        auto unsaved = elapsed(run.orderedAt, at);
        if (step.savesCheckpoints)
            unsaved = std::min(unsaved, limits.checkpointInterval);
        return inSeconds(unsaved + limits.stopDuration + limits.restoreDuration);
    }

    //! What the earlier stops of a step add to its loss: after the last permitted one as much as if all of its work
    //! were lost. Otherwise the run that has just started again would always be the cheapest victim.
    double secondsForEarlierStops(const Limits& limits, const StepSpec& step, int stops)
    {
        auto each
            = std::max(limits.stopDuration + limits.restoreDuration, Millis(step.estimatedMs) / maxStopsForOthers);
        return stops * inSeconds(each);
    }

    //! Core-seconds of the steps of the pending step's occurrence that are not done.
    double remainingCoreSeconds(const Fleet& fleet, const PendingStep& pending)
    {
        double sum = 0;
        const auto& steps = pending.job->occurrences[pending.occurrence].steps;
        for (std::size_t index = 0; index < steps.size(); ++index) {
            const auto& spec = pending.job->spec.steps[index];
            auto tasks = static_cast<double>(steps[index].tasks.size() - steps[index].done);
            auto each = Millis(runTimeMs(fleet, *pending.job, spec, medianFraction));
            sum += tasks * inSeconds(each) * coreEquivalents(spec.need);
        }
        return sum;
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
            , areStopsCostly_(areStopsCostly(fleet.limits))
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
            if (!job || stepOf(*job, run.task).isContinuous || isRunInEvacuatedZone(fleet_, *job, run.task))
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
            const auto& occurrence = job.occurrences[id.occurrence];
            victim.stopsOfStep = occurrence.steps[id.step].stopsForOthers;
            victim.stopsOfJob = areStopsCostly_ ? countStops(occurrence) : 0;
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
            addLoss(victim, run);
            victim.endsBeforeStop = victim.endsBeforeStop || (areStopsCostly_ && endsBeforeStop(fleet_, run, at_));
            if (index)
                victim.freed.emplace_back(*index, run.need);
        }

        void addLoss(Victim& victim, const Run& run) const
        {
            if (!areStopsCostly_) {
                auto loss = lossOf(*victim.job, run, at_);
                victim.loss += loss;
                victim.lostCoreSeconds += victim.job->policy.priority == 0 ? loss - urgentVictimLoss : loss;
                return;
            }
            const auto& step = stepOf(*victim.job, run.task);
            auto lost = lostSeconds(fleet_.limits, step, run, at_) * coreEquivalents(run.need);
            victim.lostCoreSeconds += lost;
            victim.loss += lost
                + secondsForEarlierStops(fleet_.limits, step, victim.stopsOfStep) * coreEquivalents(run.need)
                + (victim.job->policy.priority == 0 ? urgentVictimLoss : 0);
        }

        const Fleet& fleet_;
        const std::vector<WorkerHeadroom>& headrooms_;
        Instant at_;
        bool areStopsCostly_;
        VictimTable table_;
        std::map<const Worker*, std::size_t> indexes_;
        std::map<TaskId, std::size_t> gangs_;
    };

    //! Places the tasks one after the other where the least work is lost. The loss on each worker is kept, and computed
    //! again only where a choice has changed it.
    class Planner {
    public:
        Planner(const VictimTable& table, const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
            const std::string& rack, Instant at, HeadroomKind kind)
            : table_(table)
            , pending_(pending)
            , headrooms_(headrooms)
            , rack_(rack)
            , at_(at)
            , kind_(kind)
            , need_(reservedCapacity(pending.spec()))
            , mayUseAvoided_(mayUseAvoided(pending, headrooms, pending.taskIndexes.size(), 0, rack))
            , isChosen_(table.victims.size(), false)
            , placedCounts_(headrooms.size(), 0)
        {
            available_.reserve(headrooms.size());
            for (const auto& headroom : headrooms)
                available_.push_back(availableOf(headroom, kind));
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
                if (isChosen_[number] || !mayStop(pending_, victim, kind_, at_))
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
        HeadroomKind kind_;
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
    const std::vector<WorkerHeadroom>& headrooms, bool needsOneRack, const std::string& rack, Instant at,
    HeadroomKind kind)
{
    if (!needsOneRack || !rack.empty())
        return Planner(table, pending, headrooms, rack, at, kind).plan();
    std::set<std::string> racks;
    for (const auto& headroom : headrooms)
        racks.insert(headroom.worker->rack);
    std::optional<PreemptionPlan> best;
    for (const auto& each : racks) {
        auto plan = Planner(table, pending, headrooms, each, at, kind).plan();
        if (plan && (!best || plan->loss < best->loss))
            best = std::move(plan);
    }
    return best;
}

HeadroomKind freedWithoutStop(const Limits& limits, const PendingStep& pending, Instant at)
{
    auto latestBelief = limits.reclaimDeadline - 2 * (limits.stopDuration + endReportAllowance);
    bool isTooLate = pending.isWithinGuarantee && elapsed(pending.job->acceptedAt, at) > latestBelief;
    return areStopsCostly(limits) && !isTooLate ? HeadroomKind::AfterEnds : HeadroomKind::AfterStops;
}

double gainOf(const Fleet& fleet, const PendingStep& pending)
{
    if (runTimeMs(fleet, *pending.job, pending.spec(), medianFraction) == 0)
        return std::numeric_limits<double>::infinity();
    auto work = remainingCoreSeconds(fleet, pending);
    auto stopMs = fleet.limits.stopDuration.count();
    if (pending.dueSlackMs >= stopMs)
        return work;
    auto objective = objectiveOf(fleet, *pending.job, medianFraction);
    auto left = static_cast<double>(pending.lateSlackMs - stopMs);
    return work * std::clamp(left / static_cast<double>(objective.lateMs - objective.dueMs + 1), 0.0, 1.0);
}

bool isWorthwhile(const Fleet& fleet, const VictimTable& table, const PreemptionPlan& plan, const PendingStep& pending)
{
    if (!areStopsCostly(fleet.limits) || pending.isWithinGuarantee)
        return true;
    // The same delay costs a job the less, the more time its objective allows.
    auto dueMs = [&fleet](const Job& job) { return objectiveOf(fleet, job, medianFraction).dueMs; };
    auto ownMs = static_cast<double>(dueMs(*pending.job));
    double loss = 0;
    for (auto number : plan.victims) {
        const auto& victim = table.victims[number];
        auto victimMs = static_cast<double>(std::max<std::int64_t>(1, dueMs(*victim.job)));
        loss += victim.loss * std::min(1.0, ownMs / victimMs);
    }
    return gainOf(fleet, pending) > loss;
}

void stopVictims(Fleet& fleet, VictimTable& table, const PreemptionPlan& plan, const PendingStep& pending,
    std::vector<WorkerHeadroom>& headrooms, Instant at)
{
    std::set<StepId> stoppedSteps;
    std::set<const Job*> stoppedJobs;
    for (auto number : plan.victims) {
        auto& victim = table.victims[number];
        auto& job = *findJob(fleet, victim.task.job);
        ++fleet.preemptedRuns;
        fleet.preemptedCoreSeconds += victim.lostCoreSeconds;
        victim.isStopped = true;
        for (const auto& [index, capacity] : victim.freed) {
            headrooms[index].afterStops += capacity;
            if (victim.endsBeforeStop)
                headrooms[index].ending = {};
        }
        event_log::Line("preempted")
            .with("job", victim.task.job)
            .with("task", toString(victim.task))
            .with("priority", job.policy.priority)
            .with("saves", victim.savesCheckpoints)
            .with("gang", stepOf(job, victim.task).isGang)
            .with("loss", victim.lostCoreSeconds)
            .with("stops_before", victim.stopsOfStep)
            .with("for", pending.job->spec.id)
            .with("for_tier", pending.tier);
        stopTaskRuns(fleet, job, victim.task, at, "preempted");
        // Tasks of one step that are stopped for the same step count as one stop.
        if (stoppedSteps.insert({ victim.task.job, victim.task.occurrence, victim.task.step }).second)
            ++job.occurrences[victim.task.occurrence].steps[victim.task.step].stopsForOthers;
        stoppedJobs.insert(&job);
    }
    if (!areStopsCostly(fleet.limits))
        return;
    for (auto& victim : table.victims) {
        if (stoppedJobs.contains(victim.job))
            victim.stopsOfJob = countStops(victim.job->occurrences[victim.task.occurrence]);
    }
}

} // namespace agatevane::fleet
