#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/desired_state/desired_state.h"
#include "agatevane/fleet/model.h"
#include "agatevane/net/rpc.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

//! What the owner of the fleet knows of jobs and workers. Decisions are free functions over it; no I/O.
namespace agatevane::fleet {

//! Position of a change in the order in which changes become durable.
using CommitSequence = std::uint64_t;

enum class JobPhase { Accepting, Open, Completed, Failed, Cancelled };

//! One task of one occurrence of a job.
struct Task {
    bool isDone = false;
    std::vector<RunNumber> failedRuns;
    RunNumber lastRun = 0;
    std::string checkpoint; //!< newest known; empty: none
    std::optional<WorkerId> worker; //!< where run `lastRun` is ordered, running or being stopped
    std::vector<WorkerId> failedOn; //!< workers on which it failed
};

struct Step {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t active = 0; //!< tasks with a worker
};

struct Occurrence {
    std::vector<Step> steps;
    std::uint32_t stepsDone = 0;
};

struct Job {
    JobSpec spec;
    desired_state::Queue policy; //!< the newest version known of its queue
    JobPhase phase = JobPhase::Accepting;
    CommitSequence lastSequence
        = 0; //!< of the newest write; what is known of the job is durable once this is committed
    CommitSequence phaseSequence = 0; //!< the phase is durable, and may be told, once this is committed
    JobPhase durablePhase = JobPhase::Accepting;
    std::int64_t acceptedUnixMs = 0;
    std::int64_t endedUnixMs = 0;
    Instant acceptedAt; //!< on this process's clock; estimated for inherited jobs
    bool isInherited = false; //!< accepted before this process became the owner
    bool hasStarted = false; //!< a task has been started at some time
    std::vector<Occurrence> occurrences;
};

enum class RunState {
    Ordered, //!< start sent or about to be sent; not confirmed
    Running,
    Stopping, //!< stop ordered; room stays taken until the end is listed
};

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::RunState> {
    static constexpr std::array<std::pair<agatevane::fleet::RunState, std::string_view>, 3> table { {
        { agatevane::fleet::RunState::Ordered, "ordered" },
        { agatevane::fleet::RunState::Running, "running" },
        { agatevane::fleet::RunState::Stopping, "stopping" },
    } };
};

namespace agatevane::fleet {

//! A run that takes, or may take, room on a worker.
struct Run {
    TaskId task;
    RunNumber number = 0;
    Capacity need;
    RunState state = RunState::Ordered;
    bool isWanted = true; //!< false: found on the worker but not wanted
    int priority = 0;
    Instant orderedAt;
    Instant nextSendAt; //!< the start or stop order is sent (again) from then on
    bool isOrderInFlight = false;
    int ordersSent = 0;
    Instant confirmedAt; //!< start answered, or seen in a list; for Stopping: stop answered
    bool isConfirmed = false;
    bool isReported = false; //!< a look at the present life of the worker has shown it
    int percent = 0; //!< of its work, as the worker last said
    Instant progressAt; //!< when `percent` last changed
    std::int64_t tailLatencyMs = 0; //!< of a task that serves users: tail of its response times as the worker last said
    std::optional<int> pace; //!< of a filler: percent that the worker has confirmed; nothing: not known
    bool isPaceInFlight = false;
    Instant nextPaceAt;
};

using RunKey = std::pair<TaskId, RunNumber>;

//! An end that a worker has listed and that is acknowledged to it once `ticket` is durable.
struct UnacknowledgedEnd {
    std::int64_t number = 0;
    CommitSequence ticket = 0; //!< 0: nothing to store
};

//! How fast the fillers of a worker are to work, and what is known of the harm they do.
struct FillerPace {
    int percent = 100;
    int previousPercent = 100; //!< the one that was in force when `previousTailRatio` was seen
    double previousTailRatio = 0; //!< tail over target of the task that was worst off
    double interferencePerPercent = 0; //!< by which that share grows; 0: not known
    Instant decidedAt;
};

struct Worker {
    WorkerId id;
    net::PeerAddress address;
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    Capacity capacity;
    bool isListed = false; //!< in the platform's list
    bool isDraining = false;
    Instant leavesAt; //!< of a draining worker: not before; the epoch: not known
    std::int64_t incarnation = 0; //!< identifies one life of the worker; 0: not known

    bool hasAnsweredPoll = false; //!< it has answered to our fencing token in this lifetime
    bool isPollInFlight = false;
    Instant pollSentAt;
    Instant nextPollAt;
    Instant lastAnswerAt;
    int missedPolls = 0; //!< in a row
    std::int64_t clockMs = 0; //!< its clock ...
    Instant clockAt; //!< ... was at most `clockMs` at this instant
    Instant leaseExpiryBound; //!< everything that runs there without a further order is dead by then
    std::deque<UnacknowledgedEnd> unacknowledgedEnds;
    std::int64_t lastAcknowledgedEnd = 0;

