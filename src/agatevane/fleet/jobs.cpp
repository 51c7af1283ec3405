#include "agatevane/fleet/jobs.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/advice.h"
#include "agatevane/fleet/decision_log.h"
#include "agatevane/fleet/progress_parts.h"
#include "agatevane/fleet/queue_record.h"
#include "agatevane/fleet/record.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/task_record.h"
#include <algorithm>
#include <utility>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! A worker on which this many runs in a row failed gets no new work for a while: if runs fail at once, the worker
    //! looks idle and would attract all waiting work.
    constexpr int failureLimit = 2;
    constexpr Millis avoidAfterFailures { 6000 };

    bool hasEnded(JobPhase phase)
    {
        return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
    }

    bool isDone(const Job& job)
    {
        return std::all_of(job.occurrences.begin(), job.occurrences.end(),
            [](const Occurrence& occurrence) { return occurrence.stepsDone == occurrence.steps.size(); });
    }

    void endJob(Fleet& fleet, Job& job, JobPhase phase, std::int64_t unixMs, Instant at)
    {
        if (!job.hasStarted && job.phase == JobPhase::Open && job.spec.occurrences == 0)
            --fleet.waitingJobCounts[job.spec.queue];
        job.phase = phase;
        job.endedUnixMs = unixMs;
        job.endedAt = at;
        removeAdvice(fleet, job.spec.id);
        fleet.openJobs.erase(job.spec.id);
        job.phaseSequence = queueWrite(fleet, job.spec.id, Mutation::Progress, at);
        fleet.phaseChanges.insert({ job.phaseSequence, { job.spec.id, phase } });
        // If the job is completed, the other members of its gangs have ended too, even if that is not reported yet.
        if (phase != JobPhase::Completed)
            stopJobRuns(fleet, job, at);
    }

    void openJob(Fleet& fleet, Job& job)
    {
        job.phase = JobPhase::Open;
        fleet.openJobs.insert(job.spec.id);
        fleet.isPlacementDue = true;
        if (!job.hasStarted && job.spec.occurrences == 0)
            ++fleet.waitingJobCounts[job.spec.queue];
    }

    //! The end of a task that this owner does not know is acknowledged at once, unless a later build has written the
    //! job's records: the end is then kept for an owner that can read them.
    CommitSequence sequenceOfUnknownTask(const Fleet& fleet, const JobId& id)
    {
        auto unreadable = fleet.unreadableJobs.find(id);
        bool isKept = unreadable != fleet.unreadableJobs.end() && unreadable->second == RecordFault::NewerVersion;
        return isKept ? neverCommitted : 0;
    }

    void markDone(Job& job, const TaskId& id)
    {
        auto& step = job.occurrences[id.occurrence].steps[id.step];
        auto& task = step.tasks[id.index];
        if (std::exchange(task.isDone, true))
            return;
        task.checkpoint = {};
        ++step.done;
        noteTaskChanged(job, id);
    }

    //! Stops the runs of a task that is done, or of the members of its gang, except those with the number of the run
    //! that is done: they have ended too, even if that is not reported yet.
    void stopOtherRuns(Fleet& fleet, Job& job, const RunKey& done, Instant at)
    {
        const auto& tasks = job.occurrences[done.first.occurrence].steps[done.first.step].tasks;
        bool isGang = stepOf(job, done.first).isGang;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            if ((isGang || index == done.first.index) && tasks[index].run && tasks[index].run->number != done.second)
                return stopTaskRuns(fleet, job, done.first, at, "task_done");
        }
    }

    void finishTask(Fleet& fleet, Job& job, const RunKey& run, std::int64_t unixMs, Instant at)
    {
        const auto& id = run.first;
        stopOtherRuns(fleet, job, run, at);
        auto& occurrence = job.occurrences[id.occurrence];
        auto& step = occurrence.steps[id.step];
        if (stepOf(job, id).isGang) {
            for (std::uint32_t index = 0; index < step.tasks.size(); ++index)
                markDone(job, { id.job, id.occurrence, id.step, index });
        } else {
            markDone(job, id);
        }
        if (step.done == step.tasks.size())
            ++occurrence.stepsDone;
        fleet.isPlacementDue = true;
        if (isDone(job)) {
            endJob(fleet, job, JobPhase::Completed, unixMs, at);
            Line("job_completed").with("job", id.job).with("age_ms", elapsed(job.acceptedAt, at).count());
        }
    }

    //! The newest settings known of the queue of an inherited job.
    desired_state::Queue policyOf(const Fleet& fleet, const std::string& queue)
    {
        if (const auto* desired = desired_state::findQueueByName(fleet.desired, queue))
            return *desired;
        auto stored = fleet.storedQueues.find(queue);
        return stored != fleet.storedQueues.end() ? stored->second : unknownQueue(queue);
    }

    //! The parts of an ended job are not read any more. They are removed while the job is known, so that a later job
    //! with the same id can't find them.
    void queueRemovalOfParts(Fleet& fleet, Job& job, Instant at)
    {
        if (!hasEnded(job.durablePhase) || job.parts.stored.empty() || std::exchange(job.parts.isRemovalQueued, true))
            return;
        queueWrite(fleet, job.spec.id, Mutation::RemoveParts, at);
    }

    //! The machine that noted the job's end may have a clock that is hours ahead or behind, so that this owner keeps
    //! the job for the documented time by its own clock, too. Twice that time allows for an end that is stored late.
    bool mayPrune(const Job& job, Millis retention, std::int64_t unixMs, Instant at)
    {
        if (!hasEnded(job.durablePhase) || !job.parts.stored.empty())
            return false;
        auto keptHere = elapsed(job.endedAt, at);
        auto sinceEnd = std::max(keptHere, Millis(unixMs - job.endedUnixMs));
        return keptHere >= retention && sinceEnd >= 2 * retention;
    }

    void recordFailure(Fleet& fleet, Job& job, Worker& worker, const RunKey& key, std::int64_t unixMs, Instant at)
    {
        // Runs of a job that fails everywhere hold back no workers.
        if (noteFailure(fleet, worker, key.first, at) && ++worker.failuresInRow >= failureLimit)
            worker.avoidUntil = std::max(worker.avoidUntil, at + avoidAfterFailures);
        auto& task = sharedTask(job, key.first);
        noteFailedRun(task, key.second);
        noteFailedWorker(task, worker.id);
        if (stepOf(job, key.first).isContinuous || static_cast<std::int64_t>(task.failures) < job.policy.maxAttempts)
            return;
        endJob(fleet, job, JobPhase::Failed, unixMs, at);
        Line("job_failed").with("job", key.first.job).with("attempts", task.failures);
    }

} // namespace

