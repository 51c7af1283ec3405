#include "agatevane/scheduling/preemption.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    //! Time that a gang runs before it may be preempted for fair shares or starved work, so that it makes more progress
    //! than its start costs.
    constexpr Millis minRunTime { 30000 };

    //! Collects candidates for preemption in order of preference. Each choice assumes that those already collected have
    //! ended.
    class VictimCollector {
    public:
        VictimCollector(const Shard& shard, int job, ReservationKind kind, Instant at)
            : shard_(shard)
            , job_(shard.jobs[job])
            , kind_(kind)
            , at_(at)
            , preemptingByClass_(shard.preemptingByClass)
        {
            callerUsedAfterStart_ = shard.callers[job_.caller].used + job_.accelerators;
            int used = usedAfterStart(shard, job_);
            shareAfterStart_ = used / shard.workspaces[job_.workspace].weight;
            classFloor_ = static_cast<int>(shard.policy.classFloor * shard.fleet.capacity);
        }

        std::vector<int> collect()
        {
            // The last round collects what is preempted only if nothing else is left: for urgent work, gangs of
            // workspaces below their fair share; for a starved gang, work that a guarantee covers, since its workspace
            // can claim other capacity at once.
            int first = kind_ == ReservationKind::Urgent || kind_ == ReservationKind::Starved ? 0 : 1;
            for (int round = first; round < 2; ++round) {
                isLastRound_ = round == 1;
                for (int workClass = classCount - 1; workClass >= mostUrgentPreemptibleClass(); --workClass)
                    collect(workClass);
            }
            return std::move(victims_);
        }

    private:
        //! The next gang to consider in a workspace.
        struct WorkspaceCursor {
            double usePerFairShare = 0;
            int workspace = 0;
            std::set<VictimKey>::const_iterator next;

            bool operator<(const WorkspaceCursor& other) const { return usePerFairShare < other.usePerFairShare; }
        };

        //! Index of the most urgent class whose gangs may be preempted. The index rises as the urgency falls.
        int mostUrgentPreemptibleClass() const
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

        //! Accelerators in use divided by the fair share, as if the collected victims had ended.
        double usePerFairShareOf(int slot) const
        {
            const Workspace& workspace = shard_.workspaces[slot];
            return (workspace.used - workspace.preempting - collectedFrom(slot)) / workspace.fairShare;
        }

        int collectedFrom(int workspace) const
        {
            auto found = collectedByWorkspace_.find(workspace);
            return found == collectedByWorkspace_.end() ? 0 : found->second;
        }

        void collect(int workClass)
        {
            std::vector<WorkspaceCursor> cursors;
            for (int slot = 0; slot < static_cast<int>(shard_.workspaces.size()); ++slot) {
                const auto& preemptibleGangs = shard_.workspaces[slot].preemptibleGangs[workClass];
                if (!preemptibleGangs.empty())
                    cursors.push_back({ usePerFairShareOf(slot), slot, preemptibleGangs.begin() });
            }
            std::make_heap(cursors.begin(), cursors.end());
            while (!cursors.empty()) {
                std::pop_heap(cursors.begin(), cursors.end());
                WorkspaceCursor& cursor = cursors.back();
                const auto& preemptibleGangs = shard_.workspaces[cursor.workspace].preemptibleGangs[workClass];
                int victim = -1;
                while (victim < 0 && cursor.next != preemptibleGangs.end()) {
                    if (isAllowed(shard_.jobs[cursor.next->job]))
                        victim = cursor.next->job;
                    ++cursor.next;
                }
                if (victim < 0) {
                    cursors.pop_back();
                    continue;
                }
                add(victim);
                cursor.usePerFairShare = usePerFairShareOf(cursor.workspace);
                std::push_heap(cursors.begin(), cursors.end());
            }
        }

        void add(int victim)
        {
            const Job& gang = shard_.jobs[victim];
            victims_.push_back(victim);
            collectedJobs_.insert(victim);
            collectedByWorkspace_[gang.workspace] += gang.accelerators;
            collectedByCaller_[gang.caller] += gang.accelerators;
            preemptingByClass_[indexOf(gang.workClass)] += gang.accelerators;
        }

        bool isAllowed(const Job& gang) const
        {
            bool isOwn = gang.workspace == job_.workspace;
            const Workspace& workspace = shard_.workspaces[gang.workspace];
            int used = workspace.used - workspace.preempting - collectedFrom(gang.workspace);
            bool hasRunLongEnough = at_ - gang.startedAt >= minRunTime;
            switch (kind_) {
            case ReservationKind::Guarantee:
                return !gang.isProtected;
            case ReservationKind::Urgent: {
                int workClass = indexOf(gang.workClass);
                if (shard_.usedByClass[workClass] - preemptingByClass_[workClass] - gang.accelerators < classFloor_)
                    return false;
                if (collectedJobs_.contains(static_cast<int>(&gang - shard_.jobs.data())))
                    return false;
                return isOwn || (!gang.isProtected && (isLastRound_ || used > workspace.fairShare));
            }
            case ReservationKind::Share:
                if (!gang.canCheckpoint || !hasRunLongEnough || gang.accelerators > maxVictimAccelerators(job_))
                    return false;
                if (isOwn) {
                    auto found = collectedByCaller_.find(gang.caller);
                    int taken = found == collectedByCaller_.end() ? 0 : found->second;
                    return gang.caller != job_.caller
                        && shard_.callers[gang.caller].used - taken - gang.accelerators >= callerUsedAfterStart_;
                }
                return !gang.isProtected && (used - gang.accelerators) / workspace.weight >= shareAfterStart_;
            default:
                return gang.canCheckpoint && hasRunLongEnough && gang.isProtected == isLastRound_
                    && gang.accelerators < job_.accelerators;
            }
        }

        const Shard& shard_;
        const Job& job_;
        ReservationKind kind_;
        Instant at_;
        int callerUsedAfterStart_ = 0;
        double shareAfterStart_ = 0;
        int classFloor_ = 0;
        bool isLastRound_ = false;
        std::array<int, classCount> preemptingByClass_;
        std::unordered_map<int, int> collectedByWorkspace_; //!< accelerators by workspace
        std::unordered_map<int, int> collectedByCaller_;
        std::set<int> collectedJobs_;
        std::vector<int> victims_;
    };

} // namespace

std::vector<int> victimCandidates(const Shard& shard, int job, ReservationKind kind, Instant at)
{
    return VictimCollector(shard, job, kind, at).collect();
}

} // namespace agatevane::scheduling
