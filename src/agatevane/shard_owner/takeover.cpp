#include "agatevane/shard_owner/internal.h"
#include <algorithm>

namespace agatevane::shard_owner {

namespace {

    gang::Part makePart(
        const State& state, const TrackedWorker& tracked, const TaskReport& task, Instant sentAt, Instant at)
    {
        gang::Part part {
            .worker = tracked.entry.id, .instance = tracked.clock.instance, .accelerators = task.accelerators
        };
        part.mayHaveStarted = true;
        part.lastSeenAt = sentAt;
        part.startConfirmedAt = part.nextSendAt = at;
        part.progressMs = task.progressMs;
        part.checkpointedMs = task.checkpointedMs;
        // The worker's epoch was raised before this report, so an earlier owner can no longer extend the lease.
        Millis remainingLease { std::max<std::int64_t>(0, task.leaseUntilClockMs - tracked.clock.clockMs) };
        part.leaseEndsBy
            = at + remainingLease + remainingLease * state.gangTiming.clockDriftPercent / 100 + Millis { 1 };
        switch (task.state) {
        case TaskState::Reserved:
            part.state = gang::PartState::Prepared;
            break;
        case TaskState::Running:
            part.state = gang::PartState::Running;
            break;
        case TaskState::Finished:
            part.state = gang::PartState::Finished;
            break;
        case TaskState::Failed:
        case TaskState::Stopped:
            part.state = gang::PartState::Ended;
            break;
        }
        return part;
    }

    gang::Gang assembleGang(const State& state, const AttemptId& attempt, const DiscoveredGang& found, Instant at)
    {
        std::vector<gang::Part> parts;
        std::int64_t progressMs = 0;
        for (const auto& [number, part] : found.partsByNumber) {
            parts.push_back(part);
            progressMs = std::max(progressMs, part.progressMs);
        }
        gang::Gang result { .job = found.job, .attempt = attempt, .epoch = state.owner.epoch, .parts = parts };
        result.createdAt = at;
        result.startedAt = at - Millis { progressMs };
        result.phase = gang::Phase::Running;
        return result;
    }

    bool haveAllWorkersReported(const State& state)
    {
        return std::all_of(state.workers.begin(), state.workers.end(),
            [](const auto& entry) { return entry.second.hasReported || !entry.second.isInCatalogue; });
    }

    //! Assigns a gang found at the takeover to its job. A gang without a job, or whose job has another attempt, is
    //! stopped.
    void adoptOrStop(State& state, OwnedGang& owned, Instant at)
    {
        auto& gang = owned.gang;
        auto job = state.jobs.find(gang.job);
        if (job != state.jobs.end() && job->second.attempt.empty()) {
            scheduling::dequeue(*state.shard, gang.job);
            job->second.retryAt.reset();
        }
        bool isWanted = job != state.jobs.end() && job->second.attempt.empty()
            && (gang.phase == gang::Phase::Running || gang.phase == gang::Phase::Finished);
        if (!isWanted) {
            gang::stop(gang, gang::Cause::Orphaned, "no job needs this attempt", at);
            int accelerators = 0;
            for (const auto& part : gang.parts)
                accelerators += part.state >= gang::PartState::Finished ? 0 : part.accelerators;
            chargeGang(state, owned, { .id = { "orphan/" + gang.attempt.value }, .accelerators = accelerators });
            if (job != state.jobs.end() && job->second.attempt.empty())
                job->second.state = JobState::Stopping;
            return;
        }
        const auto& spec = job->second.spec;
        job->second.attempt = gang.attempt;
        job->second.state = JobState::Running;
        job->second.startedAt = gang.startedAt;
        gang.canCheckpoint = spec.canCheckpoint;
        gang.durationMs = spec.expectedMs;
        owned.isMarkedRunning = true;
        ++state.counters.gangsAdopted;
        chargeGang(state, owned, spec);
    }

    void beginServing(State& state, Instant at)
    {
        state.shard = scheduling::makeShard();
        scheduling::setPolicy(*state.shard, state.policy);
        for (auto& [id, tracked] : state.workers)
            tracked.publishedAvailability.reset();
        updateAvailability(state, at);
        for (const auto& [id, journalJob] : state.journal->jobs) {
            if (journalJob.outcome || !journalJob.isAccepted)
                continue;
            Job job { .spec = journalJob.spec };
            job.isAccepted = true;
            job.queuedAt = at;
            state.jobs.emplace(id, std::move(job));
        }
        for (auto& [attempt, owned] : state.gangs)
            adoptOrStop(state, owned, at);
        for (auto& [id, job] : state.jobs) {
            // A gang of the job may be running on workers that have not answered yet.
            if (job.state == JobState::Queued)
                job.retryAt = state.isAdoptionWindowOpen ? Instant::max() : at;
        }
        state.stage = Stage::Serving;
        state.needsDecision = true;
        state.counters.lastTakeoverMs = elapsed(state.takeoverStartedAt, at).count();
    }

