#pragma once

#include "agatevane/scheduling/fleet_index.h"
#include "agatevane/scheduling/run_time_estimator.h"
#include "agatevane/scheduling/shard.h"
#include <array>
#include <map>
#include <set>
#include <tuple>

namespace agatevane::scheduling {

constexpr int classCount = 3;

enum class GangState {
    Vacant, //!< the job slot is not in use, or its job is neither queued nor charged
    Queued,
    Charged, //!< started; its accelerators are in use
    Preempting //!< like Charged, and the gang is being preempted
};

//! A queued or running job, without the parts of its JobSpec that no decision needs.
struct Job {
    JobId id;
    int workspace = 0; //!< slot in Shard::workspaces
    int caller = 0; //!< slot in Shard::callers
    int shape = 0; //!< slot in Shard::shapes
    int kind = 0; //!< slot in Shard::estimator
    int accelerators = 0;
    GangState state = GangState::Vacant;
    WorkClass workClass = WorkClass::Standard;
    bool isStoppable = true;
    bool canCheckpoint = false;
    //! Whether its workspace's guarantee covers it. Otherwise it runs on lent or unguaranteed capacity.
    bool isProtected = false;
    bool isRunning = false; //!< all parts are known to run
    std::uint64_t sequence = 0; //!< order in which jobs were added
    std::int64_t declaredMs = 0; //!< declared run time; 0: none
    std::int64_t restoredMs = 0; //!< work preserved by a checkpoint of an earlier attempt
    Instant queuedAt;
    Instant startedAt;
    Instant checkpointedAt; //!< a stop would lose the work done since then; the start if there is no checkpoint yet
    Instant expectedEnd;
    Instant preemptionDeadline;
    bool hasReservation = false;
    int reservationHolder = -1; //!< job whose reserved capacity this gang uses as a backfill; -1: none
    Allocation allocation;
};

//! Order of queued jobs: the oldest first.
struct QueueKey {
    Instant queuedAt;
    std::uint64_t sequence = 0;
    int job = 0;

    bool operator<(const QueueKey& other) const
    {
        return std::tie(queuedAt, sequence, job) < std::tie(other.queuedAt, other.sequence, other.job);
    }
};

//! Order in which a workspace's callers are served: first the one with the fewest accelerators in use, then the one
//! served least recently.
struct CallerKey {
    int used = 0;
    std::uint64_t lastStartSequence = 0;
    int caller = 0;

    bool operator<(const CallerKey& other) const
    {
        return std::tie(used, lastStartSequence, caller) < std::tie(other.used, other.lastStartSequence, other.caller);
    }
};

struct Caller {
    CallerId id;
    int workspace = 0;
    int used = 0;
    int queued = 0; //!< number of queued jobs
    std::uint64_t lastStartSequence = 0; //!< value of Shard::sequence at the last start of one of its jobs
    std::array<std::map<int, std::set<QueueKey>>, classCount> queues; //!< by class and shape
    std::array<IndexSet, classCount> queuedShapes; //!< shapes of its queued jobs, by class
};

//! Order in which gangs are covered by their workspace's guarantee: first work that cannot be stopped, then the most
//! urgent class, then the job added first.
struct ProtectionKey {
    bool isStoppable = true;
    WorkClass workClass = WorkClass::Standard;
    std::uint64_t sequence = 0;
    int job = 0;

    bool operator<(const ProtectionKey& other) const
    {
        return std::tie(isStoppable, workClass, sequence, job)
            < std::tie(other.isStoppable, other.workClass, other.sequence, other.job);
    }
};

//! Order of preemption within one class and workspace: the latest checkpoint first, since the least work is lost.
struct VictimKey {
    Instant checkpointedAt;
    int job = 0;

