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

enum class GangState { Vacant, Queued, Charged, Preempting };

//! A queued or running job, without the parts of its JobSpec that no decision needs.
struct Job {
    JobId id;
    int workspace = 0;
    int caller = 0;
    int shape = 0;
    int kind = 0;
    int accelerators = 0;
    GangState state = GangState::Vacant;
    WorkClass workClass = WorkClass::Standard;
    bool isStoppable = true;
    bool canCheckpoint = false;
    bool isProtected
        = false; //!< covered by its workspace's guarantee; otherwise it runs on lent or unguaranteed capacity
    bool isRunning = false;
    std::uint64_t sequence = 0;
    std::int64_t declaredMs = 0;
    std::int64_t restoredMs = 0;
    Instant queuedAt;
    Instant startedAt;
    Instant savedAt; //!< work done since then would be lost by a stop
    Instant expectedEnd;
    Instant preemptionDeadline;
    bool hasReservation = false;
    int backfills = -1; //!< job whose reservation it uses until that needs the capacity; -1: none
    Slots slots;
};

struct QueueKey {
    Instant queuedAt;
    std::uint64_t sequence = 0;
    int job = 0;

    bool operator<(const QueueKey& other) const
    {
        return std::tie(queuedAt, sequence, job) < std::tie(other.queuedAt, other.sequence, other.job);
    }
};

//! Order in which a workspace's callers are served: least in use first, then least recently served.
struct CallerKey {
    int used = 0;
    std::uint64_t lastStart = 0;
    int caller = 0;

    bool operator<(const CallerKey& other) const
    {
        return std::tie(used, lastStart, caller) < std::tie(other.used, other.lastStart, other.caller);
    }
};

struct Caller {
    CallerId id;
    int workspace = 0;
    int used = 0;
    int queued = 0;
    std::uint64_t lastStart = 0;
    std::array<std::map<int, std::set<QueueKey>>, classCount> queues; //!< by class and shape
    std::array<IndexSet, classCount> shapes; //!< with a job queued
};

//! Order of protection by the guarantee: work that cannot be stopped, then the most urgent, then the oldest start.
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

//! Order of preemption within one class and workspace: the latest checkpoint first, since least work is lost.
struct VictimKey {
    Instant savedAt;
    int job = 0;

    bool operator<(const VictimKey& other) const
    {
        return savedAt != other.savedAt ? savedAt > other.savedAt : job < other.job;
    }
};

struct Workspace {
    WorkspaceId id;
    double weight = 1;
    int guaranteed = 0;
    int effectiveGuarantee = 0;
    int quota = 0;
    int used = 0;
    int urgentUsed = 0;
    int leaving = 0; //!< part of `used` that is being preempted
    int pending = 0; //!< accelerators held for its reservations
    int urgentPending = 0; //!< part of `pending` that is for urgent work
    int protectedUsed = 0;
    int unstoppableUsed = 0;
    int queuedJobs = 0;
    int queuedAccelerators = 0;
    double fairShare = 0; //!< accelerators, at the last decide
    double credit = 0; //!< accelerator-seconds below its fair share that it has not used, bounded
    std::array<std::vector<int>, classCount> queuedByShape;
    std::array<IndexSet, classCount> shapes;
    std::set<CallerKey> waitingCallers;
    std::set<QueueKey> byAge;
    std::set<ProtectionKey> charged;
    std::array<std::set<VictimKey>, classCount> stoppable; //!< charged, stoppable and not being preempted
    std::unordered_map<CallerId, int> callers;
};

enum class ReservationKind { Guarantee, Urgent, Share, Starved, Backlog, Defragment };

//! Capacity held for a queued job until the gangs that still use it have ended.
struct Reservation {
    int job = 0;
    ReservationKind kind = ReservationKind::Guarantee;
    Slots slots;
    bool isClosing = false; //!< Backlog: only backfilled gangs are left, and they are being preempted
    Instant until; //!< Backlog: expected start; otherwise: deadline of its victims
};

struct Shard {
    Policy policy;
    FleetIndex fleet;
    RunTimeEstimator estimator;
    std::vector<Job> jobs;
    std::vector<int> vacantJobs;
    std::unordered_map<JobId, int> jobSlots;
    std::vector<std::vector<int>> gangsOf; //!< by worker slot
    std::vector<Workspace> workspaces;
    std::unordered_map<WorkspaceId, int> workspaceSlots;
    std::vector<Caller> callers;
    std::vector<int> vacantCallers;
    std::vector<Shape> shapes;
    std::map<Shape, int> shapeSlots;
    std::vector<int> queuedOfShape;
    std::set<std::pair<Instant, int>> byExpectedEnd; //!< charged gangs
    std::vector<Reservation> reservations;
    std::array<int, classCount> usedOf {};
    std::array<int, classCount> leavingOf {};
    std::array<int, classCount> queuedOf {};
    std::uint64_t sequence = 0;
    Instant settledAt;
    Instant defragmentedAt;
    int queuedJobs = 0;
    int chargedJobs = 0;
    //! Earliest repeat of a preemption search that found no victims, by kind, workspace and shape.
    std::map<std::tuple<int, int, int>, Instant> retryAt;
    bool hasShrunk = false; //!< a queued job may have become impossible
    std::uint64_t backlogTurns = 1;
    bool hasFreedHeld = false; //!< a reservation was given up, so shapes that did not fit may fit now
    bool hasOvercommitted = false; //!< a worker shrank, or a gang found running exceeds what its worker has
    bool hasCommitmentChanged = false; //!< capacity fell or guarantees rose under work that cannot be stopped
    std::uint64_t invariantFaults = 0;
};

inline int indexOf(WorkClass workClass)
{
    return static_cast<int>(workClass);
}

} // namespace agatevane::scheduling
