#include "agatevane/fleet/workers.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/decision_log.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/incarnations.h"
#include "agatevane/fleet/invariants.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/fleet/pacing.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/worker_speed.h"
#include <algorithm>
#include <utility>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! A worker answers a poll when a run ends, or after this; so the lease is renewed several times within its
    //! duration.
    constexpr Millis pollWait { 1000 };
    //! Replaces `pollWait` where fillers run beside tasks that serve users, since reports cover half a second.
    constexpr Millis pacingPollWait { 500 };
    //! Pause between polls of a worker while its ends are not durable, since it would answer those polls at once.
    constexpr Millis pollDelayForCommit { 500 };
    constexpr Millis pollRetryDelay { 250 };
    //! Pause between polls of a worker without a known run that may still carry out an unanswered start.
    constexpr Millis idlePollInterval { 250 };
    //! A worker that misses this many polls in a row gets no new work.
    constexpr int missedPollLimit = 2;
    //! A run that may be the one in a row that can't be read is stopped after this long.
    constexpr Millis hiddenRunPatience { 3500 };
    //! Once this many ends wait, the first unreadable one is given up: workers return at most 500 at a time.
    constexpr std::size_t maxWaitingEnds = 250;

    void applyEnds(Fleet& fleet, Worker& worker, const std::vector<EndReport>& ends, std::int64_t unixMs, Instant at)
    {
        for (const auto& end : ends) {
            auto last = worker.unacknowledgedEnds.empty() ? worker.lastAcknowledgedEnd
                                                          : worker.unacknowledgedEnds.back().number;
            // The number of an unreadable end is the lowest that its place in the answer allows; what was acknowledged
            // is not reported again.
            auto number = end.isReadable ? end.number : std::max(end.number, worker.lastAcknowledgedEnd + 1);
            if (number <= last)
                continue;
            if (!end.isReadable) {
                worker.unacknowledgedEnds.push_back({ number, neverCommitted, false });
                Line("end_unreadable").with("worker", worker.id).with("number_at_least", number);
                continue;
            }
            logEndOfOtherRun(fleet, worker, end);
            noteDuration(fleet, worker, end.key, end.kind, at);
            if (auto run = worker.runs.find(end.key); end.kind == EndKind::Done && run != worker.runs.end())
                learnFromDone(fleet, worker, run->second, at);
            removeRun(fleet, worker, end.key);
            if (auto* job = findJob(fleet, end.key.first.job); job && findTask(fleet, end.key.first))
                markStarted(fleet, *job);
            auto sequence = applyEnd(fleet, worker, end.key, end.kind, end.checkpoint, unixMs, at);
            checkEndWasTaken(fleet, worker, end);
            worker.unacknowledgedEnds.push_back({ end.number, sequence });
            logEnd(worker, end, sequence);
        }
    }

    //! True if the run had ended before the last poll was sent, according to the worker's answer to the stop order.
    bool mustHaveStopped(const Fleet& fleet, const Worker& worker, const Run& run)
    {
        return run.state == RunState::Stopping && run.isConfirmed
            && worker.pollSentAt > run.confirmedAt + maxLeaseDuration(fleet.limits.stopDuration);
    }

    void refreshRun(Fleet& fleet, const Worker& worker, Run& run, const RunningReport& report, Instant at)
    {
        run.hiddenSince.reset();
        if (mustHaveStopped(fleet, worker, run)) {
            Line("stop_without_effect")
                .with("job", run.task.job)
                .with("task", toString(run.task))
                .with("run", run.number)
                .with("worker", worker.id);
            run.isConfirmed = false;
            run.nextSendAt = at;
        }
        if (run.state == RunState::Ordered) {
            run.state = RunState::Running;
            run.isOrderInFlight = false;
        }
        if (!std::exchange(run.isReported, true)) {
            run.firstReportAt = at;
            run.firstPercent = std::max(0, report.percent);
        }
        if (run.state == RunState::Running && !std::exchange(run.isConfirmed, true))
            run.confirmedAt = at;
        if (report.percent != unknownPercent && report.percent != run.percent) {
            run.percent = report.percent;
            run.progressAt = at;
        }
        learnFromRunning(fleet, worker, run, at);
        auto* job = findJob(fleet, run.task.job);
        if (job)
            markStarted(fleet, *job);
        if (job && run.isWanted && isServing(stepOf(*job, run.task)))
            run.tailLatencyMs = report.recentMeasurement;
        if (run.isWanted && job && !report.checkpoint.empty())
            sharedTask(*job, run.task).checkpoint = report.checkpoint;
    }

    void handleUnknownRun(Fleet& fleet, Worker& worker, const RunningReport& report, Instant at)
    {
        const auto& key = report.key;
        if (fleet.unreadableJobs.contains(key.first.job)) {
            holdRun(fleet, worker, key, at);
            assumeLongestLease(fleet, worker, at);
            return logHeldRun(fleet, worker, report);
        }
        auto* job = findJob(fleet, key.first.job);
        auto* task = findTask(fleet, key.first);
        bool isWanted = task && job->phase == JobPhase::Open && !task->isDone && !task->run
            && key.second >= task->highestRun && job->isInherited && !worker.hasAnsweredPoll;
        adoptRun(fleet, worker, key, isWanted, at);
        assumeLongestLease(fleet, worker, at);
        logUnknownRun(fleet, worker, report, isWanted, at);
        if (isWanted)
            refreshRun(fleet, worker, worker.runs.at(key), report, at);
    }

    //! Stops a run that has been hidden for long, since neither its progress nor its absence would ever show.
    void hideRun(Fleet& fleet, const RunKey& key, Run& run, Instant at)
    {
        if (!run.hiddenSince)
            run.hiddenSince = at;
        auto* job = findJob(fleet, key.first.job);
        if (job && run.isWanted && at - *run.hiddenSince >= hiddenRunPatience)
            stopTaskRuns(fleet, *job, key.first, at, "hidden_by_unreadable_row");
    }

    //! Removes runs that were confirmed before the poll was sent and that its answer does not report. While the answer
    //! contains a run that can't be named, each of them may be it, except those that were stopped. An answer that may
    //! lack ends says nothing of the runs that it doesn't report.
    void removeMissingRuns(Fleet& fleet, Worker& worker, const std::set<RunKey>& seen, bool hasUnnamedRun, Instant at)
    {
        if (worker.mayLackEnds)
            return;
        std::vector<RunKey> missing;
        std::vector<RunKey> hidden;
        for (const auto& [key, run] : worker.runs) {
            if (seen.contains(key) || !run.isConfirmed || run.confirmedAt >= worker.pollSentAt)
                continue;
            bool isHidden = hasUnnamedRun && !mustHaveStopped(fleet, worker, run);
            (isHidden ? hidden : missing).push_back(key);
        }
        for (const auto& key : hidden)
            hideRun(fleet, key, worker.runs.at(key), at);
        for (const auto& key : missing) {
            Line("run_missing")
                .with("job", key.first.job)
                .with("task", toString(key.first))
                .with("run", key.second)
                .with("worker", worker.id);
            removeRun(fleet, worker, key);
            if (auto* job = findJob(fleet, key.first.job);
                job && findTask(fleet, key.first) && stepOf(*job, key.first).isGang)
                stopTaskRuns(fleet, *job, key.first, at, "member_missing");
        }
    }

    //! Notes the runs that the answer contains and that can't be named. More of them than known runs that it doesn't
    //! report are of others.
    void noteUnnamedRuns(
        const Fleet& fleet, Worker& worker, const std::set<RunKey>& seen, std::size_t count, Instant at)
    {
        auto hidden = std::count_if(
            worker.runs.begin(), worker.runs.end(), [&seen](const auto& each) { return !seen.contains(each.first); });
        bool isForeign = count > static_cast<std::size_t>(hidden);
        if (isForeign && !worker.hasForeignRun)
            assumeLongestLease(fleet, worker, at);
        if (worker.hasUnnamedRun != (count > 0) || worker.hasForeignRun != isForeign)
            Line("runs_unnamed").with("worker", worker.id).with("rows", count).with("of_others", isForeign);
        worker.hasUnnamedRun = count > 0;
        worker.hasForeignRun = isForeign;
    }

    void noteLackOfEnds(Fleet& fleet, Worker& worker, const PollAnswer& answer)
    {
        if (std::exchange(worker.mayLackEnds, answer.mayLackEnds) == answer.mayLackEnds)
            return;
        Line("ends_cut_off")
            .with("worker", worker.id)
            .with("ends", answer.ended.size())
            .with("more", answer.mayLackEnds);
        fleet.isPlacementDue = true;
    }

    //! True if the first end may be acknowledged.
    bool hasDurableEnd(const Fleet& fleet, const Worker& worker)
    {
        const auto& ends = worker.unacknowledgedEnds;
        if (ends.empty())
            return false;
        return ends.front().isReadable ? isCommitted(fleet, ends.front().sequence) : ends.size() >= maxWaitingEnds;
    }

    void acknowledgeCommitted(const Fleet& fleet, Worker& worker)
    {
        while (hasDurableEnd(fleet, worker)) {
            worker.lastAcknowledgedEnd = worker.unacknowledgedEnds.front().number;
            worker.isAcknowledgementReceived = false;
            worker.unacknowledgedEnds.pop_front();
        }
    }

    Millis pollWaitOf(const Fleet& fleet, const Worker& worker, Instant at)
    {
        // Leases can only be renewed soon after the ownership is confirmed again if no poll waits for long.
        if (elapsed(at, fleet.leasesEndBy) < fleet.limits.leaseDuration / 2)
            return pollRetryDelay;
        return needsPacing(fleet, worker) ? pacingPollWait : pollWait;
    }

    //! True if an end is durable and no answer has shown yet that the worker has forgotten it.
    bool isAcknowledgementDue(const Fleet& fleet, const Worker& worker)
    {
        return hasDurableEnd(fleet, worker) || (worker.lastAcknowledgedEnd > 0 && !worker.isAcknowledgementReceived);
    }

    //! True if a start was sent for a run that no poll has reported: a later incarnation may have carried it out.
    bool hasUnreportedRun(const Worker& worker)
    {
        return std::any_of(worker.runs.begin(), worker.runs.end(),
            [](const auto& each) { return each.second.ordersSent > 0 && !each.second.isReported; });
    }

    //! The end up to which the next poll acknowledges. A new incarnation numbers its ends from 1 again, and would take
    //! the number for its own ends. So the number is sent until the worker has answered it and no longer, and only
    //! while a new incarnation could not have ended any run: not after a missed poll, and not while a run is
    //! unreported.
    std::int64_t endToAcknowledge(const Worker& worker)
    {
        bool isSafe = worker.missedPolls == 0 && !hasUnreportedRun(worker);
        return isSafe && !worker.isAcknowledgementReceived ? worker.lastAcknowledgedEnd : 0;
    }

    Instant nextPollAfterAnswer(const Fleet& fleet, const Worker& worker, Instant at)
    {
        if (isAcknowledgementDue(fleet, worker))
            return hasUnreportedRun(worker) ? at + pollRetryDelay : at;
        return worker.unacknowledgedEnds.empty() ? at : at + pollDelayForCommit;
    }

    //! True if the worker is polled all the time.
    bool needsSteadyPolls(const Fleet& fleet, const Worker& worker)
    {
        return !worker.hasAnsweredPoll || !worker.runs.empty() || worker.hasUnnamedRun
            || isAcknowledgementDue(fleet, worker);
    }

    bool needsPoll(const Fleet& fleet, const Worker& worker, Instant at)
    {
        return needsSteadyPolls(fleet, worker)
            || (mayTakeLateStart(fleet, worker, at) && at - worker.lastAnswerAt >= idlePollInterval);
    }

    void emitPoll(const Fleet& fleet, Worker& worker, Instant at, Orders& orders)
    {
        acknowledgeCommitted(fleet, worker);
        bool isIncarnationCertain = worker.missedPolls == 0;
        worker.pollAcknowledges = endToAcknowledge(worker);
        PollOrder poll { worker.id, worker.address, worker.pollAcknowledges, std::nullopt, Millis(0),
            fleet.fencingToken };
        // A poll that may stay unanswered must not postpone the time when the runs of an unreachable worker are
        // removed.
        if (worker.clockMs > 0 && isIncarnationCertain && !worker.hasForeignRun)
            poll.leaseUntilMs = extendLease(fleet, worker, at);
        // An acknowledgement would apply to the ends of runs that a new incarnation begins while the poll waits there.
        bool mayWait = worker.unacknowledgedEnds.empty() && !isAcknowledgementDue(fleet, worker);
        if (worker.hasAnsweredPoll && isIncarnationCertain && mayWait && (!worker.runs.empty() || worker.hasUnnamedRun))
            poll.wait = pollWaitOf(fleet, worker, at);
        worker.isPollInFlight = true;
        worker.pollIncarnation = worker.incarnation;
        worker.doesPollRenewLease = poll.leaseUntilMs.has_value();
        worker.pollSentAt = at;
        orders.polls.push_back(std::move(poll));
    }

} // namespace

