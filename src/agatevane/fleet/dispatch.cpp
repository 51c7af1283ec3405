#include "agatevane/fleet/dispatch.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/pacing.h"
#include "agatevane/fleet/preemption.h"
#include "agatevane/fleet/ranking.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>
#include <set>
#include <tuple>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! Urgent work waits this long for its own rack, since beginning in time goes before the longer run elsewhere.
    constexpr Millis urgentRackPatience { 800 };
    //! Other work waits this long while the fleet has room elsewhere.
    constexpr Millis rackPatience { 2000 };
    //! A fleet with more of its accelerators or cores in use than this is too full to run work at a far rack's cost.
    constexpr double fullShare = 0.5;

    //! Plans of what to stop cost the most time of a round; urgent units come first.
    constexpr int maxPlansPerRound = 6;

    //! What decides whether a unit finds room. While a round only takes room away, a shape that found none finds none.
    struct Shape {
        std::string service;
        std::string label;
        std::string rack;
        bool oneRack = false;
        Capacity need;
        std::size_t count = 0;

        auto key() const
        {
            return std::tie(service, label, rack, oneRack, need.milliCores, need.memoryMiB, need.accelerators, count);
        }
        bool operator<(const Shape& other) const { return key() < other.key(); }
    };

    class Round {
    public:
        Round(Fleet& fleet, std::int64_t unixMs, Instant at)
            : fleet_(fleet)
            , unixMs_(unixMs)
            , at_(at)
            , isInheritedBlocked_(mayHaveUnreportedRuns(fleet, at))
        {
        }

        void run()
        {
            collectRooms();
            findClaimingTenants();
            collectUnits();
            std::stable_sort(units_.begin(), units_.end(), [](const Unit& a, const Unit& b) {
                return std::pair(a.tier, a.slackMs) < std::pair(b.tier, b.slackMs);
            });
            for (auto& unit : units_)
                placeUnit(unit);
        }

    private:
        void collectRooms()
        {
            Capacity total;
            Capacity used;
            for (auto& [id, worker] : fleet_.workers) {
                if (!isUsable(worker, at_))
                    continue;
                Room room { &worker, worker.capacity, {} };
                room.free -= worker.used;
                room.soon = room.free;
                for (const auto& [key, run] : worker.runs) {
                    if (run.state == RunState::Stopping)
                        room.soon += run.need;
                    if (const auto* job = findJob(fleet_, key.first.job); job && findTask(fleet_, key.first))
                        addNeighbour(room, stepOf(*job, key.first));
                }
                total += worker.capacity;
                used += worker.used;
                rooms_.push_back(room);
            }
            auto share = [](std::int64_t part, std::int64_t whole) {
                return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
            };
            fullness_
                = std::max(share(used.accelerators, total.accelerators), share(used.milliCores, total.milliCores));
        }

        //! The share of the resource of which `part` takes the most.
        static double dominantShare(const Capacity& part, const Capacity& whole)
        {
            auto share = [](std::int64_t some, std::int64_t all) {
                return all > 0 ? static_cast<double>(some) / static_cast<double>(all) : 0.0;
            };
            return std::max({ share(part.accelerators, whole.accelerators), share(part.milliCores, whole.milliCores),
                share(part.memoryMiB, whole.memoryMiB) });
        }

        //! Tenants whose open urgent jobs need no more accelerators than they are guaranteed.
        void findClaimingTenants()
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

        void collectUnits()
        {
            for (const auto& id : fleet_.openJobs) {
                auto& job = fleet_.jobs.at(id);
                for (std::uint32_t k = 0; k < job.occurrences.size(); ++k)
                    collectOccurrence(job, k);
            }
        }

        void collectOccurrence(Job& job, std::uint32_t k)
        {
            auto& occurrence = job.occurrences[k];
            if (occurrence.stepsDone == occurrence.steps.size())
                return;
            auto ageMs = elapsed(job.acceptedAt, at_).count();
            if (job.spec.occurrences > 0) {
                ageMs = unixMs_ - (job.spec.firstDueUnixMs + k * job.spec.intervalMs);
                if (ageMs < 0)
                    return;
            }
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                auto& step = occurrence.steps[s];
                const auto& spec = job.spec.steps[s];
                if (step.done + step.active >= step.tasks.size() || !arePredecessorsDone(occurrence, spec))
                    continue;
                addUnit(job, k, s, ageMs);
            }
        }

        void addUnit(Job& job, std::uint32_t k, std::uint32_t s, std::int64_t ageMs)
        {
            Unit unit;
            unit.job = &job;
            unit.occurrence = k;
            unit.step = s;
            unit.isGang = unit.spec().isGang;
            auto& step = unit.state();
            // A gang starts whole, once all of its last run are gone.
            if (unit.isGang && step.active > 0) {
                if (!isInheritedBlocked_ || !job.isInherited)
                    stopBrokenGang(unit);
                return;
            }
            if (job.isInherited && isInheritedBlocked_)
                return;
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                if (!step.tasks[i].isDone && !step.tasks[i].worker)
                    unit.indexes.push_back(i);
            }
            rank(fleet_, unit, ageMs);
            units_.push_back(std::move(unit));
        }

        //! Members of a gang that lack others: the rest was lost, or never started under an earlier owner.
        void stopBrokenGang(const Unit& unit)
        {
            const auto& step = unit.state();
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                if (step.tasks[i].worker)
                    return stopTaskRuns(fleet_, *unit.job, unit.task(i), at_, "gang_not_whole");
            }
        }

        bool isUrgent(const Unit& unit) const { return unit.job->policy.priority == 0; }

        bool waitsForRack(const Unit& unit) const
        {
            auto waited = elapsed(unit.job->acceptedAt, at_);
            if (isUrgent(unit))
                return waited < urgentRackPatience;
            return fullness_ >= fullShare || waited < rackPatience;
        }

        //! Where a unit may go: on one rack, on its data's rack, or anywhere.
        struct Area {
            bool oneRack = false;
            std::string rack;
        };

        static Area nearArea(const Unit& unit)
        {
            return { unit.isGang && unit.spec().isTightlyCoupled, unit.spec().dataRack };
        }

        //! The near area first, also by stopping other work; a far one only after some patience.
        void placeUnit(Unit& unit)
        {
            std::set<WorkerId> ticketed;
            if (unit.job->policy.needsTickets) {
                ticketed = ticketedWorkers(fleet_, unit.id(), at_);
                unit.ticketed = &ticketed;
            }
            placeAnywhere(unit);
            if (unit.ticketed && !unit.indexes.empty()
                && unit.state().done + unit.state().active < unit.state().tasks.size())
                askForTickets(fleet_, unit, rooms_, at_);
            unit.ticketed = nullptr;
        }

        void placeAnywhere(Unit& unit)
        {
            auto near = nearArea(unit);
            if (placeIn(unit, near))
                return;
            bool isNearOnly = !near.oneRack && near.rack.empty();
            if (!isNearOnly && !waitsForRack(unit))
                placeIn(unit, {});
        }

        //! True if all that waits has started or has room coming.
        bool placeIn(Unit& unit, const Area& area)
        {
            if (unit.isGang) {
                if (auto places = findRoom(unit, unit.indexes.size(), RoomKind::Free, area)) {
                    start(unit, unit.indexes, *places);
                    return true;
                }
                return makeRoom(unit, area);
            }
            std::vector<std::uint32_t> left;
            for (auto index : unit.indexes) {
                if (auto places = findRoom(unit, 1, RoomKind::Free, area))
                    start(unit, { index }, *places);
                else
                    left.push_back(index);
            }
            unit.indexes = std::move(left);
            return unit.indexes.empty() || makeRoom(unit, area);
        }

        //! As findPlaces, without the search for a shape that has found no room in this round.
        std::optional<Places> findRoom(const Unit& unit, std::size_t count, RoomKind kind, const Area& area)
        {
            const auto& spec = unit.spec();
            Shape shape { unit.job->policy.service, spec.requiredLabel, area.rack, area.oneRack, roomOf(spec), count };
            auto& failed = kind == RoomKind::Free ? withoutFreeRoom_ : withoutRoomSoon_;
            if (failed.contains(shape))
                return std::nullopt;
            ++fleet_.placementSearches;
            auto places = findPlaces(unit, rooms_, count, kind, area.oneRack, area.rack);
            // A bound on the spread makes the outcome the unit's own.
            if (!places && spec.maxPerWorker == 0 && !unit.ticketed)
                failed.insert(shape);
            return places;
        }

        //! True if room is coming for all that waits; it is kept for the unit.
        bool makeRoom(const Unit& unit, const Area& area)
        {
            // Hopeless and late work takes nothing from others.
            if (!isUrgent(unit) && unit.tier >= lateTier)
                return false;
            if (auto places = findRoom(unit, unit.indexes.size(), RoomKind::Soon, area)) {
                reserve(unit, *places);
                return true;
            }
            if (++plans_ > maxPlansPerRound)
                return false;
            ++fleet_.preemptionPlans;
            auto plan = planPreemption(fleet_, unit, rooms_, area.oneRack, area.rack, at_);
            if (!plan)
                return false;
            for (const auto& victim : plan->victims)
                stopVictim(victim, unit);
            withoutRoomSoon_.clear();
            reserve(unit, plan->places);
            return true;
        }

        void stopVictim(const TaskId& victim, const Unit& unit)
        {
            auto* job = findJob(fleet_, victim.job);
            ++fleet_.preemptedRuns;
            expectRoom(*job, victim);
            Line("preempted")
                .with("job", victim.job)
                .with("task", toString(victim))
                .with("priority", job->policy.priority)
                .with("saves", stepOf(*job, victim).savesCheckpoints)
                .with("gang", stepOf(*job, victim).isGang)
                .with("for", unit.job->spec.id)
                .with("for_tier", unit.tier);
            stopTaskRuns(fleet_, *job, victim, at_, "preempted");
        }

        //! Counts the room of a run, or of a whole gang, that is about to be stopped.
        void expectRoom(const Job& job, const TaskId& victim)
        {
            const auto& step = job.occurrences[victim.occurrence].steps[victim.step];
            bool isGang = stepOf(job, victim).isGang;
            for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
                if ((!isGang && index != victim.index) || !step.tasks[index].worker)
                    continue;
                auto room = std::find_if(rooms_.begin(), rooms_.end(),
                    [&](const Room& each) { return each.worker->id == *step.tasks[index].worker; });
                if (room != rooms_.end())
                    room->soon += roomOf(stepOf(job, victim));
            }
        }

        void reserve(const Unit& unit, const Places& places)
        {
            auto need = roomOf(unit.spec());
            for (auto place : places) {
                rooms_[place].free -= need;
                rooms_[place].soon -= need;
                addNeighbour(rooms_[place], unit.spec());
            }
        }

        void start(const Unit& unit, const std::vector<std::uint32_t>& indexes, const Places& places)
        {
            reserve(unit, places);
            auto number = nextRunNumber(fleet_, *unit.job, unit.task(indexes.front()));
            for (std::size_t n = 0; n < indexes.size(); ++n) {
                auto& worker = *rooms_[places[n]].worker;
                auto id = unit.task(indexes[n]);
                orderRun(fleet_, *unit.job, id, number, worker, at_);
                ++fleet_.startsOrdered;
                Line("start_ordered")
                    .with("job", id.job)
                    .with("task", toString(id))
                    .with("run", number)
                    .with("worker", worker.id)
                    .with("look_age_ms", elapsed(worker.lastAnswerAt, at_).count())
                    .with("tier", unit.tier);
            }
        }

        Fleet& fleet_;
        std::int64_t unixMs_;
        Instant at_;
        bool isInheritedBlocked_;
        std::vector<Room> rooms_;
        std::vector<Unit> units_;
        double fullness_ = 0;
        std::set<Shape> withoutFreeRoom_;
        std::set<Shape> withoutRoomSoon_;
        int plans_ = 0;
    };

} // namespace

void place(Fleet& fleet, std::int64_t unixMs, Instant at)
{
    fleet.isPlacementDue = false;
    Round(fleet, unixMs, at).run();
}

void applyDesiredState(Fleet& fleet, const desired_state::DesiredState& desired)
{
    fleet.desired = desired;
    for (auto& [id, job] : fleet.jobs) {
        if (const auto* queue = desired_state::findQueueByName(desired, job.spec.queue))
            job.policy = *queue;
    }
    fleet.isPlacementDue = true;
}

Orders advance(Fleet& fleet, std::int64_t unixMs, Instant at)
{
    Orders orders;
    expireRuns(fleet, at);
    evacuate(fleet, at);
    if (fleet.isPlacementDue)
        place(fleet, unixMs, at);
    orders.advice = std::exchange(fleet.adviceDue, {});
    emitRunOrders(fleet, at, orders);
    emitPaceOrders(fleet, at, orders);
    emitPolls(fleet, at, orders);
    return orders;
}

} // namespace agatevane::fleet
