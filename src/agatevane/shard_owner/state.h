#pragma once

#include "agatevane/journal/journal.h"
#include "agatevane/shard_owner/messages.h"
#include <map>
#include <optional>
#include <set>

//! The state of the owner, or candidate owner, of one data centre.
namespace agatevane::shard_owner {

struct Timing {
    Millis poll { 1000 };
    Millis pollTimeout { 2500 }; //!< longer than the HTTP client's own timeout
    Millis unreachableAfter { 3000 };
    Millis decideInterval { 50 };
    Millis idleDecideInterval { 1000 };
    Millis collectSoft { 1200 }; //!< a reachable worker answers report, raise and report well within this
    Millis collectLimit { 4100 }; //!< one lease term with drift: what a dead owner had started has ended
    Millis answerLimit { 2500 }; //!< a waiting submission or cancellation is answered at the latest
    Millis refusedRetry { 500 };
    Millis failedRetry { 1000 };
    int attemptsPerJob = 3; //!< failed attempts before the job counts as failed
    int failuresBeforeEjection = 3;
    Millis firstEjection { 10000 };
    Millis longestEjection { 300000 };
    int ejectedPercent = 30;
    std::size_t maxPendingRecords = 20000;
};

struct TrackedWorker {
    WorkerEntry entry;
    bool isInCatalogue = true;
    bool isLeaving = false;
    bool isReachable = false;
    bool isCollected = false; //!< a report under the own epoch was received
    gang::WorkerClock clock;
    Instant newestSentAt; //!< of the newest report used; older ones are dropped
    Instant nextPoll;
    Instant pollSentAt;
    bool isPolling = false;
    std::optional<bool> wasAvailable; //!< as last told to the scheduling module
    int failures = 0; //!< consecutive failed attempts
    Instant ejectedUntil;
    Millis ejection { 0 };
    std::set<AttemptId> attempts; //!< of the gangs that have a part here
};

struct Job {
    JobSpec spec;
    JobState state = JobState::Queued;
    Instant queuedAt;
    Instant startedAt;
    std::optional<Instant> retryAt; //!< not in the shard's queue before this
    bool isAccepted = false; //!< its Accepted record is durable
    int failedAttempts = 0;
    std::int64_t keptMs = 0;
    AttemptId attempt;
    std::optional<journal::RecordKind> pendingFinal;
    std::string reason;
};

//! A gang together with its account in the scheduling module.
struct OwnedGang {
    gang::Gang gang;
    JobId charge; //!< the job id under which its capacity is charged; empty if it is not
    scheduling::Placement placement; //!< what is charged
    bool isMarkedRunning = false;
    bool isFinishRecorded = false;
    std::int64_t reportedCheckpointMs = 0;
};

//! Parts of one attempt found on the workers at takeover.
struct FoundGang {
    JobId job;
    int parts = 1;
    std::map<int, gang::Part> found; //!< by part number
    bool isHealthy = true; //!< each part was running or finished
};

struct Waiter {
    RequestId request = 0;
    bool isSubmit = true;
    bool isRepeat = false;
    JobId job;
    Instant deadline;
};

//! Inactive: not the owner. Collecting: raises the epoch and learns what runs. Replaying: waits for the journal; renews
//! and stops, starts nothing. Serving: full service.
enum class Stage { Inactive, Collecting, Replaying, Serving };

struct Counters {
    std::uint64_t takeovers = 0;
    std::uint64_t polls = 0;
    std::uint64_t commands = 0;
    std::uint64_t renewals = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t withheldEffects = 0; //!< not sent because the ownership deadline had passed
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsFinished = 0;
    std::uint64_t jobsRefused = 0;
    std::uint64_t gangsStarted = 0;
    std::uint64_t gangsAdopted = 0;
    std::uint64_t gangsEnded = 0;
    std::uint64_t ejections = 0;
    std::int64_t lastTakeoverMs = 0; //!< from taking ownership to the first decision
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
    std::map<JobId, Job> jobs; //!< accepted or being accepted, without outcome
    std::map<AttemptId, OwnedGang> gangs;
    std::map<AttemptId, FoundGang> found;
    std::map<std::uint64_t, std::vector<Waiter>> waiters; //!< by the sequence of the journal record

    std::set<AttemptId> touched; //!< gangs that the current input has changed
    Instant takenAt;
    //! Attempts found on workers may still be adopted; jobs of the journal without a gang are not placed yet.
    bool isCollectWindowOpen = false;
    Instant nextDecide;
    bool isDirty = false;
    std::uint64_t attemptCounter = 0;
    std::uint64_t nextJournalCall = 1; //!< continues over tenures, so that a late answer matches no later call
    Counters counters;
};

} // namespace agatevane::shard_owner
