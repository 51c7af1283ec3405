#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/job.h"
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

//! The scheduling decisions of one data centre: which gang starts on which workers, and which gang is preempted for
//! which job. The library does no I/O: its user reports events to it and carries out the decisions that `decide`
//! returns.
namespace agatevane::scheduling {

struct WorkerState {
    WorkerId id;
    RackId rack;
    Resources capacity;
    //! False if the worker is leaving, unreachable or ejected: no gang starts there; those that run there stay charged.
    bool isAvailable = true;

    bool operator==(const WorkerState&) const = default;
};

struct WorkspacePolicy {
    WorkspaceId id;
    double weight = 1;
    int guaranteedAccelerators = 0;
    int quotaAccelerators = 0; //!< limit on the accelerators in use; 0: no limit
};

struct Policy {
    std::vector<WorkspacePolicy> workspaces;
    Millis reclaimDeadline { 30000 }; //!< time from the decision to preempt until the capacity is due
    Millis urgentReclaimDeadline { 5000 }; //!< the same for preemption for urgent work
    Millis reservationAfter { 60000 }; //!< a gang that has waited this long may get a reservation
    //! Weight, from 0 to 1, of a workspace's use relative to its fair share in the order of service. The rest is the
    //! weight of the waiting time of its oldest job.
    double fairnessWeight = 1;
    bool defragment = true;
    //! Share of the accelerators up to which each class with queued jobs is served first, after guarantees, and which
    //! preemption for urgent work leaves to the class.
    double classFloor = 0.05;
    //! A job that has waited this long may preempt gangs of other workspaces that keep at least as much, relative to
    //! their weight, as its own workspace then has. It may also preempt gangs of other callers of its workspace that
    //! keep at least as much as its own caller then has. 0: never.
    Millis shareClaimAfter { 30000 };
    //! A gang of a workspace below its fair share that has waited this long may preempt any work that can be
    //! checkpointed and that no guarantee covers. Work that a guarantee covers may be preempted for it too, since it
    //! can be placed elsewhere. 0: never.
    Millis starvedAfter { 120000 };
    //! Share of the accelerators that workspaces and callers above their fair share leave free for the others, whose
    //! jobs then start without waiting for checkpoints. Throughput falls by the same share while a few workspaces or
    //! callers ask for all capacity.
    double headroom = 0;
    //! If true, seven of eight reservations go to workspaces below their fair share first, so that the old jobs of a
    //! flood do not get all reservations. If false, age alone decides once a gang has waited ten times
    //! reservationAfter, which bounds every wait and completes ordinary load sooner.
    bool reserveByShare = false;
};

struct PlacedPart {
    WorkerId worker;
    int accelerators = 0;

    bool operator==(const PlacedPart&) const = default;
};

using Placement = std::vector<PlacedPart>;

//! Start the gang. Its capacity is already charged when `decide` returns. The user of the library then calls
//! markRunning, or markEnded if the attempt failed.
struct StartGang {
    JobId job;
    Placement placement;
};

//! Checkpoint the gang if that is possible, then stop it. Parts that still run at the deadline are stopped without a
//! checkpoint. The user of the library calls markEnded when all parts have ended, and then enqueue with the work that
//! the checkpoint preserved.
struct PreemptGang {
    JobId job;
    Instant deadline;
    JobId beneficiary; //!< the job that gets the capacity
    std::string reason;
};

//! The job has been dequeued, since no set of workers in the data centre can hold it any more.
struct JobImpossible {
    JobId job;
    std::string reason;
};

using Decision = std::variant<StartGang, PreemptGang, JobImpossible>;

struct WorkspaceAccount {
    WorkspaceId id;
    int guaranteed = 0;
    int effectiveGuarantee = 0; //!< scaled down in proportion when the available fleet cannot hold all guarantees
    int used = 0;
    int lent = 0; //!< accelerators of its guarantee that other workspaces use
    int waiting = 0; //!< accelerators that its queued jobs need
    double dominantShare = 0; //!< used accelerators divided by weight and by available capacity
};

//! The scheduler's state for one data centre. Defined in shard_state.h, for the decision code and its tests only.
struct Shard;
struct ShardDeleter {
    void operator()(Shard* shard) const;
};
using ShardPtr = std::unique_ptr<Shard, ShardDeleter>;

ShardPtr makeShard();

void setPolicy(Shard& shard, const Policy& policy);

//! Adds a worker or changes its capacity or availability.
void setWorker(Shard& shard, const WorkerState& worker);

//! Removes a worker that has left the catalogue. Its parts must have ended before.
void removeWorker(Shard& shard, const WorkerId& worker);

//! Why no set of the shard's workers, all of them empty and available, could hold the job; nothing if one could.
std::optional<std::string> impossibleReason(const Shard& shard, const JobSpec& spec);

//! Queues a job; does nothing if the job is already known. `restoredMs` is the work preserved by a checkpoint. For a
//! preempted job, `queuedAt` is the time when it was queued first.
void enqueue(Shard& shard, const JobSpec& spec, Instant queuedAt, std::int64_t restoredMs);

//! Charges a gang that was found running at takeover.
void adopt(
    Shard& shard, const JobSpec& spec, const Placement& placement, Instant startedAt, std::int64_t checkpointedMs);

//! Reports that all parts of a started gang run.
void markRunning(Shard& shard, const JobId& job, Instant at);

//! Reports a checkpoint: a stop now loses only the work done after `at`. `checkpointedMs` is not used.
void recordCheckpoint(Shard& shard, const JobId& job, std::int64_t checkpointedMs, Instant at);

//! Only the run time of a finished gang is used to correct declared run times.
enum class EndReason { Finished, Stopped, Failed };

//! Releases the capacity of a gang whose attempt has ended on every worker, and removes the job, which may be enqueued
//! again.
void markEnded(Shard& shard, const JobId& job, EndReason reason, Instant at);

//! Removes a queued job; does nothing if it is not queued.
void dequeue(Shard& shard, const JobId& job);

//! Returns what is to be done at `at`. The same state and instant always give the same decisions.
std::vector<Decision> decide(Shard& shard, Instant at);

//! Why a queued job waits and what it needs, as text for operators; empty if the job is not queued.
std::string explainWait(const Shard& shard, const JobId& job, Instant at);

std::vector<WorkspaceAccount> workspaceAccounts(const Shard& shard);

struct FleetSummary {
    int workers = 0;
    int workersAvailable = 0;
    int accelerators = 0;
    int acceleratorsFree = 0;
    int largestFreeGang = 0; //!< accelerators of the largest gang that could start now, with any split over workers
    int queued = 0;
    int running = 0;
};

FleetSummary summarize(const Shard& shard);

//! Number of calls of `decide` after which a check found the totals inconsistent. Any number but 0 shows a fault of
//! this library.
std::uint64_t invariantViolations(const Shard& shard);

//! Checks that the workers can honour all guarantees even without their largest rack. `place` is used in the findings.
//! For use before a change of the catalogue.
Findings checkGuarantees(
    const std::vector<WorkerState>& workers, const std::vector<WorkspacePolicy>& workspaces, const std::string& place);

} // namespace agatevane::scheduling