    //! Stops the gangs that are still incomplete; queues the jobs that have waited for a gang to be found.
    void closeAdoptionWindow(State& state, Instant at)
    {
        for (auto& [attempt, found] : state.discoveredGangs) {
            auto& owned = addGang(state, assembleGang(state, attempt, found, at));
            gang::stop(owned.gang, gang::Cause::Orphaned,
                "incomplete at the takeover: " + std::to_string(found.partsByNumber.size()) + " of "
                    + std::to_string(found.partCount) + " parts found",
                at);
            if (state.stage == Stage::Serving)
                adoptOrStop(state, owned, at);
        }
        state.discoveredGangs.clear();
        if (!state.isAdoptionWindowOpen)
            return;
        state.isAdoptionWindowOpen = false;
        for (auto& [id, job] : state.jobs) {
            if (job.retryAt == Instant::max())
                job.retryAt = at;
        }
    }

} // namespace

void beginCollecting(State& state, Instant at)
{
    state.stage = Stage::Collecting;
    state.isAdoptionWindowOpen = true;
    for (auto& [id, tracked] : state.workers) {
        tracked.hasReported = false;
        tracked.nextPoll = at;
        tracked.isPolling = false;
        tracked.attempts.clear();
    }
}

void collectReport(State& state, TrackedWorker& tracked, const WorkerReport& report, Instant sentAt, Instant at)
{
    tracked.hasReported = true;
    for (const auto& task : report.tasks) {
        if (state.gangs.contains(task.attempt))
            continue;
        auto& found = state.discoveredGangs[task.attempt];
        found.job = task.job;
        found.partCount = task.parts;
        found.partsByNumber[task.part] = makePart(state, tracked, task, sentAt, at);
        bool isComplete = static_cast<int>(found.partsByNumber.size()) == found.partCount
            && std::all_of(found.partsByNumber.begin(), found.partsByNumber.end(), [](const auto& entry) {
                   return entry.second.state == gang::PartState::Running
                       || entry.second.state == gang::PartState::Finished;
               });
        if (!isComplete)
            continue;
        auto& owned = addGang(state, assembleGang(state, task.attempt, found, at));
        state.discoveredGangs.erase(task.attempt);
        if (state.stage == Stage::Serving)
            adoptOrStop(state, owned, at);
    }
}

void advanceStage(State& state, Instant at, Actions& actions)
{
    bool haveAllReported = haveAllWorkersReported(state);
    if (state.stage == Stage::Collecting
        && (haveAllReported || at >= state.takeoverStartedAt + state.timing.collectTimeout)) {
        state.stage = Stage::Replaying;
        actions.emplace_back(Event { EventKind::WorkersCollected, state.owner.dataCentre.value,
            std::to_string(state.gangs.size()) + " complete gangs found" });
    }
    if (state.stage == Stage::Replaying && state.journal && state.journal->isReplayed)
        beginServing(state, at);
    bool isPastLimit = at >= state.takeoverStartedAt + state.timing.adoptionTimeout;
    if (!state.isAdoptionWindowOpen || haveAllReported || isPastLimit)
        closeAdoptionWindow(state, at);
}

void endTenure(State& state, Instant at, Actions& actions)
{
    std::set<std::uint64_t> unsentSequences;
    if (state.journal) {
        for (const auto& pending : journal::takeUnsent(*state.journal))
            unsentSequences.insert(pending.sequence);
    }
    auto pendingReplies = std::move(state.pendingReplies);
    state.pendingReplies.clear();
    for (auto& [sequence, list] : pendingReplies) {
        bool isNeverSent = unsentSequences.contains(sequence);
        state.pendingReplies[sequence] = std::move(list);
        answerPending(state, sequence, isNeverSent ? SubmitResult::NotOwner : SubmitResult::Unknown,
            isNeverSent ? JobReplyStatus::NotOwner : JobReplyStatus::Unknown, at, actions);
    }
    state.stage = Stage::Inactive;
    state.journal.reset();
    state.shard.reset();
    state.jobs.clear();
    state.gangs.clear();
    state.discoveredGangs.clear();
    state.changedGangs.clear();
    state.isAdoptionWindowOpen = false;
    for (auto& [id, tracked] : state.workers)
        tracked.attempts.clear();
}

} // namespace agatevane::shard_owner
