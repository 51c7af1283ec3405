//! The part of dispatch.h that places waiting work.
#include "agatevane/fleet/dispatch.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/fleet/preemption.h"
#include "agatevane/fleet/ranking.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/worker_choice.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>
#include <set>
#include <tuple>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! Urgent work waits this long for its preferred rack: an early start matters more than the shorter run there.
    constexpr Millis urgentRackWait { 800 };
    //! Other work waits this long for its preferred rack while the fleet has spare capacity.
    constexpr Millis rackWait { 2000 };
    //! From this share of used accelerators or cores on, the fleet is too full for longer runs on other racks, so that
    //! work that ends waits for its preferred rack until `longestRackWait`.
    constexpr double highUtilization = 0.5;
    //! No work waits longer for its preferred rack while other racks have free capacity.
    constexpr Millis longestRackWait { 12000 };

    //! Nothing is started with a shorter lease, because the runs would soon lapse.
    constexpr Millis minLeaseForStart { 2000 };
    //! Preemption plans take most of a round's time, so their number is limited. The most urgent pending steps come
    //! first.
    constexpr int maxPlansPerRound = 6;

    //! What determines whether tasks can be placed. As long as a round only uses up capacity, a demand that could not
    //! be placed once can't be placed later in the round.
    struct Demand {
        std::string service;
        std::string label;
        std::string rack;
        bool needsOneRack = false;
        Capacity need;
        std::size_t count = 0;

        auto key() const
        {
            return std::tie(
                service, label, rack, needsOneRack, need.milliCores, need.memoryMiB, need.accelerators, count);
        }
        bool operator<(const Demand& other) const { return key() < other.key(); }
    };

    class PlacementRound {
    public:
        PlacementRound(Fleet& fleet, std::int64_t unixMs, Instant at)
            : fleet_(fleet)
            , unixMs_(unixMs)
            , at_(at)
            , areInheritedJobsBlocked_(mayHaveUnreportedRuns(fleet, at))
            , tasksWithOpenRun_(tasksWithOpenRun(fleet, at))
        {
        }

        void run()
        {
            collectHeadroom();
            findTenantsWithinGuarantee();
            collectPendingSteps();
            std::stable_sort(
                pendingSteps_.begin(), pendingSteps_.end(), [](const PendingStep& a, const PendingStep& b) {
                    return std::pair(a.tier, a.slackMs) < std::pair(b.tier, b.slackMs);
                });
            for (auto& pending : pendingSteps_) {
                if (!mayStartNow(pending))
                    return deferRest();
                placePendingStep(pending);
            }
        }

    private:
        //! True if as many starts may be under way as the step needs at once. A gang that needs more than the limit
        //! waits until no other start is under way.
        bool mayStartNow(const PendingStep& pending) const
        {
            auto limit = fleet_.limits.maxStartsUnderWay;
            auto needed = pending.isGang ? pending.taskIndexes.size() : 1;
            return startsUnderWay_ + std::min(needed, limit) <= limit;
        }

        //! Workers that don't answer hold back no others: what has no answer in time is not counted.
        std::size_t countUnderWay(const WorkerLoad& load) const
        {
            return static_cast<std::size_t>(std::count_if(load.unconfirmedSince.begin(), load.unconfirmedSince.end(),
                [this](Instant since) { return at_ - since < fleet_.limits.startAnswerTimeout; }));
        }

        //! The more urgent work that was placed before goes first; the rest keeps its order.
        void deferRest()
        {
            ++fleet_.deferredRounds;
            fleet_.isPlacementDue = true;
        }

        void collectHeadroom()
        {
            Capacity total;
            Capacity used;
            for (auto& [id, worker] : fleet_.workers) {
                if (!isUsable(worker, at_))
                    continue;
                WorkerHeadroom headroom { &worker, worker.capacity, {} };
                headroom.free -= worker.used;
                const auto& load = loadOf(fleet_, worker);
                startsUnderWay_ += countUnderWay(load);
                headroom.afterStops = headroom.free;
                headroom.afterStops += load.stopping;
                headroom.servingTasks = load.servingTasks;
                headroom.fillerMilliCores = load.fillerMilliCores;
                total += worker.capacity;
                used += worker.used;
                headrooms_.push_back(headroom);
            }
            auto share = [](std::int64_t part, std::int64_t whole) {
                return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
            };
            utilization_
                = std::max(share(used.accelerators, total.accelerators), share(used.milliCores, total.milliCores));
        }

        //! Tenants whose open urgent jobs need no more accelerators than they are guaranteed.
        void findTenantsWithinGuarantee()
        {
            fleet_.tenantsWithinGuarantee.clear();
            std::map<std::string, std::int64_t> needs;
            for (const auto& id : fleet_.openJobs) {
                const auto& job = fleet_.jobs.at(id);
                if (job.policy.priority != 0)
                    continue;
                auto& need = needs[job.spec.tenant];
                for (const auto& step : job.spec.steps)
                    need += static_cast<std::int64_t>(step.count) * step.need.accelerators;
            }
            for (const auto& [name, need] : needs) {
                const auto* tenant = desired_state::findTenantByName(fleet_.desired, name);
                if (tenant && need <= tenant->guaranteedAccelerators)
                    fleet_.tenantsWithinGuarantee.insert(name);
            }
        }

        void collectPendingSteps()
        {
            for (const auto& id : fleet_.openJobs) {
                auto& job = fleet_.jobs.at(id);
                for (std::uint32_t occurrenceIndex = 0; occurrenceIndex < job.occurrences.size(); ++occurrenceIndex)
                    collectOccurrence(job, occurrenceIndex);
            }
        }

        void collectOccurrence(Job& job, std::uint32_t occurrenceIndex)
        {
            auto& occurrence = job.occurrences[occurrenceIndex];
            if (occurrence.stepsDone == occurrence.steps.size())
                return;
            auto ageMs = elapsed(job.acceptedAt, at_).count();
            if (job.spec.occurrences > 0) {
                ageMs = unixMs_ - (job.spec.firstDueUnixMs + occurrenceIndex * job.spec.intervalMs);
                if (ageMs < 0)
                    return;
            }
            for (std::uint32_t stepIndex = 0; stepIndex < occurrence.steps.size(); ++stepIndex) {
                auto& step = occurrence.steps[stepIndex];
                const auto& spec = job.spec.steps[stepIndex];
                if (step.done + step.active >= step.tasks.size() || !arePredecessorsDone(occurrence, spec))
                    continue;
                addPendingStep(job, occurrenceIndex, stepIndex, ageMs);
            }
        }

        void addPendingStep(Job& job, std::uint32_t occurrenceIndex, std::uint32_t stepIndex, std::int64_t ageMs)
        {
            PendingStep pending;
            pending.job = &job;
            pending.occurrence = occurrenceIndex;
            pending.step = stepIndex;
            pending.isGang = pending.spec().isGang;
            auto& step = pending.state();
            // All members of a gang start together, once its last run has ended entirely.
            if (pending.isGang && step.active > 0) {
                if (!areInheritedJobsBlocked_ || !job.isInherited)
                    stopIncompleteGang(pending);
                return;
            }
            if (job.isInherited && areInheritedJobsBlocked_)
                return;
            for (std::uint32_t taskIndex = 0; taskIndex < step.tasks.size(); ++taskIndex) {
                if (step.tasks[taskIndex].isDone || step.tasks[taskIndex].run)
                    continue;
                if (!tasksWithOpenRun_.contains(pending.task(taskIndex)))
                    pending.taskIndexes.push_back(taskIndex);
                else if (pending.isGang)
                    return;
            }
            if (pending.taskIndexes.empty())
                return;
            rank(fleet_, pending, ageMs);
            noteFailedWorkers(fleet_, pending);
            pendingSteps_.push_back(std::move(pending));
        }

        //! Stops the running members of a gang of which others were lost, or were not started under an earlier owner.
        void stopIncompleteGang(const PendingStep& pending)
        {
            const auto& step = pending.state();
            for (std::uint32_t taskIndex = 0; taskIndex < step.tasks.size(); ++taskIndex) {
                if (step.tasks[taskIndex].run)
                    return stopTaskRuns(fleet_, *pending.job, pending.task(taskIndex), at_, "gang_not_whole");
            }
        }

        bool isUrgent(const PendingStep& pending) const { return pending.job->policy.priority == 0; }

        bool waitsForRack(const PendingStep& pending) const
        {
            auto waited = elapsed(pending.job->acceptedAt, at_);
            if (isUrgent(pending))
                return waited < urgentRackWait;
            bool isFleetFull = utilization_ >= highUtilization && !pending.spec().isContinuous;
            return waited < (isFleetFull ? longestRackWait : rackWait);
        }

        //! Restricts placement to a single rack, or to the named rack; unrestricted if neither is set.
        struct RackConstraint {
            bool needsOneRack = false;
            std::string rack;
        };

        static RackConstraint preferredRack(const PendingStep& pending)
        {
            return { pending.isGang && pending.spec().isTightlyCoupled, pending.spec().dataRack };
        }

        //! Tries the preferred rack first, also by preemption; other racks only once the step has waited for long
        //! enough.
        void placePendingStep(PendingStep& pending)
        {
            std::set<WorkerId> allowedWorkers;
            if (pending.job->policy.needsTickets) {
                allowedWorkers = workersWithTicket(fleet_, pending.id(), at_);
                pending.allowedWorkers = &allowedWorkers;
            }
            placeOnPreferredOrAnyRack(pending);
            if (pending.allowedWorkers && !pending.taskIndexes.empty()
                && pending.state().done + pending.state().active < pending.state().tasks.size())
                requestTickets(fleet_, pending, headrooms_, at_);
            pending.allowedWorkers = nullptr;
        }

        void placeOnPreferredOrAnyRack(PendingStep& pending)
        {
            auto preferred = preferredRack(pending);
            if (placeWithin(pending, preferred))
                return;
            bool isUnconstrained = !preferred.needsOneRack && preferred.rack.empty();
            if (!isUnconstrained && !waitsForRack(pending))
                placeWithin(pending, {});
        }

        //! True if all waiting tasks have started, or capacity for them is reserved.
        bool placeWithin(PendingStep& pending, const RackConstraint& constraint)
        {
            if (pending.isGang) {
                if (auto placement
                    = findPlacement(pending, pending.taskIndexes.size(), HeadroomKind::Free, constraint)) {
                    start(pending, pending.taskIndexes, *placement);
                    return true;
                }
                return freeUpCapacity(pending, constraint);
            }
            while (startSomeTasks(pending, constraint)) { }
            // What waits only for other starts to be confirmed needs no room made for it.
            return pending.taskIndexes.empty() || startsLeft() == 0 || freeUpCapacity(pending, constraint);
        }

        //! Starts waiting tasks that need not start together. True if another search may find room for more.
        bool startSomeTasks(PendingStep& pending, const RackConstraint& constraint)
        {
            auto demand = demandOf(pending, 1, constraint);
            if (pending.taskIndexes.empty() || startsLeft() == 0 || unplaceableNow_.contains(demand))
                return false;
            ++fleet_.placementSearches;
            // A task that interferes with others changes which worker is the best one for the next.
            bool interferes = pending.spec().isFiller || isServing(pending.spec());
            auto wanted = interferes ? 1 : std::min(pending.taskIndexes.size(), startsLeft());
            auto placement = findWorkersForSome(pending, headrooms_, wanted, constraint.rack);
            if (placement.size() < wanted)
                noteUnplaceable(pending, std::move(demand), unplaceableNow_);
            for (std::size_t n = 0; n < placement.size(); ++n)
                start(pending, { pending.taskIndexes[n] }, { placement[n] });
            pending.taskIndexes.erase(pending.taskIndexes.begin(),
                pending.taskIndexes.begin() + static_cast<std::ptrdiff_t>(placement.size()));
            return interferes && !placement.empty();
        }

        std::size_t startsLeft() const
        {
            auto limit = fleet_.limits.maxStartsUnderWay;
            return limit - std::min(limit, startsUnderWay_);
        }

        static Demand demandOf(const PendingStep& pending, std::size_t count, const RackConstraint& constraint)
        {
            const auto& spec = pending.spec();
            return { pending.job->policy.service, spec.requiredLabel, constraint.rack, constraint.needsOneRack,
                reservedCapacity(spec), count };
        }

        //! With a limit per worker, or tickets, a search without a result is only valid for its step.
        static void noteUnplaceable(const PendingStep& pending, Demand demand, std::set<Demand>& unplaceable)
        {
            if (pending.spec().maxPerWorker == 0 && !pending.allowedWorkers && !pending.hasOwnChoice)
                unplaceable.insert(std::move(demand));
        }

        //! As findWorkersFor, but skips demands that could not be placed earlier in this round.
        std::optional<Placement> findPlacement(
            const PendingStep& pending, std::size_t count, HeadroomKind kind, const RackConstraint& constraint)
        {
            auto demand = demandOf(pending, count, constraint);
            auto& unplaceable = kind == HeadroomKind::Free ? unplaceableNow_ : unplaceableAfterStops_;
            if (unplaceable.contains(demand))
                return std::nullopt;
            ++fleet_.placementSearches;
            auto placement = findWorkersFor(pending, headrooms_, count, kind, constraint.needsOneRack, constraint.rack);
            if (!placement)
                noteUnplaceable(pending, std::move(demand), unplaceable);
            return placement;
        }

        //! True if running stops or new preemptions free enough capacity for all waiting tasks, which is then reserved.
        bool freeUpCapacity(const PendingStep& pending, const RackConstraint& constraint)
        {
            // Work that can no longer meet its objective preempts nothing and reserves no capacity.
            if (!isUrgent(pending) && pending.tier >= lateTier)
                return false;
            if (auto placement
                = findPlacement(pending, pending.taskIndexes.size(), HeadroomKind::AfterStops, constraint)) {
                reserve(pending, *placement);
                return true;
            }
            if (++planCount_ > maxPlansPerRound)
                return false;
            ++fleet_.preemptionPlans;
            if (!victimTable_)
                victimTable_ = findVictims(fleet_, headrooms_, at_);
            auto plan
                = planPreemption(*victimTable_, pending, headrooms_, constraint.needsOneRack, constraint.rack, at_);
            if (!plan)
                return false;
            for (auto number : plan->victims)
                stopVictim(victimTable_->victims[number], pending);
            unplaceableAfterStops_.clear();
            reserve(pending, plan->placement);
            return true;
        }

        void stopVictim(Victim& victim, const PendingStep& pending)
        {
            auto* job = findJob(fleet_, victim.task.job);
            ++fleet_.preemptedRuns;
            victim.isStopped = true;
            for (const auto& [index, capacity] : victim.freed)
                headrooms_[index].afterStops += capacity;
            Line("preempted")
                .with("job", victim.task.job)
                .with("task", toString(victim.task))
                .with("priority", job->policy.priority)
                .with("saves", victim.savesCheckpoints)
                .with("gang", stepOf(*job, victim.task).isGang)
                .with("for", pending.job->spec.id)
                .with("for_tier", pending.tier);
            stopTaskRuns(fleet_, *job, victim.task, at_, "preempted");
        }

        void reserve(const PendingStep& pending, const Placement& placement)
        {
            auto need = reservedCapacity(pending.spec());
            for (auto place : placement) {
                headrooms_[place].free -= need;
                headrooms_[place].afterStops -= need;
                addColocatedTask(headrooms_[place], pending.spec());
            }
        }

        void start(
            const PendingStep& pending, const std::vector<std::uint32_t>& taskIndexes, const Placement& placement)
        {
            reserve(pending, placement);
            auto number = nextRunNumber(fleet_, *pending.job, pending.task(taskIndexes.front()));
            for (std::size_t n = 0; n < taskIndexes.size(); ++n) {
                auto& worker = *headrooms_[placement[n]].worker;
                auto id = pending.task(taskIndexes[n]);
                orderRun(*pending.job, id, number, worker, at_);
                markDue(fleet_, worker);
                noteStart(fleet_, worker);
                ++startsUnderWay_;
                ++fleet_.startsOrdered;
                Line("start_ordered")
                    .with("job", id.job)
                    .with("task", toString(id))
                    .with("run", number)
                    .with("worker", worker.id)
                    .with("look_age_ms", elapsed(worker.lastAnswerAt, at_).count())
                    .with("tier", pending.tier);
            }
        }

        Fleet& fleet_;
        std::int64_t unixMs_;
        Instant at_;
        bool areInheritedJobsBlocked_;
        std::set<TaskId> tasksWithOpenRun_; //!< not started before their earlier runs have ended
        std::vector<WorkerHeadroom> headrooms_;
        std::vector<PendingStep> pendingSteps_;
        double utilization_ = 0;
        std::size_t startsUnderWay_ = 0;
        std::set<Demand> unplaceableNow_;
        std::set<Demand> unplaceableAfterStops_;
        int planCount_ = 0;
        std::optional<VictimTable> victimTable_; //!< made for the round's first plan
    };

} // namespace

void place(Fleet& fleet, std::int64_t unixMs, Instant at)
{
    if (!isOwnershipConfirmed(fleet, at) || elapsed(at, fleet.leasesEndBy) < minLeaseForStart)
        return;
    fleet.isPlacementDue = false;
    PlacementRound(fleet, unixMs, at).run();
}

} // namespace agatevane::fleet
