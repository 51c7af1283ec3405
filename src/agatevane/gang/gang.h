#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/worker_api/worker_api.h"
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

//! One attempt to run a job on one or several workers: all parts run, or none. No I/O.
namespace agatevane::gang {

struct Timing {
    Millis leaseTerm { 4000 };
    //! Two renewal intervals. The term plus this is the longest time for which a part can outlive the others.
    Millis maxReportAge { 2000 };
    Millis prepareTimeout { 3000 }; //!< below the term, so that no reservation lapses before the start
    Millis startTimeout { 3000 };
    Millis reportTimeout { 3000 }; //!< a running part that was not reported for so long ends the gang
    Millis resendInterval { 500 };
    int clockDriftPercent = 1; //!< bound on the difference in rate between two machines' clocks
};

//! The newest report of a worker, as far as leases need it.
struct WorkerClock {
    std::string instance;
    std::int64_t clockMs = 0; //!< on the worker's clock
    Instant receivedAt; //!< on the own clock
};

//! Nothing for a worker that was not heard of recently.
using ClockLookup = std::function<const WorkerClock*(const WorkerId&)>;

enum class PartState { Unprepared, Prepared, Starting, Running, Finished, Ended };

struct Part {
    WorkerId worker;
    std::string instance;
    int accelerators = 0;
    PartState state = PartState::Unprepared;
    bool mayHaveStarted = false; //!< a start was sent, or the part was found at takeover
    Instant lastSeenAt; //!< sending of the newest request whose answer showed it running or finished
    Instant startConfirmedAt; //!< reports asked for earlier than this do not prove its absence
    Instant leaseEndsBy; //!< no reservation or lease granted so far can last beyond this
    Instant nextSendAt;
    std::int64_t startLeaseUntilClockMs = 0; //!< lease end of the start command; repeats must not extend it
    std::int64_t progressMs = 0;
    std::int64_t checkpointedMs = 0;
    std::int64_t checkpointTargetMs = 0;
    bool isCheckpointRequested = false;
};

enum class Phase { Preparing, Starting, Running, Finished, Stopping, Ended };

enum class Cause {
    None,
    Preempted,
    Cancelled,
    Refused, //!< a worker had no room, was leaving or did not answer in time
    Lost, //!< a part or its worker was lost
    Failed, //!< a part reported failure
    Orphaned //!< found at takeover without the rest of its gang, or without a job
};

struct Gang {
    JobId job;
    AttemptId attempt;
    Epoch epoch = 0;
    std::vector<Part> parts;
    Phase phase = Phase::Preparing;
    Cause cause = Cause::None;
    std::string reason;
    WorkerId failedWorker;
    Instant createdAt;
    Instant startedAt;
    std::optional<Instant> preemptionDeadline; //!< preemption: checkpoint first, stop at this instant at the latest
    std::int64_t durationMs = 0;
    std::int64_t restoredMs = 0;
    bool canCheckpoint = false;
    std::string payload;
};

enum class OrderKind { Checkpoint, Stop, Forget };

struct AttemptOrder {
    OrderKind kind = OrderKind::Stop;
    AttemptCommand command;
};

struct Command {
    WorkerId worker;
    std::variant<PrepareCommand, StartCommand, AttemptOrder> body;
};

enum class ReplyStatus { Ok, NotFound, Refused, StaleEpoch, Unknown };

Gang makeGang(const JobId& job, const AttemptId& attempt, Epoch epoch, std::vector<Part> parts, Instant at);

//! A report that was asked for at `sentAt` shows the part on `worker`.
void onTaskReport(Gang& gang, const WorkerId& worker, const TaskReport& task, Instant sentAt);

//! A report without a task of this gang.
void onTaskAbsent(Gang& gang, const WorkerId& worker, const std::string& instance, Instant sentAt);

void onPrepareReply(Gang& gang, const WorkerId& worker, ReplyStatus status);
void onStartReply(Gang& gang, const WorkerId& worker, ReplyStatus status, Instant sentAt, Instant at);
void onStopReply(Gang& gang, const WorkerId& worker, ReplyStatus status);

//! Ends the attempt on every worker.
void stop(Gang& gang, Cause cause, const std::string& reason, Instant at);

//! Asks for checkpoints and stops when all are there, at `deadline` at the latest.
void preempt(Gang& gang, Instant deadline, const std::string& reason, Instant at);

//! Commands due at `at`; also detects losses and passed deadlines.
std::vector<Command> advance(Gang& gang, const Timing& timing, const ClockLookup& clockOf, Instant at);

//! Whether the leases may be extended: every part was seen running or finished recently.
bool isRenewable(const Gang& gang, const Timing& timing, Instant at);

//! Records that the lease of the part on `worker` was extended by the term from `clock`.
void onLeaseRenewed(Gang& gang, const Timing& timing, const WorkerId& worker, const WorkerClock& clock);

//! Work that a checkpoint of every part kept.
std::int64_t checkpointedWorkMs(const Gang& gang);

//! The instant by which a lease of one term, counted from a report received at `receivedAt`, has ended.
Instant latestLeaseEnd(const Timing& timing, Instant receivedAt);

} // namespace agatevane::gang
