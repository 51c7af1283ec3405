#include "agatevane/gang/gang.h"

#include <algorithm>

namespace agatevane::gang {

namespace {

    Part* findPart(Gang& gang, const WorkerId& worker)
    {
        auto found = std::find_if(
            gang.parts.begin(), gang.parts.end(), [&](const Part& part) { return part.worker == worker; });
        return found == gang.parts.end() ? nullptr : &*found;
    }

    bool haveAllPartsReached(const Gang& gang, PartState state)
    {
        return std::all_of(gang.parts.begin(), gang.parts.end(), [&](const Part& part) { return part.state >= state; });
    }

    bool isActive(const Gang& gang)
    {
        return gang.phase == Phase::Preparing || gang.phase == Phase::Starting || gang.phase == Phase::Running;
    }

    //! Marks a part as ended that is known to have ended, or whose worker refuses any delayed command for it. Stops the
    //! other parts if the gang is still active.
    void endPart(Gang& gang, Part& part, Cause cause, const std::string& reason, Instant at)
    {
        if (part.state == PartState::Ended)
            return;
        part.state = PartState::Ended;
        if (isActive(gang)) {
            gang.failedWorker = part.worker;
            stop(gang, cause, reason + " on " + part.worker.value, at);
        }
    }

    void advancePhase(Gang& gang, Instant at)
    {
        if (gang.phase == Phase::Preparing && haveAllPartsReached(gang, PartState::Prepared)) {
            gang.phase = Phase::Starting;
            gang.startedAt = at;
            for (auto& part : gang.parts)
                part.nextSendAt = at;
        }
        if (gang.phase == Phase::Starting && haveAllPartsReached(gang, PartState::Running))
            gang.phase = Phase::Running;
        if (gang.phase == Phase::Running && std::all_of(gang.parts.begin(), gang.parts.end(), [](const Part& part) {
                return part.state == PartState::Finished;
            }))
            gang.phase = Phase::Finished;
        if (gang.phase == Phase::Stopping && std::all_of(gang.parts.begin(), gang.parts.end(), [](const Part& part) {
                return part.state == PartState::Ended;
            }))
            gang.phase = Phase::Ended;
    }

    std::int64_t leaseUntilClockMs(const Timing& timing, const WorkerClock& clock)
    {
        return clock.clockMs + timing.leaseTerm.count();
    }

    void sendPrepare(Gang& gang, const Timing& timing, Part& part, const WorkerClock& clock, std::vector<Command>& out)
    {
        if (part.instance.empty())
            part.instance = clock.instance;
        part.leaseEndsBy = std::max(part.leaseEndsBy, latestLeaseEnd(timing, clock.receivedAt));
        out.push_back({ part.worker,
            PrepareCommand { .job = gang.job,
                .attempt = gang.attempt,
                .epoch = gang.epoch,
                .accelerators = part.accelerators,
                .part = static_cast<int>(&part - gang.parts.data()),
                .parts = static_cast<int>(gang.parts.size()),
                .reserveUntilClockMs = leaseUntilClockMs(timing, clock) } });
    }

    void sendStart(Gang& gang, const Timing& timing, Part& part, const WorkerClock& clock, std::vector<Command>& out)
    {
        // A repeated command has the same lease end as the first, since the other parts are not known to run.
        if (!part.mayHaveStarted) {
            part.startLeaseUntilClockMs = leaseUntilClockMs(timing, clock);
            part.leaseEndsBy = std::max(part.leaseEndsBy, latestLeaseEnd(timing, clock.receivedAt));
        }
        part.mayHaveStarted = true;
        part.state = PartState::Starting;
        out.push_back({ part.worker,
            StartCommand { .attempt = gang.attempt,
                .epoch = gang.epoch,
                .leaseUntilClockMs = part.startLeaseUntilClockMs,
                .durationMs = gang.durationMs,
                .restoredMs = gang.restoredMs,
                .canCheckpoint = gang.canCheckpoint,
                .payload = gang.payload } });
    }

    void sendOrder(const Gang& gang, const Part& part, OrderKind kind, std::vector<Command>& out)
    {
        out.push_back({ part.worker, AttemptOrder { kind, { .attempt = gang.attempt, .epoch = gang.epoch } } });
    }

