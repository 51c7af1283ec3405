#include "agatevane/scheduling/preemption.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    //! Between preemptions of one gang for shares or starved work, so that it gets further than its start costs.
    constexpr Millis shortestRun { 30000 };

    //! Collects victims as if those already collected had ended.
    class VictimList {
    public:
        VictimList(const Shard& shard, int job, ReservationKind kind, Instant at)
            : shard_(shard)
            , job_(shard.jobs[job])
            , kind_(kind)
            , at_(at)
            , leaving_(shard.leavingOf)
        {
            callerUsed_ = shard.callers[job_.caller].used + job_.accelerators;
            int used = usedWith(shard, job_);
            share_ = used / shard.workspaces[job_.workspace].weight;
            floor_ = static_cast<int>(shard.policy.classFloor * shard.fleet.capacity);
        }

        std::vector<int> collect()
        {
            // A gang of a workspace below its fair share is preempted for urgent work only if nothing else is left; so
            // is work that a guarantee covers for a starved gang, since its workspace can claim other capacity at once.
            int first = kind_ == ReservationKind::Urgent || kind_ == ReservationKind::Starved ? 0 : 1;
            for (int round = first; round < 2; ++round) {
                isLastRound_ = round == 1;
                for (int workClass = classCount - 1; workClass >= leastClass(); --workClass)
                    collect(workClass);
            }
            return std::move(victims_);
        }

    private:
        struct Source {
            double excess = 0;
            int workspace = 0;
            std::set<VictimKey>::const_iterator next;

            bool operator<(const Source& other) const { return excess < other.excess; }
        };

        int leastClass() const
        {
            switch (kind_) {
            case ReservationKind::Guarantee:
                return indexOf(WorkClass::Urgent);
            case ReservationKind::Share:
                return std::max(indexOf(job_.workClass), indexOf(WorkClass::Standard));
            default:
                return indexOf(WorkClass::Standard);
            }
        }

        double excessOf(int slot) const
        {
            const Workspace& workspace = shard_.workspaces[slot];
            return (workspace.used - workspace.leaving - takenFrom(slot)) / workspace.fairShare;
        }

        int takenFrom(int workspace) const
        {
            auto found = taken_.find(workspace);
            return found == taken_.end() ? 0 : found->second;
        }

        void collect(int workClass)
        {
            std::vector<Source> sources;
            for (int slot = 0; slot < static_cast<int>(shard_.workspaces.size()); ++slot) {
                const auto& stoppable = shard_.workspaces[slot].stoppable[workClass];
                if (!stoppable.empty())
                    sources.push_back({ excessOf(slot), slot, stoppable.begin() });
            }
            std::make_heap(sources.begin(), sources.end());
            while (!sources.empty()) {
                std::pop_heap(sources.begin(), sources.end());
                Source& source = sources.back();
                const auto& stoppable = shard_.workspaces[source.workspace].stoppable[workClass];
                int victim = -1;
                while (victim < 0 && source.next != stoppable.end()) {
                    if (isAllowed(shard_.jobs[source.next->job]))
                        victim = source.next->job;
                    ++source.next;
                }
                if (victim < 0) {
                    sources.pop_back();
                    continue;
                }
                add(victim);
                source.excess = excessOf(source.workspace);
                std::push_heap(sources.begin(), sources.end());
            }
        }

        void add(int victim)
        {
            const Job& gang = shard_.jobs[victim];
            victims_.push_back(victim);
            listed_.insert(victim);
            taken_[gang.workspace] += gang.accelerators;
            takenFromCaller_[gang.caller] += gang.accelerators;
            leaving_[indexOf(gang.workClass)] += gang.accelerators;
        }

        bool isAllowed(const Job& gang) const
        {
            bool isOwn = gang.workspace == job_.workspace;
            const Workspace& workspace = shard_.workspaces[gang.workspace];
            int used = workspace.used - workspace.leaving - takenFrom(gang.workspace);
            bool hasRunAWhile = at_ - gang.startedAt >= shortestRun;
            switch (kind_) {
            case ReservationKind::Guarantee:
                return !gang.isProtected;
            case ReservationKind::Urgent: {
                int workClass = indexOf(gang.workClass);
                if (shard_.usedOf[workClass] - leaving_[workClass] - gang.accelerators < floor_)
                    return false;
                if (listed_.contains(static_cast<int>(&gang - shard_.jobs.data())))
                    return false;
                return isOwn || (!gang.isProtected && (isLastRound_ || used > workspace.fairShare));
            }
            case ReservationKind::Share:
                if (!gang.canCheckpoint || !hasRunAWhile || gang.accelerators > largestVictim(job_))
                    return false;
                if (isOwn) {
                    auto found = takenFromCaller_.find(gang.caller);
                    int taken = found == takenFromCaller_.end() ? 0 : found->second;
                    return gang.caller != job_.caller
                        && shard_.callers[gang.caller].used - taken - gang.accelerators >= callerUsed_;
                }
                return !gang.isProtected && (used - gang.accelerators) / workspace.weight >= share_;
            default:
                return gang.canCheckpoint && hasRunAWhile && gang.isProtected == isLastRound_
                    && gang.accelerators < job_.accelerators;
            }
        }

        const Shard& shard_;
        const Job& job_;
        ReservationKind kind_;
        Instant at_;
        int callerUsed_ = 0;
        double share_ = 0;
        int floor_ = 0;
        bool isLastRound_ = false;
        std::array<int, classCount> leaving_;
        std::unordered_map<int, int> taken_; //!< accelerators by workspace
        std::unordered_map<int, int> takenFromCaller_;
        std::set<int> listed_;
        std::vector<int> victims_;
    };

} // namespace

std::vector<int> victimsFor(const Shard& shard, int job, ReservationKind kind, Instant at)
{
    return VictimList(shard, job, kind, at).collect();
}

} // namespace agatevane::scheduling
