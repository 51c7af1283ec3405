#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/worker_api/worker_api.h"
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

//! One attempt to run a job as a gang of parts, one on each of its workers: all parts run, or none. Each worker stops
//! its part when the part's lease ends, so that no part runs on for long after the others have ended. The library does
//! no I/O: its user reports replies and worker reports to it and sends the commands that `advance` returns.
namespace agatevane::gang {

struct Timing {
    Millis leaseTerm { 4000 }; //!< duration of a reservation or lease from the worker's last report
    //! Leases are extended only if every part was reported within this time, which is two renewal intervals. A part can
    //! outlive the others by at most the lease term plus this time.
    Millis maxReportAge { 2000 };
    Millis prepareTimeout { 3000 }; //!< less than the lease term, so that no reservation lapses before the start
    Millis startTimeout { 3000 };
    Millis reportTimeout { 3000 }; //!< the gang is stopped if one of its running parts is not reported for longer
    Millis resendInterval { 500 }; //!< time after which an unanswered command is sent again
    int clockDriftPercent = 1; //!< bound on the difference in rate between the clocks of two machines
};

//! The data of a worker's newest report from which lease ends are computed.
struct WorkerClock {
    std::string instance; //!< changes with every restart of the worker
    std::int64_t clockMs = 0; //!< the worker's clock when it made the report
    Instant receivedAt; //!< when this process received the report
};

//! Returns null for a worker without a recent report.
using ClockLookup = std::function<const WorkerClock*(const WorkerId&)>;

//! Ordered by progress.
enum class PartState {
    Unprepared,
    Prepared, //!< accelerators are reserved on the worker
    Starting, //!< a start command was sent
    Running,
    Finished, //!< the task has finished, and its worker still reports it
    Ended //!< nothing runs or is reserved on the worker any more
};

struct Part {
    WorkerId worker;
    std::string instance; //!< the worker's instance; empty until the first prepare command is sent
    int accelerators = 0;
    PartState state = PartState::Unprepared;
    bool mayHaveStarted = false; //!< a start command was sent, or the part was found at takeover
    Instant lastSeenAt; //!< send time of the newest request whose answer reported the part as running or finished
    Instant startConfirmedAt; //!< a report requested before this time does not prove that the part is absent
    Instant leaseEndsBy; //!< all reservations and leases granted so far have ended at this time
    Instant nextSendAt; //!< no command is sent before this time
    //! Lease end in the first start command, on the worker's clock. Repeated commands must not extend it.
    std::int64_t startLeaseUntilClockMs = 0;
    std::int64_t progressMs = 0; //!< work done
    std::int64_t checkpointedMs = 0; //!< work that a stop preserves
    std::int64_t checkpointTargetMs = 0; //!< work that must be checkpointed before a preempted gang is stopped early
    bool isCheckpointRequested = false; //!< a checkpoint was requested, or none was needed when preemption began
};

enum class Phase {
    Preparing,
    Starting, //!< all parts are prepared, and start commands are sent
    Running,
    Finished, //!< all parts have finished
    Stopping,
    Ended //!< all parts have ended after a stop
};

//! Why a gang was stopped.
enum class Cause {
    None,
    Preempted,
    Cancelled,
    Refused, //!< a worker was full, was leaving or did not answer in time
    Lost, //!< a part ended without a result, or its worker restarted or sent no reports
    Failed, //!< a part reported that its task failed
    Orphaned //!< found at takeover with parts missing or without a job
};

struct Gang {
    JobId job;
    AttemptId attempt;
    Epoch epoch = 0;
    std::vector<Part> parts;
    Phase phase = Phase::Preparing;
    Cause cause = Cause::None;
    std::string reason; //!< text for operators on why the gang is stopped or preempted
    WorkerId failedWorker; //!< the worker that caused the stop, if one did
    Instant createdAt;
    Instant startedAt; //!< when the first start commands became due
    //! Set while the gang is being preempted: it is stopped once all parts are checkpointed, or at this time.
    std::optional<Instant> preemptionDeadline;
    std::int64_t durationMs = 0; //!< see StartCommand
    std::int64_t restoredMs = 0; //!< work restored from a checkpoint of an earlier attempt
    bool canCheckpoint = false;
    std::string payload;
};

//! Forget makes the worker remove an ended task from its reports.
enum class OrderKind { Checkpoint, Stop, Forget };

struct AttemptOrder {
    OrderKind kind = OrderKind::Stop;
    AttemptCommand command;
};

struct Command {
    WorkerId worker;
    std::variant<PrepareCommand, StartCommand, AttemptOrder> body;
};

enum class ReplyStatus {
    Ok,
    NotFound, //!< the worker does not know the attempt
    Refused,
    StaleEpoch, //!< the worker has seen a later epoch
    Unknown //!< no reply, so the command may or may not have taken effect
};

Gang makeGang(const JobId& job, const AttemptId& attempt, Epoch epoch, std::vector<Part> parts, Instant at);

//! Processes a report that was requested at `sentAt` and that contains the part on `worker`.
void onTaskReport(Gang& gang, const WorkerId& worker, const TaskReport& task, Instant sentAt);

//! Processes a report that was requested at `sentAt` and that contains no task of this gang.
void onTaskAbsent(Gang& gang, const WorkerId& worker, const std::string& instance, Instant sentAt);

void onPrepareReply(Gang& gang, const WorkerId& worker, ReplyStatus status);
void onStartReply(Gang& gang, const WorkerId& worker, ReplyStatus status, Instant sentAt, Instant at);
void onStopReply(Gang& gang, const WorkerId& worker, ReplyStatus status);

//! Stops the attempt on every worker; does nothing if it is being stopped already.
void stop(Gang& gang, Cause cause, const std::string& reason, Instant at);

//! Requests checkpoints and stops the gang when every part is checkpointed, or at `deadline`. Stops it at once if it
//! does not run or cannot be checkpointed.
void preempt(Gang& gang, Instant deadline, const std::string& reason, Instant at);

//! Returns the commands due at `at`. Also detects lost parts and expired timeouts.
std::vector<Command> advance(Gang& gang, const Timing& timing, const ClockLookup& clockOf, Instant at);

//! Whether the leases may be extended, which requires that every part was reported as running or finished within
//! Timing::maxReportAge.
bool isRenewable(const Gang& gang, const Timing& timing, Instant at);

//! Records that the lease of the part on `worker` now ends one lease term after the report in `clock`.
void onLeaseRenewed(Gang& gang, const Timing& timing, const WorkerId& worker, const WorkerClock& clock);

//! Work in milliseconds that the checkpoints of all parts preserve.
std::int64_t checkpointedWorkMs(const Gang& gang);

//! The time by which a lease that ends one lease term after a report received at `receivedAt` has ended on the worker,
//! whose clock may be slower.
Instant latestLeaseEnd(const Timing& timing, Instant receivedAt);

} // namespace agatevane::gang
