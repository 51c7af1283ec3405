#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/desired_state/desired_state.h"
#include "agatevane/fleet/denials.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/learned_run_times.h"
#include "agatevane/fleet/limits.h"
#include "agatevane/fleet/model.h"
#include "agatevane/fleet/room_holds.h"
#include "agatevane/fleet/urgent_reserve.h"
#include "agatevane/fleet/violation.h"
#include "agatevane/fleet/worker_history.h"
#include "agatevane/net/rpc.h"
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

//! State of jobs and workers as the owner of the fleet knows it. Decisions are free functions over this state and do no
//! I/O.
namespace agatevane::fleet {

//! The position of a write that this owner never makes.
constexpr CommitSequence neverCommitted = std::numeric_limits<CommitSequence>::max();

enum class JobPhase { Accepting, Open, Completed, Failed, Cancelled };

//! Why a stored record can't be used.
enum class RecordFault {
    Damaged, //!< no build can read it
    NewerVersion //!< a later build has written it
};

//! A task's run on a worker: ordered, running or being stopped.
struct TaskRun {
    WorkerId worker;
    RunNumber number = 0;

    bool operator==(const TaskRun&) const = default;
};

//! One task of one occurrence of a job.
struct Task {
    bool isDone = false;
    std::uint32_t failures = 0; //!< runs that have failed
    std::vector<RunNumber> failedRuns; //!< the newest of them, see noteFailedRun()
    RunNumber highestRun = 0; //!< highest number of any run of the task; each new run gets a higher one
    std::string checkpoint; //!< newest known checkpoint; empty: none
    std::optional<TaskRun> run; //!< nothing: the task is idle
    std::vector<WorkerId> failedOn; //!< workers on which it last failed, see noteFailedWorker()
    int stalls = 0; //!< runs that this owner has stopped because they made no progress
};

struct Step {
    std::vector<Task> tasks;
    std::uint32_t done = 0; //!< number of tasks that are done
    std::uint32_t active = 0; //!< number of tasks that have a run
    int stopsForOthers = 0; //!< how often this owner has stopped tasks of the step for more urgent work
};

struct Occurrence {
    std::vector<Step> steps;
    std::uint32_t stepsDone = 0;
};

//! Number of a part of a job's tasks, see progress_parts.h.
using PartNumber = std::uint32_t;

//! The records in which the store holds a job's tasks, if they are too many for the job's progress record.
struct JobParts {
    bool areUsed = false; //!< the tasks are stored in parts from now on
    bool areWithoutCheckpoints = false; //!< the store has refused a part with its checkpoints
    bool isRemovalQueued = false;
    std::set<PartNumber> changed; //!< have to be written
    std::set<PartNumber> stored; //!< may be in the store
};

struct Job {
    JobSpec spec;
    desired_state::Queue policy; //!< settings of the job's queue, in the newest version known
    JobPhase phase = JobPhase::Accepting;
    CommitSequence lastSequence = 0; //!< newest write of the job; the job's state is durable once it is committed
    CommitSequence phaseSequence = 0; //!< write of the phase; callers may be told the phase once it is committed
    JobPhase durablePhase = JobPhase::Accepting;
    std::int64_t acceptedUnixMs = 0;
    std::int64_t endedUnixMs = 0;
    Instant endedAt; //!< time of the end, for inherited jobs of the takeover; Instant {}: the job has not ended
    Instant acceptedAt; //!< time of acceptance on this process's clock; estimated for inherited jobs
    bool isInherited = false; //!< the job was accepted before this process became the owner
    bool hasStarted = false; //!< a worker has confirmed the start of a task
    std::vector<Occurrence> occurrences;
    JobParts parts;
};

enum class RunState {
    Ordered, //!< the start order is sent or about to be sent, and is not confirmed
    Running,
    Stopping, //!< the stop is ordered; the run holds its capacity until the worker reports the end
};

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::RecordFault> {
    static constexpr std::array<std::pair<agatevane::fleet::RecordFault, std::string_view>, 2> table { {
        { agatevane::fleet::RecordFault::Damaged, "damaged" },
        { agatevane::fleet::RecordFault::NewerVersion, "newer_version" },
    } };
};

template <> struct agatevane::EnumNames<agatevane::fleet::RunState> {
    static constexpr std::array<std::pair<agatevane::fleet::RunState, std::string_view>, 3> table { {
        { agatevane::fleet::RunState::Ordered, "ordered" },
        { agatevane::fleet::RunState::Running, "running" },
        { agatevane::fleet::RunState::Stopping, "stopping" },
    } };
};

namespace agatevane::fleet {

//! A run that takes, or may take, capacity of a worker.
struct Run {
    TaskId task;
    RunNumber number = 0;
    Capacity need;
    RunState state = RunState::Ordered;
    bool isWanted = true; //!< false: the worker reported the run, but it belongs to no task that needs it
    //! Ordered by this owner, without a checkpoint of an earlier run, so that the run does the whole work.
    bool isFromStart = false;
    bool isHeld = false; //!< the run belongs to a job whose records can't be read, and is neither wanted nor stopped
    int priority = 0;
    Instant orderedAt;
    Instant nextSendAt; //!< earliest time at which the start or stop order is sent, or sent again
    bool isOrderInFlight = false;
    int ordersSent = 0;
    Instant confirmedAt; //!< time when the start was answered or the run reported; in state Stopping: stop answered
    bool isConfirmed = false;
    Instant stopUnansweredAt; //!< when a stop order was last given up without an answer, or refused
    bool isReported = false; //!< a poll of the worker's present incarnation has reported the run
    int percent = 0; //!< share of the work that is done, as last reported
    Instant progressAt; //!< time when `percent` last changed
    int firstPercent = 0; //!< `percent` when the run was first reported; more than 0 if an earlier owner has started it
    Instant firstReportAt; //!< when the run was first reported to this owner
    std::int64_t tailLatencyMs = 0; //!< tail latency last reported; only for tasks that serve users
    std::optional<int> pace; //!< for fillers: pace in percent that the worker has confirmed; nothing: unknown
    bool isPaceInFlight = false;
    Instant nextPaceAt;
    run_times::Sample sample; //!< the run's part in the learned run times
    std::optional<Instant> hiddenSince; //!< since then, the run may be the one in a row that can't be read
};

using RunKey = std::pair<TaskId, RunNumber>;

//! The end of a run that a worker has reported. It is acknowledged to the worker once write `sequence` is durable.
struct UnacknowledgedEnd {
    std::int64_t number = 0;
    CommitSequence sequence = 0; //!< 0: nothing has to be stored
    bool isReadable = true; //!< false: kept at the worker, for an owner that can read it
};

//! How fast the fillers of a worker are to work, and how much they are known to interfere with tasks that serve users.
struct FillerPace {
    int percent = 100;
    int previousPercent = 100; //!< pace at which `previousTailRatio` was reported
    double previousTailRatio = 0; //!< highest ratio of tail latency to target at that time
    double interferencePerPercent = 0; //!< increase of the ratio for one percent of pace; 0: unknown
    Instant decidedAt;
};

//! What placement needs to know of a worker's runs.
struct WorkerLoad {
    Capacity stopping; //!< capacity of the runs that are being stopped
    int servingTasks = 0; //!< tasks that serve users
    std::int64_t fillerMilliCores = 0; //!< thousandths of a core that the fillers could use
    bool hasUnwantedRun = false;
    std::vector<Instant> unconfirmedSince; //!< when the runs were ordered whose starts are not confirmed
};

struct Worker {
    WorkerId id;
    net::PeerAddress address;
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    Capacity capacity;
    bool isListed = false; //!< the worker is in the platform's list
    bool isDraining = false;
    Instant leavesAt; //!< earliest time at which a draining worker leaves; Instant {}: unknown
    std::int64_t incarnation = 0; //!< increases when the worker restarts under the same id; 0: unknown
    //! The incarnation that the entry in use describes, from which service, labels, rack and capacity are; 0: unknown.
    std::int64_t describedIncarnation = 0;