    bool operator<(const VictimKey& other) const
    {
        return checkpointedAt != other.checkpointedAt ? checkpointedAt > other.checkpointedAt : job < other.job;
    }
};

//! Numbers are accelerators unless stated otherwise.
struct Workspace {
    WorkspaceId id;
    double weight = 1;
    int guaranteed = 0;
    int effectiveGuarantee = 0; //!< guarantee scaled down by updateGuarantees if capacity does not suffice for all
    int quota = 0; //!< 0: no limit
    int used = 0;
    int urgentUsed = 0; //!< part of `used` that is urgent work
    int preempting = 0; //!< part of `used` that is being preempted
    int reserved = 0; //!< needed by its jobs that have a reservation
    int urgentReserved = 0; //!< part of `reserved` that is for urgent work
    int protectedUsed = 0; //!< part of `used` that the guarantee covers
    int unstoppableUsed = 0; //!< part of `used` whose work can be neither stopped nor checkpointed
    int queuedJobs = 0; //!< number of jobs
    int queuedAccelerators = 0;
    double fairShare = 0; //!< as of the last call of `decide`
    double credit = 0; //!< accelerator-seconds of its fair share that it has not used, up to a limit
    std::array<std::vector<int>, classCount> queuedJobsByClassAndShape; //!< number of jobs
    std::array<IndexSet, classCount> queuedShapes; //!< shapes of its queued jobs, by class
    std::set<CallerKey> waitingCallers; //!< callers with queued jobs
    std::set<QueueKey> queuedByAge;
    std::set<ProtectionKey> chargedGangs;
    //! Charged gangs that can be stopped and are not being preempted yet, by class.
    std::array<std::set<VictimKey>, classCount> preemptibleGangs;
    std::unordered_map<CallerId, int> callers; //!< slots in Shard::callers
};

//! Why capacity is reserved, in order of importance. For all kinds but Backfillable, gangs are preempted to free it.
enum class ReservationKind {
    Guarantee, //!< the workspace uses less than its guarantee
    Urgent, //!< the job is urgent
    Share, //!< the job has waited for Policy::shareClaimAfter
    Starved, //!< the gang has waited for Policy::starvedAfter
    Backfillable, //!< the gang has waited for Policy::reservationAfter; backfills use the capacity in the meantime
    Defragment //!< gangs are moved so that the job fits
};

//! Capacity held for a queued job until the gangs that still use it have ended.
struct Reservation {
    int job = 0;
    ReservationKind kind = ReservationKind::Guarantee;
    Allocation allocation;
    //! Only for Backfillable: the gangs that still use the capacity are backfills, and they are being preempted.
    bool isReclaiming = false;
    Instant expectedAt; //!< expected start for Backfillable; deadline of the preempted gangs for all other kinds
};

//! A slot is the index of an entry in one of the vectors. Slots of removed jobs and callers are used again.
struct Shard {
    Policy policy; //!< without its workspaces, which are in `workspaces`
    FleetIndex fleet;
    RunTimeEstimator estimator;
    std::vector<Job> jobs;
    std::vector<int> vacantJobSlots;
    std::unordered_map<JobId, int> jobSlots;
    std::vector<std::vector<int>> gangsByWorker; //!< job slots of charged gangs, by worker slot
    std::vector<Workspace> workspaces;
    std::unordered_map<WorkspaceId, int> workspaceSlots;
    std::vector<Caller> callers;
    std::vector<int> vacantCallerSlots;
    std::vector<Shape> shapes;
    std::map<Shape, int> shapeSlots;
    std::vector<int> queuedJobsByShape; //!< number of queued jobs
    std::set<std::pair<Instant, int>> byExpectedEnd; //!< expected end and job slot of charged gangs
    std::vector<Reservation> reservations;
    std::array<int, classCount> usedByClass {}; //!< accelerators
    std::array<int, classCount> preemptingByClass {}; //!< accelerators
    std::array<int, classCount> queuedJobsByClass {};
    std::uint64_t sequence = 0; //!< increases with each job added and each gang started
    Instant fairSharesUpdatedAt;
    Instant defragmentedAt; //!< last attempt to defragment
    int queuedJobs = 0;
    int chargedJobs = 0;
    //! Earliest time to repeat a failed search for victims, by kind of reservation, workspace and shape.
    std::map<std::tuple<int, int, int>, Instant> retryAt;
    bool didCapacityShrink = false; //!< capacity fell since the last `decide`, so queued jobs may be impossible now
    std::uint64_t reservationTurns = 1; //!< 1 + number of starved gangs chosen so far; see Policy::reserveByShare
    bool didDropReservation = false; //!< held capacity was released, so shapes that did not fit may fit now
    //! A worker's capacity fell below its use, or a gang found running exceeds its worker's capacity. Never reset.
    bool isOvercommitExpected = false;
    //! Capacity fell or guarantees rose while work that cannot be stopped may be running. Never reset.
    bool isGuaranteeShortfallExpected = false;
    std::uint64_t invariantViolations = 0; //!< calls of `decide` after which the totals were inconsistent
};

inline int indexOf(WorkClass workClass)
{
    return static_cast<int>(workClass);
}

} // namespace agatevane::scheduling
