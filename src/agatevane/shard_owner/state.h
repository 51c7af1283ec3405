#pragma once

#include "agatevane/journal/journal.h"
#include "agatevane/shard_owner/messages.h"
#include <map>
#include <optional>
#include <set>

//! State of one scheduler for one data centre, which it owns or may come to own.
namespace agatevane::shard_owner {

struct Timing {
    Millis pollInterval { 1000 };
    Millis pollTimeout { 2500 }; //!< longer than the HTTP client's own timeout
    Millis unreachableAfter { 3000 }; //!< a worker without a report for longer than this counts as unreachable
    Millis decisionInterval { 50 };
    Millis idleDecisionInterval { 1000 }; //!< added to `decisionInterval` while nothing has changed
    //! Longest time for collecting reports. A reachable worker answers a report, the command that raises its epoch and
    //! another report well within it.
    Millis collectTimeout { 1200 };
    //! Time after the start of a takeover in which gangs found on workers can be adopted. It is one lease term with
    //! clock drift, after which all runs that a failed owner had started have ended.
    Millis adoptionTimeout { 4100 };
    Millis replyTimeout { 2500 }; //!< a waiting submission or cancellation is answered after this at the latest
    Millis retryDelayAfterRefusal { 500 };
    Millis retryDelayAfterFailure { 1000 };
    int maxFailedAttempts = 3; //!< a job fails once this many of its attempts have failed
    int failuresBeforeEjection = 3; //!< failed attempts in a row after which a worker gets no gangs for a time
    Millis firstEjection { 10000 }; //!< each further ejection lasts twice as long as the one before
    Millis maxEjection { 300000 };
    int maxEjectedPercent = 30; //!< at most this percentage of the workers is ejected at the same time
    std::size_t maxPendingRecords = 20000; //!< submissions are refused while this many records wait for the store
};

//! What the owner knows about one worker.
struct TrackedWorker {
    WorkerEntry entry; //!< the worker's catalogue entry
    bool isInCatalogue = true;
    bool isLeaving = false;
    bool isReachable = false;
    bool hasReported = false; //!< the worker has sent a report after its epoch reached the own epoch
    gang::WorkerClock clock;
    Instant newestReportRequestedAt; //!< when the newest report was requested that was used; older reports are ignored
    Instant nextPoll;
    Instant pollSentAt;
    bool isPolling = false;
    std::optional<bool> publishedAvailability; //!< availability last passed to the scheduling module; empty: none yet
    int failures = 0; //!< consecutive failed attempts
    Instant ejectedUntil;
    Millis ejectionDuration { 0 }; //!< duration of the last ejection; 0: none since the last success
    std::set<AttemptId> attempts; //!< attempts whose gangs have a part on this worker
};

struct Job {
    JobSpec spec;
    JobState state = JobState::Queued;
    Instant queuedAt;
    Instant startedAt;
    std::optional<Instant> retryAt; //!< when the job is to enter the shard's queue; empty: it does not wait for that
    bool isAccepted = false; //!< the job's Accepted record is durable
    int failedAttempts = 0;
    std::int64_t checkpointedWorkMs = 0; //!< work preserved by checkpoints of earlier attempts
    AttemptId attempt; //!< the attempt that runs or is being started; empty: none
    std::optional<journal::RecordKind> pendingOutcome; //!< outcome that is being recorded and is not durable yet
    std::string reason;
};

//! A gang together with the capacity that the scheduling module charges for it.
struct OwnedGang {
    gang::Gang gang;
    JobId chargedJob; //!< job id under which the capacity is charged; empty: nothing is charged
    scheduling::Placement chargedPlacement;
    bool isMarkedRunning = false; //!< the start was counted and passed to the scheduling module
    bool isFinishRecorded = false;
    std::int64_t reportedCheckpointMs = 0; //!< checkpointed work last passed to the scheduling module
};

//! Parts of one attempt that were found on the workers at the takeover. The gang is not complete yet.
struct DiscoveredGang {
    JobId job;
    int partCount = 1; //!< number of parts in the whole gang
    std::map<int, gang::Part> partsByNumber; //!< the parts found so far
    bool isHealthy = true; //!< each part was running or finished
};

//! A submission or cancellation that is answered once a journal record is durable.
struct PendingReply {
    RequestId request = 0;
    bool isSubmit = true; //!< false for a cancellation
    bool isRepeat = false; //!< repeats a submission that is not durable yet
    JobId job;
    Instant deadline;
};

enum class Stage {
    Inactive, //!< this scheduler is not the owner
    Collecting, //!< raises the workers' epoch and collects reports of what runs
    Replaying, //!< waits for the replay of the journal; renews leases and stops gangs, but starts none
    Serving //!< accepts, starts, stops and completes jobs
};

struct Counters {
    std::uint64_t takeovers = 0;
    std::uint64_t polls = 0;
    std::uint64_t commands = 0;
    std::uint64_t renewals = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t withheldEffects = 0; //!< commands and renewals not sent because the ownership deadline had passed
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsFinished = 0;
    std::uint64_t jobsRefused = 0;
    std::uint64_t gangsStarted = 0;
    std::uint64_t gangsAdopted = 0;
    std::uint64_t gangsEnded = 0;
    std::uint64_t ejections = 0;
    std::int64_t lastTakeoverMs = 0; //!< time from taking ownership until the stage became Serving
};

struct State {
    Timing timing;
    gang::Timing gangTiming;
    journal::Timing journalTiming;
    ownership::State owner;
    Stage stage = Stage::Inactive;
    scheduling::Policy policy;
    std::map<WorkerId, TrackedWorker> workers;

    scheduling::ShardPtr shard;
    std::optional<journal::State> journal;
    std::map<JobId, Job> jobs; //!< jobs accepted or being accepted that have no durable outcome
    std::map<AttemptId, OwnedGang> gangs;
    std::map<AttemptId, DiscoveredGang> discoveredGangs; //!< incomplete gangs found at the takeover
    std::map<std::uint64_t, std::vector<PendingReply>> pendingReplies; //!< by sequence of the journal record awaited

    std::set<AttemptId> changedGangs; //!< gangs that the current input has changed
    Instant takeoverStartedAt; //!< when the takeover began
    //! True while attempts found on workers may still be adopted. During that time, jobs of the journal without a gang
    //! are not placed.
    bool isAdoptionWindowOpen = false;
    Instant nextDecisionAt;
    bool needsDecision = false; //!< something has changed that decisions depend on
    std::uint64_t attemptCounter = 0; //!< makes the ids of the attempts started by this process unique
    //! Next call id of the journal. It is not reset by a new tenure, so that a late answer matches no later call.
    std::uint64_t nextJournalCall = 1;
    Counters counters;
};

} // namespace agatevane::shard_owner