    //! The stored record of workers does not name the worker, or a newer record that is being written does not: it may
    //! get no starts.
    bool awaitsNaming = false;
    bool isInEarlierRecord = false; //!< the record that this owner inherited names the worker

    bool hasAnsweredPoll = false; //!< this incarnation has answered a poll with this owner's fencing token
    bool isPollInFlight = false;
    Instant pollSentAt;
    Instant nextPollAt;
    Instant lastAnswerAt;
    Instant answersSince; //!< time of the first answer since which no poll was missed
    int missedPolls = 0; //!< polls in a row without an answer
    std::int64_t clockMs = 0; //!< worker's clock as last reported
    Instant clockAt; //!< time when the answer with `clockMs` arrived; the worker's clock shows at least `clockMs` then
    Instant leaseExpiryBound; //!< without a further order, all runs of the worker have ended by then
    std::deque<UnacknowledgedEnd> unacknowledgedEnds;
    std::int64_t lastAcknowledgedEnd = 0;
    //! This incarnation has answered a poll that acknowledged `lastAcknowledgedEnd`, and has forgotten the ends up to
    //! it.
    bool isAcknowledgementReceived = false;
    std::int64_t pollAcknowledges = 0; //!< end up to which the poll in flight acknowledges; 0: none
    std::int64_t pollIncarnation = 0; //!< incarnation that the poll in flight was made out for
    bool doesPollRenewLease = false; //!< the poll in flight renews the lease, on the clock of that incarnation

