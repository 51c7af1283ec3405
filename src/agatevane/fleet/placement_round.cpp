//! The part of dispatch.h that places waiting work.
#include "agatevane/fleet/dispatch.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/demand.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/guarantees.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/fleet/preemption.h"
#include "agatevane/fleet/ranking.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/worker_choice.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

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

    class PlacementRound {
    public:
        PlacementRound(Fleet& fleet, std::int64_t unixMs, Instant at)
            : fleet_(fleet)
            , unixMs_(unixMs)
            , at_(at)
            , areStopsCostly_(areStopsCostly(fleet.limits))
            , areInheritedJobsBlocked_(mayHaveUnreportedRuns(fleet, at))
            , tasksWithOpenRun_(tasksWithOpenRun(fleet, at))
            , headroom_(collectHeadroom(fleet, at))
        {
        }

        void run()
        {
            findTenantsWithinGuarantee(fleet_);
            collectPendingSteps();
            std::stable_sort(
                pendingSteps_.begin(), pendingSteps_.end(), [](const PendingStep& a, const PendingStep& b) {
                    return std::pair(a.tier, a.slackMs) < std::pair(b.tier, b.slackMs);
                });
            if (areStopsCostly_)
                removeEndedHolds(fleet_, at_);
            placePendingSteps();
            if (areStopsCostly_ && !isReserveTaken_)
                takeReserve();
        }

    private:
        void placePendingSteps()
        {
            for (auto& pending : pendingSteps_) {
                if (!mayStartNow(pending))
                    return deferRest();
                if (areStopsCostly_)
                    takeRoomBefore(pending);
                placePendingStep(pending);
            }
        }

        //! Takes the capacity out of the headrooms that the step may not use: what is held for other steps and, unless
        //! the step is urgent, what is kept for urgent work.
        void takeRoomBefore(const PendingStep& pending)
        {
            auto tier = isUrgent(pending) ? pending.tier : std::numeric_limits<int>::max();
            if (tier > heldRoomTakenTo_ && !fleet_.roomHolds.byStep.empty()) {
                collectEndingRuns();
                takeHeldRoom(fleet_, headroom_.workers, tier);
            }
            heldRoomTakenTo_ = std::max(heldRoomTakenTo_, tier);
            if (!isUrgent(pending) && !isReserveTaken_)
                takeReserve();
        }

        void takeReserve()
        {
            isReserveTaken_ = true;
            reserveForUrgentWork(fleet_, headroom_.workers, at_);
        }

        void collectEndingRuns()
        {
            if (!std::exchange(areEndingRunsKnown_, true))
                addEndingRuns(fleet_, headroom_.workers, at_);
        }

        //! True if as many starts may be under way as the step needs at once. A gang that needs more than the limit
        //! waits until no other start is under way.
        bool mayStartNow(const PendingStep& pending) const
        {
            auto limit = fleet_.limits.maxStartsUnderWay;
            auto needed = pending.isGang ? pending.taskIndexes.size() : 1;
            return headroom_.startsUnderWay + std::min(needed, limit) <= limit;
        }

        //! The more urgent work that was placed before goes first; the rest keeps its order.
        void deferRest()
        {
            ++fleet_.deferredRounds;
            fleet_.isPlacementDue = true;
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
            bool isFleetFull = headroom_.utilization >= highUtilization && !pending.spec().isContinuous;
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
            bool hadRoom = releaseHeldRoom(fleet_, pending.id(), headroom_.workers);
            if (hadRoom)
                startTasks(pending, findHeldRoom(fleet_, pending, headroom_.workers));
            if (!pending.taskIndexes.empty())
                placeOnPreferredOrAnyRack(pending);
            if (hadRoom)
                removeHoldIfStarted(fleet_, pending.id());
            if (pending.allowedWorkers && !pending.taskIndexes.empty()
                && pending.state().done + pending.state().active < pending.state().tasks.size())
                requestTickets(fleet_, pending, headroom_.workers, at_);
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
            if (pending.taskIndexes.empty() || startsLeft() == 0 || unplaceable_[HeadroomKind::Free].contains(demand))
                return false;
            ++fleet_.placementSearches;
            // A task that interferes with others changes which worker is the best one for the next.
            bool interferes = pending.spec().isFiller || isServing(pending.spec());
            auto wanted = interferes ? 1 : std::min(pending.taskIndexes.size(), startsLeft());
            auto placement = findWorkersForSome(pending, headroom_.workers, wanted, constraint.rack);
            if (placement.size() < wanted)
                noteUnplaceable(pending, std::move(demand), HeadroomKind::Free);
            startTasks(pending, placement);
            return interferes && !placement.empty();
        }

        //! Starts as many waiting tasks as there are places and starts left; of a gang, all or none.
        void startTasks(PendingStep& pending, const Placement& placement)
        {
            if (pending.isGang && !placement.empty()) {
                start(pending, pending.taskIndexes, placement);
                return pending.taskIndexes.clear();
            }
            auto count = std::min(placement.size(), startsLeft());
            for (std::size_t n = 0; n < count; ++n)
                start(pending, { pending.taskIndexes[n] }, { placement[n] });
            pending.taskIndexes.erase(
                pending.taskIndexes.begin(), pending.taskIndexes.begin() + static_cast<std::ptrdiff_t>(count));
        }

        std::size_t startsLeft() const
        {
            auto limit = fleet_.limits.maxStartsUnderWay;
            return limit - std::min(limit, headroom_.startsUnderWay);
        }

        static Demand demandOf(const PendingStep& pending, std::size_t count, const RackConstraint& constraint)
        {
            const auto& spec = pending.spec();
            return { pending.job->policy.service, spec.requiredLabel, constraint.rack, constraint.needsOneRack,
                reservedCapacity(spec), count };
        }

        //! With a limit per worker, or tickets, a search without a result is only valid for its step.
        void noteUnplaceable(const PendingStep& pending, Demand demand, HeadroomKind kind)
        {
            bool hasOwnChoice = pending.spec().maxPerWorker != 0 || pending.allowedWorkers || pending.hasOwnChoice;
            if (!hasOwnChoice)
                unplaceable_[kind].insert(std::move(demand));
        }

        //! As findWorkersFor, but skips demands that could not be placed earlier in this round.
        std::optional<Placement> findPlacement(
            const PendingStep& pending, std::size_t count, HeadroomKind kind, const RackConstraint& constraint)
        {
            auto demand = demandOf(pending, count, constraint);
            if (unplaceable_[kind].contains(demand))
                return std::nullopt;
            ++fleet_.placementSearches;
            auto placement
                = findWorkersFor(pending, headroom_.workers, count, kind, constraint.needsOneRack, constraint.rack);
            if (!placement)
                noteUnplaceable(pending, std::move(demand), kind);
            return placement;
        }

        //! True if running stops or new preemptions free enough capacity for all waiting tasks, which is then reserved.
        bool freeUpCapacity(const PendingStep& pending, const RackConstraint& constraint)
        {
            if (keepHeldRoom(fleet_, pending, headroom_.workers))
                return true;
            // Work that can no longer meet its objective preempts nothing and reserves no capacity.
            if (!isUrgent(pending) && pending.tier >= lateTier)
                return false;
            auto kind = freedWithoutStop(fleet_.limits, pending, at_);
            if (kind == HeadroomKind::AfterEnds)
                collectEndingRuns();
            if (auto placement = findPlacement(pending, pending.taskIndexes.size(), kind, constraint)) {
                reserve(pending, *placement);
                return true;
            }
            if (areStopsCostly_ && !pending.isWithinGuarantee && gainOf(fleet_, pending) <= 0)
                return false;
            return preempt(pending, constraint, kind);
        }

        bool preempt(const PendingStep& pending, const RackConstraint& constraint, HeadroomKind kind)
        {
            if (++planCount_ > maxPlansPerRound)
                return false;
            ++fleet_.preemptionPlans;
            if (!victimTable_)
                victimTable_ = findVictims(fleet_, headroom_.workers, at_);
            auto plan = planPreemption(
                *victimTable_, pending, headroom_.workers, constraint.needsOneRack, constraint.rack, at_, kind);
            if (!plan || !isWorthwhile(fleet_, *victimTable_, *plan, pending))
                return false;
            stopVictims(fleet_, *victimTable_, *plan, pending, headroom_.workers, at_);
            unplaceable_[HeadroomKind::AfterStops].clear();
            unplaceable_[HeadroomKind::AfterEnds].clear();
            reserve(pending, plan->placement);
            if (areStopsCostly_)
                holdRoom(fleet_, pending, plan->placement, headroom_.workers, at_);
            return true;
        }

        void reserve(const PendingStep& pending, const Placement& placement)
        {
            auto need = reservedCapacity(pending.spec());
            for (auto place : placement) {
                headroom_.workers[place].free -= need;
                headroom_.workers[place].afterStops -= need;
                addColocatedTask(headroom_.workers[place], pending.spec());
            }
        }

        void start(
            const PendingStep& pending, const std::vector<std::uint32_t>& taskIndexes, const Placement& placement)
        {
            reserve(pending, placement);
            auto number = nextRunNumber(fleet_, *pending.job, pending.task(taskIndexes.front()));
            auto expected = runTimeOf(fleet_, *pending.job, pending.spec());
            for (std::size_t n = 0; n < taskIndexes.size(); ++n) {
                auto& worker = *headroom_.workers[placement[n]].worker;
                auto id = pending.task(taskIndexes[n]);
                orderRun(*pending.job, id, number, worker, at_);
                markDue(fleet_, worker);
                noteStart(fleet_, worker);
                ++headroom_.startsUnderWay;
                ++fleet_.startsOrdered;
                Line("start_ordered")
                    .with("job", id.job)
                    .with("task", toString(id))
                    .with("run", number)
                    .with("worker", worker.id)
                    .with("look_age_ms", elapsed(worker.lastAnswerAt, at_).count())
                    .with("tier", pending.tier)
                    .with("expected_ms", run_times::quantileMs(expected, medianFraction))
                    .with("expected_by", nameOf(expected.source))
                    .with("samples", std::lround(expected.samples));
            }
        }

        Fleet& fleet_;
        std::int64_t unixMs_;
        Instant at_;
        bool areStopsCostly_;
        bool areInheritedJobsBlocked_;
        std::set<TaskId> tasksWithOpenRun_; //!< not started before their earlier runs have ended
        FleetHeadroom headroom_;
        std::vector<PendingStep> pendingSteps_;
        std::map<HeadroomKind, std::set<Demand>> unplaceable_;
        int heldRoomTakenTo_ = -1; //!< the room held by steps of the tiers up to this one is taken out of the headrooms
        bool areEndingRunsKnown_ = false;
        bool isReserveTaken_ = false;
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