    void checkTimeouts(Gang& gang, const Timing& timing, Instant at)
    {
        if (gang.phase == Phase::Preparing && elapsed(gang.createdAt, at) >= timing.prepareTimeout)
            stop(gang, Cause::Refused, "not every worker answered the reservation", at);
        if (gang.phase == Phase::Starting && elapsed(gang.startedAt, at) >= timing.startTimeout)
            stop(gang, Cause::Refused, "not every worker answered the start", at);
        if (gang.phase != Phase::Running)
            return;
        for (const auto& part : gang.parts) {
            if (part.state != PartState::Ended && elapsed(part.lastSeenAt, at) > timing.reportTimeout) {
                gang.failedWorker = part.worker;
                stop(gang, Cause::Lost, "no report from " + part.worker.value, at);
                return;
            }
        }
        bool isCheckpointed
            = gang.preemptionDeadline && std::all_of(gang.parts.begin(), gang.parts.end(), [](const Part& part) {
                  return part.isCheckpointRequested && part.checkpointedMs >= part.checkpointTargetMs;
              });
        if (gang.preemptionDeadline && (isCheckpointed || at >= *gang.preemptionDeadline))
            stop(gang, Cause::Preempted, gang.reason, at);
    }

    void advancePart(
        Gang& gang, const Timing& timing, Part& part, const WorkerClock* clock, Instant at, std::vector<Command>& out)
    {
        if (gang.phase == Phase::Stopping && at >= part.leaseEndsBy)
            part.state = PartState::Ended;
        if (part.state == PartState::Ended || at < part.nextSendAt || !clock)
            return;
        part.nextSendAt = at + timing.resendInterval;
        switch (gang.phase) {
        case Phase::Preparing:
            if (part.state == PartState::Unprepared)
                sendPrepare(gang, timing, part, *clock, out);
            break;
        case Phase::Starting:
            if (part.state == PartState::Prepared || part.state == PartState::Starting)
                sendStart(gang, timing, part, *clock, out);
            break;
        case Phase::Running:
            if (gang.preemptionDeadline && part.checkpointedMs < part.checkpointTargetMs
                && part.state == PartState::Running) {
                part.isCheckpointRequested = true;
                sendOrder(gang, part, OrderKind::Checkpoint, out);
            }
            break;
        case Phase::Stopping:
            sendOrder(gang, part, OrderKind::Stop, out);
            break;
        case Phase::Finished:
        case Phase::Ended:
            break;
        }
    }

} // namespace

Instant latestLeaseEnd(const Timing& timing, Instant receivedAt)
{
    return receivedAt + timing.leaseTerm + timing.leaseTerm * timing.clockDriftPercent / 100;
}

Gang makeGang(const JobId& job, const AttemptId& attempt, Epoch epoch, std::vector<Part> parts, Instant at)
{
    Gang gang { .job = job, .attempt = attempt, .epoch = epoch, .parts = std::move(parts) };
    gang.createdAt = gang.startedAt = at;
    for (auto& part : gang.parts)
        part.nextSendAt = part.lastSeenAt = part.startConfirmedAt = part.leaseEndsBy = at;
    return gang;
}

void stop(Gang& gang, Cause cause, const std::string& reason, Instant at)
{
    if (gang.phase == Phase::Stopping || gang.phase == Phase::Ended)
        return;
    gang.phase = Phase::Stopping;
    gang.cause = cause;
    gang.reason = reason;
    for (auto& part : gang.parts) {
        part.nextSendAt = at;
        if (part.state == PartState::Finished)
            part.state = PartState::Ended; // a finished task uses nothing on its worker
    }
    advancePhase(gang, at);
}

void preempt(Gang& gang, Instant deadline, const std::string& reason, Instant at)
{
    if (gang.phase != Phase::Running || !gang.canCheckpoint) {
        stop(gang, Cause::Preempted, reason, at);
        return;
    }
    if (gang.preemptionDeadline && *gang.preemptionDeadline <= deadline)
        return;
    gang.preemptionDeadline = deadline;
    gang.reason = reason;
    for (auto& part : gang.parts) {
        part.checkpointTargetMs = part.state == PartState::Finished ? part.checkpointedMs : part.progressMs;
        part.isCheckpointRequested = part.checkpointedMs >= part.checkpointTargetMs;
        part.nextSendAt = at;
    }
}

void onTaskReport(Gang& gang, const WorkerId& worker, const TaskReport& task, Instant sentAt)
{
    auto* part = findPart(gang, worker);
    if (!part || part->state == PartState::Ended)
        return;
    part->progressMs = std::max(part->progressMs, task.progressMs);
    part->checkpointedMs = std::max(part->checkpointedMs, task.checkpointedMs);
    switch (task.state) {
    case TaskState::Reserved:
        if (part->state == PartState::Unprepared)
            part->state = PartState::Prepared;
        break;
    case TaskState::Running:
        part->lastSeenAt = std::max(part->lastSeenAt, sentAt);
        if (part->state < PartState::Running)
            part->state = PartState::Running;
        break;
    case TaskState::Finished:
        part->lastSeenAt = std::max(part->lastSeenAt, sentAt);
        part->state = gang.phase == Phase::Stopping ? PartState::Ended : PartState::Finished;
        break;
    case TaskState::Failed:
        endPart(gang, *part, Cause::Failed, "failed", sentAt);
        break;
    case TaskState::Stopped:
        endPart(gang, *part, Cause::Lost, "stopped by its worker", sentAt);
        break;
    }
    advancePhase(gang, sentAt);
}

void onTaskAbsent(Gang& gang, const WorkerId& worker, const std::string& instance, Instant sentAt)
{
    auto* part = findPart(gang, worker);
    if (!part || part->state == PartState::Ended)
        return;
    if (!part->instance.empty() && part->instance != instance) {
        endPart(gang, *part, Cause::Lost, "worker restarted", sentAt);
    } else if (part->state >= PartState::Running && sentAt > part->startConfirmedAt) {
        if (gang.phase == Phase::Finished)
            return; // the outcome is known, and the worker may have removed the task
        endPart(gang, *part, Cause::Lost, "task disappeared", sentAt);
    }
    advancePhase(gang, sentAt);
}

void onPrepareReply(Gang& gang, const WorkerId& worker, ReplyStatus status)
{
    auto* part = findPart(gang, worker);
    if (!part || gang.phase != Phase::Preparing || part->state != PartState::Unprepared)
        return;
    if (status == ReplyStatus::Ok)
        part->state = PartState::Prepared;
    else if (status == ReplyStatus::Refused)
        endPart(gang, *part, Cause::Refused, "reservation refused", gang.createdAt);
}

void onStartReply(Gang& gang, const WorkerId& worker, ReplyStatus status, Instant sentAt, Instant at)
{
    auto* part = findPart(gang, worker);
    if (!part || part->state != PartState::Starting || gang.phase != Phase::Starting)
        return;
    if (status == ReplyStatus::Ok) {
        part->state = PartState::Running;
        part->lastSeenAt = std::max(part->lastSeenAt, sentAt);
        part->startConfirmedAt = at;
    } else if (status == ReplyStatus::NotFound || status == ReplyStatus::Refused) {
        // This start command had no effect, but an earlier one may have had. The part therefore counts as running until
        // it is stopped or `leaseEndsBy` has passed.
        gang.failedWorker = worker;
        stop(gang, Cause::Refused, "start refused by " + worker.value, at);
    }
    advancePhase(gang, at);
}

void onStopReply(Gang& gang, const WorkerId& worker, ReplyStatus status)
{
    auto* part = findPart(gang, worker);
    if (!part || gang.phase != Phase::Stopping)
        return;
    // A worker remembers a stopped task and refuses to start it again. A task that the worker does not know might still
    // be started by a delayed command until the lease in that command has ended.
    if (status == ReplyStatus::Ok || (status == ReplyStatus::NotFound && !part->mayHaveStarted))
        part->state = PartState::Ended;
    advancePhase(gang, gang.createdAt);
}

std::vector<Command> advance(Gang& gang, const Timing& timing, const ClockLookup& clockOf, Instant at)
{
    std::vector<Command> commands;
    advancePhase(gang, at);
    checkTimeouts(gang, timing, at);
    for (auto& part : gang.parts)
        advancePart(gang, timing, part, clockOf(part.worker), at, commands);
    advancePhase(gang, at);
    return commands;
}

bool isRenewable(const Gang& gang, const Timing& timing, Instant at)
{
    if (gang.phase != Phase::Running)
        return false;
    return std::all_of(gang.parts.begin(), gang.parts.end(), [&](const Part& part) {
        return part.state >= PartState::Running && part.state != PartState::Ended
            && elapsed(part.lastSeenAt, at) < timing.maxReportAge;
    });
}

void onLeaseRenewed(Gang& gang, const Timing& timing, const WorkerId& worker, const WorkerClock& clock)
{
    if (auto* part = findPart(gang, worker))
        part->leaseEndsBy = std::max(part->leaseEndsBy, latestLeaseEnd(timing, clock.receivedAt));
}

std::int64_t checkpointedWorkMs(const Gang& gang)
{
    std::int64_t preserved = gang.parts.empty() ? 0 : gang.parts.front().checkpointedMs;
    for (const auto& part : gang.parts)
        preserved = std::min(preserved, part.checkpointedMs);
    return preserved;
}

} // namespace agatevane::gang