const Task* findTask(const Fleet& fleet, const TaskId& id)
{
    const auto* job = findJob(fleet, id.job);
    if (!job || id.occurrence >= job->occurrences.size() || id.step >= job->spec.steps.size())
        return nullptr;
    const auto& tasks = job->occurrences[id.occurrence].steps[id.step].tasks;
    return id.index < tasks.size() ? &tasks[id.index] : nullptr;
}

Task* findTask(Fleet& fleet, const TaskId& id)
{
    return const_cast<Task*>(findTask(std::as_const(fleet), id));
}

TaskId sharedTaskId(const Job& job, const TaskId& id)
{
    return { id.job, id.occurrence, id.step, stepOf(job, id).isGang ? 0 : id.index };
}

const Task& sharedTask(const Job& job, const TaskId& id)
{
    return job.occurrences[id.occurrence].steps[id.step].tasks[sharedTaskId(job, id).index];
}

Task& sharedTask(Job& job, const TaskId& id)
{
    return const_cast<Task&>(sharedTask(std::as_const(job), id));
}

const Job* findJob(const Fleet& fleet, const JobId& id)
{
    auto found = fleet.jobs.find(id);
    return found == fleet.jobs.end() ? nullptr : &found->second;
}

Job* findJob(Fleet& fleet, const JobId& id)
{
    return const_cast<Job*>(findJob(std::as_const(fleet), id));
}

const Worker* findWorker(const Fleet& fleet, const WorkerId& id)
{
    auto found = fleet.workers.find(id);
    return found == fleet.workers.end() ? nullptr : &found->second;
}

Worker* findWorker(Fleet& fleet, const WorkerId& id)
{
    return const_cast<Worker*>(findWorker(std::as_const(fleet), id));
}

CommitSequence queueWrite(Fleet& fleet, const JobId& job, Mutation mutation, Instant at)
{
    if (mutation == Mutation::Progress) {
        if (auto queued = fleet.queuedProgress.find(job); queued != fleet.queuedProgress.end())
            return queued->second;
        fleet.queuedProgress.emplace(job, fleet.lastSequence + 1);
    }
    fleet.writes.push_back({ ++fleet.lastSequence, job, mutation, at, {}, false, {} });
    if (auto* known = findJob(fleet, job))
        known->lastSequence = fleet.lastSequence;
    return fleet.lastSequence;
}

bool isCommitted(const Fleet& fleet, CommitSequence sequence)
{
    return sequence <= fleet.committedSequence && !fleet.overtakenWrites.contains(sequence);
}

CommitSequence submit(Fleet& fleet, JobSpec spec, const desired_state::Queue& queue, std::int64_t unixMs, Instant at)
{
    if (auto* known = findJob(fleet, spec.id))
        return known->durablePhase == JobPhase::Accepting ? known->phaseSequence : fleet.committedSequence;
    auto id = spec.id;
    auto job = makeJob(std::move(spec), unixMs);
    job.policy = queue;
    job.acceptedAt = at;
    job.phaseSequence = queueWrite(fleet, id, Mutation::Accept, at);
    auto sequence = job.phaseSequence;
    fleet.phaseChanges.insert({ sequence, { id, JobPhase::Open } });
    fleet.jobs.emplace(id, std::move(job));
    return sequence;
}