void applyPollAnswer(Fleet& fleet, const WorkerId& id, const PollAnswer& answer, std::int64_t unixMs, Instant at)
{
    auto* worker = changeWorker(fleet, id);
    if (!worker)
        return;
    worker->isPollInFlight = false;
    logAcknowledgement(*worker, answer.incarnation);
    auto acknowledged = std::exchange(worker->pollAcknowledges, 0);
    if (answer.incarnation != 0 && answer.incarnation < worker->incarnation) {
        worker->nextPollAt = at + pollRetryDelay;
        return;
    }
    if (answer.incarnation > worker->incarnation)
        beginIncarnation(fleet, *worker, answer.incarnation, at);
    // An earlier incarnation's clock may be far ahead of the present one's.
    if (worker->doesPollRenewLease && worker->pollIncarnation != worker->incarnation)
        assumeLongestLease(fleet, *worker, at);
    if (worker->missedPolls >= missedPollLimit)
        Line("worker_regained").with("worker", id).with("missed_looks", worker->missedPolls);
    if (worker->missedPolls > 0 || !worker->hasAnsweredPoll)
        worker->answersSince = at;
    worker->missedPolls = 0;
    if (acknowledged > 0 && acknowledged == worker->lastAcknowledgedEnd)
        worker->isAcknowledgementReceived = true;
    worker->lastAnswerAt = worker->clockAt = at;
    worker->clockMs = answer.clockMs;
    noteLackOfEnds(fleet, *worker, answer);
    applyEnds(fleet, *worker, answer.ended, unixMs, at);
    std::set<RunKey> seen;
    for (const auto& report : answer.running) {
        seen.insert(report.key);
        if (auto found = worker->runs.find(report.key); found != worker->runs.end())
            refreshRun(fleet, *worker, found->second, report, at);
        else
            handleUnknownRun(fleet, *worker, report, at);
    }
    removeMissingRuns(fleet, *worker, seen, answer.unreadableRuns > 0, at);
    noteUnnamedRuns(fleet, *worker, seen, answer.unreadableRuns, at);
    decidePace(fleet, *worker, at);
    if (!std::exchange(worker->hasAnsweredPoll, true))
        fleet.isPlacementDue = true;
    fleet.haveWorkersChanged = fleet.haveWorkersChanged || worker->awaitsNaming;
    worker->nextPollAt = nextPollAfterAnswer(fleet, *worker, at);
}

