#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/job.h"
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

//! The scheduling decisions of one data centre: which gang starts where, and which gang is preempted for whom.
//! No I/O: the caller reports what happened and carries out what `decide` returns.
namespace agatevane::scheduling {

struct WorkerState {
    WorkerId id;
    RackId rack;
    Resources capacity;
    bool isAvailable = true; //!< false: leaving, unreachable or ejected; what runs there stays accounted for

    bool operator==(const WorkerState&) const = default;
};

struct WorkspacePolicy {
    WorkspaceId id;
    double weight = 1;
    int guaranteedAccelerators = 0;
    int quotaAccelerators = 0; //!< 0: none
};

struct Policy {
    std::vector<WorkspacePolicy> workspaces;
    Millis reclaimDeadline { 30000 };
    Millis urgentReclaimDeadline { 5000 };
    Millis reservationAfter { 60000 };
    double fairnessWeight = 1;
    bool defragment = true;
    //! Share of the accelerators that each class with waiting work is served first up to, and that urgent preemption
    //! leaves to it.
    double classFloor = 0.05;
    //! A job that has waited this long may preempt work of workspaces or callers that keep more than its own; 0: never.
    Millis shareClaimAfter { 30000 };
    //! A gang of a workspace below its fair share that has waited this long may preempt any work that can be
    //! checkpointed and that no guarantee covers, and move work that one covers; 0: never.
    Millis starvedAfter { 120000 };
    //! Share of the accelerators that workspaces and callers above their fair share leave free for the others, so that
    //! these start without waiting for checkpoints. Costs as much throughput while a few ask for everything.
    double headroom = 0;
    //! Reservations go to workspaces below their fair share in all turns but one of eight, so that the old jobs of a
    //! flood do not hold them all. Otherwise age decides once a gang has waited ten times reservationAfter, which
    //! bounds every wait and completes ordinary load sooner.
    bool reserveByShare = false;
};

struct PlacedPart {
    WorkerId worker;
    int accelerators = 0;

    bool operator==(const PlacedPart&) const = default;
};

using Placement = std::vector<PlacedPart>;

//! The capacity is charged by the time `decide` returns this. The caller starts the gang, then calls markRunning or,
//! if the attempt failed, markEnded.
struct StartGang {
    JobId job;
    Placement placement;
};

//! Checkpoint the gang if it can, then stop it; whatever has not stopped by the deadline is stopped without a
//! checkpoint. The caller calls markEnded when all parts have ended, and then enqueue with the work that the checkpoint
//! kept.
struct PreemptGang {
    JobId job;
    Instant deadline;
    JobId beneficiary;
    std::string reason;
};

//! No set of workers in the data centre can hold the job any more.
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
    int lent = 0; //!< part of its guarantee that others use
    int waiting = 0;
    double dominantShare = 0;
};

//! The state. Defined in shard_state.h, for the decision code and its tests only.
struct Shard;
struct ShardDeleter {
    void operator()(Shard* shard) const;
};
using ShardPtr = std::unique_ptr<Shard, ShardDeleter>;

ShardPtr makeShard();

void setPolicy(Shard& shard, const Policy& policy);

//! Adds a worker or changes its capacity or availability.
void setWorker(Shard& shard, const WorkerState& worker);

//! Forgets a worker that has left the catalogue. Its parts must have ended before.
void removeWorker(Shard& shard, const WorkerId& worker);

//! Why no set of the shard's workers, all of them empty and available, could hold the job; nothing if one could.
std::optional<std::string> impossibleReason(const Shard& shard, const JobSpec& spec);

//! Queues a job; `restoredMs` is work kept by a checkpoint. `queuedAt` of a preempted job is its first queueing.
void enqueue(Shard& shard, const JobSpec& spec, Instant queuedAt, std::int64_t restoredMs);

//! Accounts for a gang found running at takeover.
void adopt(
    Shard& shard, const JobSpec& spec, const Placement& placement, Instant startedAt, std::int64_t checkpointedMs);

void markRunning(Shard& shard, const JobId& job, Instant at);
void recordCheckpoint(Shard& shard, const JobId& job, std::int64_t checkpointedMs, Instant at);

enum class EndReason { Finished, Stopped, Failed };

//! The gang's attempt has ended on every worker: its capacity is free. The job is forgotten unless enqueued again.
void markEnded(Shard& shard, const JobId& job, EndReason reason, Instant at);

//! Removes a queued job; does nothing if it is not queued.
void dequeue(Shard& shard, const JobId& job);

//! Decides what to do now. The same state and instant give the same decisions.
std::vector<Decision> decide(Shard& shard, Instant at);

//! Why a queued job waits and what it would need, for operators; empty if it is not queued.
std::string explainWait(const Shard& shard, const JobId& job, Instant at);

std::vector<WorkspaceAccount> workspaceAccounts(const Shard& shard);

struct FleetSummary {
    int workers = 0;
    int workersAvailable = 0;
    int accelerators = 0;
    int acceleratorsFree = 0;
    int largestFreeGang = 0; //!< largest gang that could start now in one data centre with any split over workers
    int queued = 0;
    int running = 0;
};

FleetSummary summarize(const Shard& shard);

//! How often a run-time check found the accounts inconsistent; anything but 0 is a fault of this library.
std::uint64_t invariantFaults(const Shard& shard);

//! Checks that guarantees can be honoured by the data centre less its largest rack. Used when the catalogue is changed.
Findings checkGuarantees(
    const std::vector<WorkerState>& workers, const std::vector<WorkspacePolicy>& workspaces, const std::string& place);

} // namespace agatevane::scheduling