bool withdraw(Fleet& fleet, const JobId& id)
{
    auto* job = findJob(fleet, id);
    if (!job || job->phase != JobPhase::Accepting)
        return false;
    auto queued = std::find_if(fleet.writes.begin(), fleet.writes.end(),
        [&id](const PendingWrite& write) { return write.subject == id && write.mutation == Mutation::Accept; });
    if (queued == fleet.writes.end())
        return false;
    fleet.phaseChanges.erase(queued->sequence);
    fleet.overtakenWrites.erase(queued->sequence);
    fleet.writes.erase(queued);
    fleet.jobs.erase(id);
    return true;
}

std::optional<CommitSequence> cancel(Fleet& fleet, const JobId& id, std::int64_t unixMs, Instant at)
{
    auto* job = findJob(fleet, id);
    if (!job)
        return std::nullopt;
    if (!hasEnded(job->phase)) {
        endJob(fleet, *job, JobPhase::Cancelled, unixMs, at);
        logCancelled(fleet, *job, at);
    }
    return job->phaseSequence;
}

std::optional<VisibleState> visibleState(const Fleet& fleet, const JobId& id)
{
    auto found = fleet.jobs.find(id);
    if (found == fleet.jobs.end())
        return std::nullopt;
    const auto& job = found->second;
    switch (job.durablePhase) {
    case JobPhase::Accepting:
        return std::nullopt;
    case JobPhase::Open:
        return job.hasStarted ? VisibleState::Running : VisibleState::Queued;
    case JobPhase::Completed:
        return VisibleState::Completed;
    case JobPhase::Failed:
        return VisibleState::Failed;
    case JobPhase::Cancelled:
        return VisibleState::Cancelled;
    }
    return std::nullopt;
}

std::uint32_t waitingJobCount(const Fleet& fleet, const std::string& queue)
{
    auto found = fleet.waitingJobCounts.find(queue);
    return found == fleet.waitingJobCounts.end() ? 0 : found->second;
}

void inherit(Fleet& fleet, Job job, std::int64_t unixMs, Instant at)
{
    job.isInherited = true;
    job.acceptedAt = at - Millis(std::max<std::int64_t>(0, unixMs - job.acceptedUnixMs));
    job.policy = policyOf(fleet, job.spec.queue);
    if (job.phase == JobPhase::Open)
        openJob(fleet, job);
    else if (hasEnded(job.phase))
        job.endedAt = at;
    auto id = job.spec.id;
    fleet.jobs.insert_or_assign(id, std::move(job));
}

CommitSequence applyEnd(Fleet& fleet, Worker& worker, const RunKey& key, EndKind kind, const std::string& checkpoint,
    std::int64_t unixMs, Instant at)
{
    const auto& id = key.first;
    auto* job = findJob(fleet, id.job);
    auto* task = findTask(fleet, id);
    if (kind == EndKind::Done) {
        worker.failuresInRow = 0;
        noteSuccess(fleet, worker, id, at);
    }
    if (!task)
        return sequenceOfUnknownTask(fleet, id.job);
    // The change after which the task needs no further run may not be durable yet.
    if (hasEnded(job->phase) || task->isDone)
        return job->lastSequence;
    bool isNewest = key.second >= task->highestRun;
    task->highestRun = std::max(task->highestRun, key.second);
    if (!checkpoint.empty() && isNewest)
        sharedTask(*job, id).checkpoint = checkpoint;
    noteTaskChanged(*job, id);
    noteTaskChanged(*job, sharedTaskId(*job, id));
    if (kind == EndKind::Done && !stepOf(*job, id).isContinuous) {
        finishTask(fleet, *job, key, unixMs, at);
    } else if (kind == EndKind::Failed) {
        recordFailure(fleet, *job, worker, key, unixMs, at);
    }
    if (kind != EndKind::Done && isNewest && !hasEnded(job->phase) && stepOf(*job, id).isGang)
        stopTaskRuns(fleet, *job, id, at, "member_ended");
    return queueWrite(fleet, id.job, Mutation::Progress, at);
}

void applyCommitted(Fleet& fleet, CommitSequence sequence)
{
    fleet.committedSequence = std::max(fleet.committedSequence, sequence);
    auto end = fleet.phaseChanges.upper_bound(sequence);
    for (auto change = fleet.phaseChanges.begin(); change != end;) {
        if (!isCommitted(fleet, change->first)) {
            ++change;
            continue;
        }
        auto* job = findJob(fleet, change->second.job);
        if (job)
            job->durablePhase = change->second.phase;
        if (job && change->second.phase == JobPhase::Open && job->phase == JobPhase::Accepting)
            openJob(fleet, *job);
        change = fleet.phaseChanges.erase(change);
    }
}

void pruneEnded(Fleet& fleet, std::int64_t unixMs, Instant at)
{
    for (auto each = fleet.jobs.begin(); each != fleet.jobs.end();) {
        auto& job = each->second;
        queueRemovalOfParts(fleet, job, at);
        if (!mayPrune(job, fleet.limits.statusRetention, unixMs, at)) {
            ++each;
            continue;
        }
        queueWrite(fleet, job.spec.id, Mutation::Prune, at);
        each = fleet.jobs.erase(each);
    }
}

} // namespace agatevane::fleet