    std::map<RunKey, Run> runs;
    Capacity used; //!< by `runs`
    bool hasRunOfUnknownSize = false; //!< a run of unknown size is there: nothing is placed
    int failuresInRow = 0; //!< runs that failed since one ended well
    Instant avoidUntil; //!< fails or hangs what it starts
    std::map<RunKey, Instant> unansweredStarts; //!< may yet be carried out until the instant, also by a later life
    Instant unlistedAt;
    bool isEvacuating = false; //!< its machine is to go down: no new work
    FillerPace fillerPace;
};

//! Limits and times; the platform's settings give them.
struct Limits {
    Millis leaseDuration { 6000 }; //!< that each order asks for
    Millis reportInterval { 1500 }; //!< of workers to the platform; an entry lapses after three of them
    Millis stopDuration { 200 }; //!< a worker takes to stop a run
    Millis gangAssemblyTimeout { 3000 }; //!< a member waits that long for the others
    Millis reclaimDeadline { 2700 }; //!< within which guaranteed work must begin
    Millis statusRetention { 120000 }; //!< ended jobs are known for that long
    double remoteRackSlowdown = 3; //!< how much longer work takes on the wrong rack
    Millis inheritedRunTimeout { 16000 }; //!< after a takeover, until unseen runs of an unreachable worker are dead
};

enum class Mutation { Accept, Progress, Prune };

//! A record that waits to become durable.
struct PendingWrite {
    CommitSequence ticket = 0;
    JobId job;
    Mutation mutation = Mutation::Progress;
};

//! A phase that a job has once its record is durable.
struct PhaseChange {
    JobId job;
    JobPhase phase = JobPhase::Open;
};

//! A step of one occurrence of a job.
struct StepId {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    // clang-tidy 14 takes the literal zero of a rewritten comparison for a null pointer.
    auto operator<=>(const StepId&) const = default; // NOLINT(modernize-use-nullptr)
};

//! Leave to run the tasks of one step on one life of a worker.
struct WorkerTicket {
    std::string value;
    std::int64_t incarnation = 0;
    Instant validUntil;
};

//! What the advice service has said about a step.
struct StepAdvice {
    std::map<WorkerId, WorkerTicket> tickets; //!< workers that may run it
    std::map<WorkerId, std::int64_t> asked; //!< lives of workers that were asked about
    bool isAsking = false;
    Instant nextAskAt;
};

//! Asks which of some workers may run a step.
struct AdviceRequest {
    StepId step;
    std::vector<std::pair<WorkerId, std::int64_t>> workers; //!< with their lives
};

struct Fleet {
    Limits limits;
    std::uint64_t fencingToken = 0;
    std::uint32_t tenure = 0; //!< counts owners; run numbers of a later tenure are higher
    Instant tookOverAt;
    desired_state::DesiredState desired;
    std::map<JobId, Job> jobs;
    std::map<WorkerId, Worker> workers;
    std::set<JobId> openJobs; //!< in phase Open
    std::map<std::string, std::uint32_t> waiting; //!< queue -> open jobs without times of which nothing has started

    std::deque<PendingWrite> writes;
    std::map<JobId, CommitSequence> queuedProgress; //!< progress writes in `writes`
    std::multimap<CommitSequence, PhaseChange> phaseChanges; //!< not durable yet
    CommitSequence lastSequence = 0;
    CommitSequence committedSequence = 0;
    std::set<std::string> tenantsWithinGuarantee; //!< their open urgent jobs need no more than they are guaranteed
    std::map<StepId, StepAdvice> advice; //!< of open jobs in queues that need tickets
    std::vector<AdviceRequest> adviceDue;
    int adviceInFlight = 0;
    std::uint64_t startsOrdered = 0;
    std::uint64_t preemptedRuns = 0;
    std::uint64_t fillerSlowdowns = 0; //!< times that the fillers of a worker were slowed down
    std::uint64_t placementSearches = 0; //!< over all workers; the measure of a round's processor time
    std::uint64_t preemptionPlans = 0;
    bool haveWorkersChanged = false; //!< the list of known workers has to be stored anew
    bool isPlacementDue = true; //!< something changed that may let work start
};

struct StartOrder {
    WorkerId worker;
    net::PeerAddress address;
    TaskId task;
    RunNumber run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; //!< empty: none is needed
    std::int64_t leaseUntilMs = 0; //!< on the worker's clock
    std::uint64_t fencingToken = 0;
};

struct StopOrder {
    WorkerId worker;
    net::PeerAddress address;
    TaskId task;
    RunNumber run = 0;
    std::uint64_t fencingToken = 0;
};

//! Lets a filler work at a share of its speed.
struct PaceOrder {
    WorkerId worker;
    net::PeerAddress address;
    TaskId task;
    RunNumber run = 0;
    int percent = 100;
    std::uint64_t fencingToken = 0;
};

//! Asks for the lists of runs and ends, acknowledges ends and renews the lease of all that runs there.
struct PollOrder {
    WorkerId worker;
    net::PeerAddress address;
    std::int64_t lastAcknowledgedEnd = 0;
    std::optional<std::int64_t> leaseUntilMs;
    Millis wait { 0 }; //!< the worker may hold the answer back that long until a run ends
    std::uint64_t fencingToken = 0;
};

//! Orders for the edge to carry out.
struct Orders {
    std::vector<AdviceRequest> advice;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
    std::vector<PollOrder> polls;
};

Task* findTask(Fleet& fleet, const TaskId& id);
Job* findJob(Fleet& fleet, const JobId& id);
Worker* findWorker(Fleet& fleet, const WorkerId& id);

//! Queues a durable write of `mutation` and returns its ticket.
CommitSequence queueWrite(Fleet& fleet, const JobId& job, Mutation mutation);

} // namespace agatevane::fleet
