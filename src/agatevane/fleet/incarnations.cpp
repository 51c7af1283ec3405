#include "agatevane/fleet/incarnations.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/fleet/placement.h"
#include "agatevane/fleet/runs.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! Makes the order for the run due again, for the new incarnation: a start order starts the run there or finds it
    //! running, and a stop order prevents that a late start order is carried out.
    void repeatOrder(Run& run, Instant at)
    {
        if (run.state == RunState::Running)
            run.state = RunState::Ordered;
        run.isConfirmed = false;
        run.isReported = false;
        run.isOrderInFlight = false;
        run.percent = 0;
        run.orderedAt = run.nextSendAt = run.progressAt = at;
    }

    //! Until then, the worker may carry out a start of one of its runs that was made out for an earlier incarnation.
    Instant latestStartOf(const Worker& worker, Instant at)
    {
        auto latest = at;
        for (const auto& [key, run] : worker.runs) {
            bool isStartAnswered = run.isReported || run.state == RunState::Running;
            if (!isStartAnswered && !worker.unansweredStarts.contains(key))
                return at + lateOrderBound;
        }
        for (const auto& [key, until] : worker.unansweredStarts)
            latest = std::max(latest, until);
        return latest;
    }

    //! The end of an incarnation ends all runs that it has reported. The new incarnation may have started the others,
    //! or may still do so.
    void carryOverRuns(Fleet& fleet, Worker& worker, Instant at)
    {
        removeExpiredStarts(worker, at);
        std::vector<RunKey> lost;
        for (auto& [key, run] : worker.runs) {
            if (run.isReported && !worker.unansweredStarts.contains(key))
                lost.push_back(key);
            else
                repeatOrder(run, at);
        }
        for (const auto& key : lost)
            loseRun(fleet, worker, key, at, "worker_restarted");
        for (const auto& [key, until] : worker.unansweredStarts) {
            if (!worker.runs.contains(key))
                adoptRun(fleet, worker, key, false, at);
        }
    }

} // namespace

bool isEntryCurrent(const Worker& worker)
{
    return worker.describedIncarnation == 0 || worker.describedIncarnation == worker.incarnation;
}

void stopUnsuitableStarts(Fleet& fleet, Worker& worker, Instant at)
{
    bool isOverCapacity = !fitsWithin(worker.used, worker.capacity);
    for (auto& [key, run] : worker.runs) {
        auto* job = findJob(fleet, key.first.job);
        if (run.state != RunState::Ordered || !job)
            continue;
        if (isOfKind(worker, *job, stepOf(*job, key.first)) && !isOverCapacity)
            continue;
        stopTaskRuns(fleet, *job, key.first, at, "worker_of_another_kind");
        requestStop(run, at);
    }
}

void removeExpiredStarts(Worker& worker, Instant at)
{
    std::erase_if(worker.unansweredStarts, [at](const auto& each) { return at >= each.second; });
}

void beginIncarnation(Fleet& fleet, Worker& worker, std::int64_t incarnation, Instant at)
{
    bool isFirst = worker.incarnation == 0;
    worker.incarnation = incarnation;
    worker.hasAnsweredPoll = false;
    worker.unacknowledgedEnds.clear();
    worker.lastAcknowledgedEnd = 0;
    worker.isAcknowledgementReceived = false;
    worker.mayLackEnds = false;
    worker.clockMs = 0;
    worker.leaseExpiryBound = {};
    worker.failuresInRow = 0;
    worker.nextPollAt = at;
    if (isFirst)
        return;
    Line("worker_started_anew")
        .with("worker", worker.id)
        .with("lifetime", incarnation)
        .with("runs", worker.runs.size())
        .with("unanswered_starts", worker.unansweredStarts.size());
    noteRestart(fleet, worker);
    auto latestStart = latestStartOf(worker, at);
    carryOverRuns(fleet, worker, at);
    if (!worker.runs.empty())
        assumeLongestLease(fleet, worker, latestStart);
}

} // namespace agatevane::fleet