void applyPollFailure(Fleet& fleet, const WorkerId& id, Instant at, FailedPoll effect)
{
    auto* worker = changeWorker(fleet, id);
    if (!worker)
        return;
    worker->isPollInFlight = false;
    logAcknowledgement(*worker, std::nullopt);
    if (std::exchange(worker->pollAcknowledges, 0) > 0 && effect == FailedPoll::MayBeCarriedOut)
        worker->unansweredAcknowledgements[worker->pollIncarnation] = at + lateOrderBound;
    worker->nextPollAt = at + pollRetryDelay;
    if (++worker->missedPolls == missedPollLimit)
        Line("worker_silent").with("worker", id).with("listed", worker->isListed).with("runs", worker->runs.size());
}

bool isUsable(const Worker& worker, Instant at)
{
    return worker.isListed && isEntryCurrent(worker) && worker.hasAnsweredPoll && !worker.awaitsNaming
        && !worker.isDraining && !worker.isEvacuated && !worker.awaitsUpkeep && !worker.hasRunOfUnknownSize
        && !worker.hasUnnamedRun && worker.missedPolls < missedPollLimit && at >= worker.avoidUntil
        && !mayReceiveLateAcknowledgement(worker, at);
}

bool haveInheritedRunsEnded(const Fleet& fleet, Instant at)
{
    return at >= fleet.tookOverAt + earlierLeaseWait(fleet.limits);
}