    //! Unanswered acknowledgements, by the incarnation that they were made out for: until its instant, also a later
    //! incarnation may carry one out.
    std::map<std::int64_t, Instant> unansweredAcknowledgements;

    std::map<RunKey, Run> runs;
    Capacity used; //!< sum over `runs`
    bool mayLackEnds = false; //!< the last answer may lack ends, so that a run that it does not report may have ended
    bool hasUnnamedRun = false; //!< the last answer contains a run that can't be named
    //! As `hasUnnamedRun`, and it is none of `runs`. Its lease is not renewed, so that it ends.
    bool hasForeignRun = false;
    bool hasRunOfUnknownSize = false; //!< a run needs an unknown capacity, so that nothing is placed on the worker
    int failuresInRow = 0; //!< runs that failed since the last one that succeeded
    Instant avoidUntil; //!< no new work until then, because runs failed or stalled, or the worker refused orders
    std::map<RunKey, Instant> unansweredStarts; //!< until its instant, also a later incarnation may carry out the start
    bool isEvacuated = false; //!< the worker's data centre is evacuated: nothing starts there
    Instant takenBackAt; //!< when the worker's data centre was last taken back; Instant {}: never
    Instant coldUntil; //!< by its entry, the worker is cold until then; Instant {}: it is warm
    bool awaitsUpkeep = false; //!< the worker gets no new work because its machine is about to go down
    FillerPace fillerPace;
    Standing standing = Standing::Trusted; //!< see reviewStandings()
    double speed = 1; //!< expected over actual duration of its runs, see worker_speed.h

    std::optional<WorkerLoad> load; //!< see loadOf(); nothing: the worker has changed since it was last computed
    Instant dueAt = Instant::max(); //!< see due_workers.h; Instant::max(): only a change makes the worker due
};

//! What an owner knows of the workers on which earlier owners may have started runs.
enum class EarlierWorkers {
    AnyListed, //!< no record was read: any listed worker
    Recorded, //!< those in the inherited record
    Unreadable //!< any worker, also one that is not known: the inherited record can't be read
};

enum class Mutation {
    Accept,
    Progress,
    RemoveParts, //!< removes the parts of an ended job
    Prune,
    Deny, //!< writes a record of denials
    ForgetDenials //!< removes a record of denials
};

//! A write that has not been handed to the store.
struct PendingWrite {
    CommitSequence sequence = 0;
    std::string subject; //!< id of a job; key of a record of denials
    Mutation mutation = Mutation::Progress;
    Instant queuedAt;
    Instant notBefore; //!< the store has refused the write, which is tried again from then on
    bool isBegun = false; //!< some of its records may be in the store, and `parts` are the others
    std::set<PartNumber> parts; //!< still to be written or removed
};

//! The phase that becomes a job's durable phase once its record is durable.
struct PhaseChange {
    JobId job;
    JobPhase phase = JobPhase::Open;
};

//! Permission of the advice service to run the tasks of one step on one incarnation of a worker.
struct WorkerTicket {
    std::string value;
    std::int64_t incarnation = 0;
    Instant validUntil;
};

//! Answers of the advice service about one step.
struct StepAdvice {
    std::map<WorkerId, WorkerTicket> tickets; //!< for workers that may run the step
    std::map<WorkerId, std::int64_t> askedIncarnations; //!< incarnations of workers that answered requests have named
    bool isRequestInFlight = false;
    Instant nextRequestAt;
};

//! Asks the advice service which of some workers may run a step.
struct AdviceRequest {
    StepId step;
    std::vector<std::pair<WorkerId, std::int64_t>> workers; //!< workers with their incarnations
};

struct Fleet {
    Limits limits;
    std::uint64_t fencingToken = 0;
    std::uint32_t tenure = 0; //!< number of the ownership period; run numbers of a later tenure are higher
    Instant tookOverAt;
    //! No lease is given beyond this time, at which the owner steps down unless the store confirms it again. So a later
    //! owner knows when the leases of earlier ones have ended.
    Instant leasesEndBy = Instant::max();
    //! No other node can have become the owner before this time, as far as the store has confirmed.
    Instant confirmedUntil = Instant::max();
    desired_state::DesiredState desired;
    std::map<JobId, Job> jobs;
    std::map<WorkerId, Worker> workers;
    std::set<std::pair<Instant, WorkerId>> dueWorkers; //!< workers by `Worker::dueAt`; see due_workers.h
    std::set<JobId> openJobs; //!< jobs in phase Open
    std::map<std::string, desired_state::Queue> storedQueues; //!< as earlier owners stored them, by name
    //! Jobs that were accepted and whose records can't be read. What became of them is unknown: they are neither run
    //! nor stopped, and their records stay as they are.
    std::map<JobId, RecordFault> unreadableJobs;
    //! Number of open jobs, except scheduled ones, that have not started, by queue.
    std::map<std::string, std::uint32_t> waitingJobCounts;

    Denials denials;
    LearnedRunTimes runTimes;
    Evacuations evacuations;
    RoomHolds roomHolds;
    UrgentReserve urgentReserve;
    WorkerHistory workerHistory;
    std::deque<PendingWrite> writes;
    std::map<JobId, CommitSequence> queuedProgress; //!< progress writes in `writes`
    std::multimap<CommitSequence, PhaseChange> phaseChanges; //!< phase changes that are not durable yet
    CommitSequence lastSequence = 0;
    CommitSequence committedSequence = 0; //!< see isCommitted()
    //! Positions of writes that later writes have overtaken, and that are not durable.
    std::set<CommitSequence> overtakenWrites;
    std::set<std::string> tenantsWithinGuarantee; //!< open urgent jobs need no more than the guarantee
    std::map<StepId, StepAdvice> advice; //!< for open jobs in queues that need tickets
    std::vector<AdviceRequest> dueAdviceRequests;
    int adviceRequestsInFlight = 0;
    std::uint64_t startsOrdered = 0;
    std::uint64_t preemptedRuns = 0;
    std::map<std::string, std::uint64_t, std::less<>> stopsByCause; //!< runs that were ordered to stop
    double preemptedCoreSeconds = 0; //!< core-seconds lost by stops for more urgent work
    std::uint64_t fillerSlowdowns = 0; //!< how often the pace of a worker's fillers was lowered
    std::uint64_t workerVisits = 0; //!< workers that rounds of decisions have looked at
    std::uint64_t placementSearches = 0; //!< searches over all workers; they dominate the CPU time of a round
    std::uint64_t preemptionPlans = 0;
    std::uint64_t deferredRounds = 0; //!< rounds that left work waiting because of `Limits::maxStartsUnderWay`
    EarlierWorkers earlierWorkers = EarlierWorkers::AnyListed;
    bool doStartsNeedNaming = false; //!< a worker gets no start before a durable record names it
    bool haveWorkersChanged = false; //!< the stored record of workers may be out of date
    std::vector<Violation> violations; //!< found while events were applied, and not reported yet
    bool isPlacementDue = true; //!< a change may allow waiting work to start
};

struct StartOrder {
    WorkerId worker;
    net::PeerAddress address;
    TaskId task;
    RunNumber run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; //!< empty: no ticket is needed
    std::int64_t leaseUntilMs = 0; //!< end of the lease on the worker's clock
    std::uint64_t fencingToken = 0;
};

struct StopOrder {
    WorkerId worker;
    net::PeerAddress address;
    TaskId task;
    RunNumber run = 0;
    std::uint64_t fencingToken = 0;
};

//! Sets the pace of a filler.
struct PaceOrder {
    WorkerId worker;
    net::PeerAddress address;
    TaskId task;
    RunNumber run = 0;
    int percent = 100;
    std::uint64_t fencingToken = 0;
};

//! Asks for the lists of runs and ends, acknowledges ends and renews the lease of all runs of the worker.
struct PollOrder {
    WorkerId worker;
    net::PeerAddress address;
    std::int64_t lastAcknowledgedEnd = 0;
    std::optional<std::int64_t> leaseUntilMs;
    Millis wait { 0 }; //!< the worker may delay its answer this long, until a run ends
    std::uint64_t fencingToken = 0;
};

//! Orders and requests to send to workers and to the advice service.
struct Orders {
    std::vector<AdviceRequest> advice;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
    std::vector<PollOrder> polls;
};

Task* findTask(Fleet& fleet, const TaskId& id);
const Task* findTask(const Fleet& fleet, const TaskId& id);
//! The task that holds the failed runs, the stalls and the checkpoint: for a gang, which shares them, its first task.
TaskId sharedTaskId(const Job& job, const TaskId& id);
Task& sharedTask(Job& job, const TaskId& id);
const Task& sharedTask(const Job& job, const TaskId& id);
Job* findJob(Fleet& fleet, const JobId& id);
const Job* findJob(const Fleet& fleet, const JobId& id);
Worker* findWorker(Fleet& fleet, const WorkerId& id);
const Worker* findWorker(const Fleet& fleet, const WorkerId& id);

//! Queues a write and returns its position. Returns the position of a progress write of the job that is still queued.
CommitSequence queueWrite(Fleet& fleet, const JobId& job, Mutation mutation, Instant at);
//! True if the write at this position is durable.
bool isCommitted(const Fleet& fleet, CommitSequence sequence);

} // namespace agatevane::fleet