bool mayReceiveLateAcknowledgement(const Worker& worker, Instant at)
{
    return std::any_of(worker.unansweredAcknowledgements.begin(), worker.unansweredAcknowledgements.end(),
        [&worker, at](const auto& each) { return each.first < worker.incarnation && at < each.second; });
}

bool mayEndUnseen(const Worker& worker, Instant at)
{
    return worker.pollAcknowledges > 0 || mayReceiveLateAcknowledgement(worker, at);
}

bool mayTakeLateStart(const Fleet& fleet, const Worker& worker, Instant at)
{
    // An earlier owner sends starts beside its successor until it steps down.
    auto lastEarlierStart = fleet.tookOverAt + maxUnconfirmedOwnership(fleet.limits) + lateOrderBound;
    return !worker.unansweredStarts.empty() || (!worker.isListed && at < lastEarlierStart);
}

bool mayHaveUnreportedRuns(const Fleet& fleet, Instant at)
{
    bool haveEnded = haveInheritedRunsEnded(fleet, at);
    if (fleet.earlierWorkers == EarlierWorkers::Unreadable && !haveEnded)
        return true;
    bool isAnyMeant = fleet.earlierWorkers != EarlierWorkers::Recorded;
    return std::any_of(fleet.workers.begin(), fleet.workers.end(), [isAnyMeant, haveEnded](const auto& each) {
        const auto& worker = each.second;
        if (!isAnyMeant && !worker.isInEarlierRecord)
            return false;
        bool hasSaidNothing = !worker.hasAnsweredPoll && worker.leaseExpiryBound == Instant {};
        return worker.mayLackEnds || (!haveEnded && (hasSaidNothing || worker.hasForeignRun));
    });
}

void emitPolls(Fleet& fleet, const std::vector<Worker*>& workers, Instant at, Orders& orders)
{
    for (auto* worker : workers) {
        if (!worker->isPollInFlight && at >= worker->nextPollAt && needsPoll(fleet, *worker, at))
            emitPoll(fleet, *worker, at, orders);
    }
}

Instant nextPollOf(const Fleet& fleet, const Worker& worker)
{
    if (worker.isPollInFlight)
        return Instant::max();
    if (needsSteadyPolls(fleet, worker))
        return worker.nextPollAt;
    // Unlisted workers are looked at in each round, see nextExpiryOf().
    bool mayTakeLateStart = !worker.unansweredStarts.empty();
    return mayTakeLateStart ? std::max(worker.nextPollAt, worker.lastAnswerAt + idlePollInterval) : Instant::max();
}

void scheduleAcknowledgements(Fleet& fleet, Instant at)
{
    for (auto& [id, worker] : fleet.workers) {
        if (!hasDurableEnd(fleet, worker))
            continue;
        worker.nextPollAt = std::min(worker.nextPollAt, at);
        markDue(fleet, worker);
    }
}

} // namespace agatevane::fleet
