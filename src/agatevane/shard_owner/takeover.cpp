#include "agatevane/shard_owner/parts.h"
#include <algorithm>

namespace agatevane::shard_owner {

namespace {

    gang::Part partOf(const State& state, const TrackedWorker& link, const TaskReport& task, Instant sentAt, Instant at)
    {
        gang::Part part { .worker = link.entry.id, .instance = link.clock.instance, .accelerators = task.accelerators };
        part.mayHaveStarted = true;
        part.lastSeenAt = sentAt;
        part.startConfirmedAt = part.nextSendAt = at;
        part.progressMs = task.progressMs;
        part.checkpointedMs = task.checkpointedMs;
        // The worker's epoch was raised before this report, so no earlier owner can extend the lease any more.
        Millis rest { std::max<std::int64_t>(0, task.leaseUntilClockMs - link.clock.clockMs) };
        part.leaseEndsBy = at + rest + rest * state.gangTiming.clockDriftPercent / 100 + Millis { 1 };
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

    gang::Gang gangOf(const State& state, const AttemptId& attempt, const FoundGang& found, Instant at)
    {
        std::vector<gang::Part> parts;
        std::int64_t progressMs = 0;
        for (const auto& [number, part] : found.found) {
            parts.push_back(part);
            progressMs = std::max(progressMs, part.progressMs);
        }
        gang::Gang result { .job = found.job, .attempt = attempt, .epoch = state.owner.epoch, .parts = parts };
        result.createdAt = at;
        result.startedAt = at - Millis { progressMs };
        result.phase = gang::Phase::Running;
        return result;
    }

    bool isAllCollected(const State& state)
    {
        return std::all_of(state.workers.begin(), state.workers.end(),
            [](const auto& entry) { return entry.second.isCollected || !entry.second.isInCatalogue; });
    }

    //! Gives a gang found at takeover to its job. A gang without a job, or beside another attempt, is stopped.
    void attach(State& state, OwnedGang& owned, Instant at)
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
            gang::stop(gang, gang::Cause::Orphaned, "no job for this attempt", at);
            int accelerators = 0;
            for (const auto& part : gang.parts)
                accelerators += part.state >= gang::PartState::Finished ? 0 : part.accelerators;
            charge(state, owned, { .id = { "orphan/" + gang.attempt.value }, .accelerators = accelerators });
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
        charge(state, owned, spec);
    }

    void beginDeciding(State& state, Instant at)
    {
        state.shard = scheduling::makeShard();
        scheduling::setPolicy(*state.shard, state.policy);
        for (auto& [id, link] : state.workers)
            link.wasAvailable.reset();
        updateAvailability(state, at);
        for (const auto& [id, folded] : state.journal->jobs) {
            if (folded.outcome || !folded.isAccepted)
                continue;
            Job job { .spec = folded.spec };
            job.isAccepted = true;
            job.queuedAt = at;
            state.jobs.emplace(id, std::move(job));
        }
        for (auto& [attempt, owned] : state.gangs)
            attach(state, owned, at);
        for (auto& [id, job] : state.jobs) {
            // Another part may run on a worker that has not answered yet.
            if (job.state == JobState::Queued)
                job.retryAt = state.isCollectWindowOpen ? Instant::max() : at;
        }
        state.stage = Stage::Serving;
        state.isDirty = true;
        state.counters.lastTakeoverMs = elapsed(state.takenAt, at).count();
    }

    void closeWindow(State& state, Instant at)
    {
        for (auto& [attempt, found] : state.found) {
            auto& owned = addGang(state, gangOf(state, attempt, found, at));
            gang::stop(owned.gang, gang::Cause::Orphaned, "parts are missing", at);
            if (state.stage == Stage::Serving)
                attach(state, owned, at);
        }
        state.found.clear();
        if (!state.isCollectWindowOpen)
            return;
        state.isCollectWindowOpen = false;
        for (auto& [id, job] : state.jobs) {
            if (job.retryAt == Instant::max())
                job.retryAt = at;
        }
    }

} // namespace

void beginCollecting(State& state, Instant at)
{
    state.stage = Stage::Collecting;
    state.isCollectWindowOpen = true;
    for (auto& [id, link] : state.workers) {
        link.isCollected = false;
        link.nextPoll = at;
        link.isPolling = false;
        link.attempts.clear();
    }
}

void collect(State& state, TrackedWorker& link, const WorkerReport& report, Instant sentAt, Instant at)
{
    link.isCollected = true;
    for (const auto& task : report.tasks) {
        if (state.gangs.contains(task.attempt))
            continue;
        auto& found = state.found[task.attempt];
        found.job = task.job;
        found.parts = task.parts;
        found.found[task.part] = partOf(state, link, task, sentAt, at);
        bool isWhole = static_cast<int>(found.found.size()) == found.parts
            && std::all_of(found.found.begin(), found.found.end(), [](const auto& entry) {
                   return entry.second.state == gang::PartState::Running
                       || entry.second.state == gang::PartState::Finished;
               });
        if (!isWhole)
            continue;
        auto& owned = addGang(state, gangOf(state, task.attempt, found, at));
        state.found.erase(task.attempt);
        if (state.stage == Stage::Serving)
            attach(state, owned, at);
    }
}

void advanceStage(State& state, Instant at, Actions& actions)
{
    bool isComplete = isAllCollected(state);
    if (state.stage == Stage::Collecting && (isComplete || at >= state.takenAt + state.timing.collectSoft)) {
        state.stage = Stage::Replaying;
        actions.emplace_back(Event { EventKind::WorkersCollected, state.owner.dataCentre.value,
            std::to_string(state.gangs.size()) + " whole gangs" });
    }
    if (state.stage == Stage::Replaying && state.journal && state.journal->isReplayed)
        beginDeciding(state, at);
    bool isPastLimit = at >= state.takenAt + state.timing.collectLimit;
    if (!state.isCollectWindowOpen || isComplete || isPastLimit)
        closeWindow(state, at);
}

void dropTenure(State& state, Instant at, Actions& actions)
{
    std::set<std::uint64_t> unsent;
    if (state.journal) {
        for (const auto& pending : journal::takeUnsent(*state.journal))
            unsent.insert(pending.sequence);
    }
    auto waiters = std::move(state.waiters);
    state.waiters.clear();
    for (auto& [ticket, list] : waiters) {
        bool isUnsent = unsent.contains(ticket);
        state.waiters[ticket] = std::move(list);
        answerAll(state, ticket, isUnsent ? SubmitResult::NotOwner : SubmitResult::Unknown,
            isUnsent ? JobReplyStatus::NotOwner : JobReplyStatus::Unknown, at, actions);
    }
    state.stage = Stage::Inactive;
    state.journal.reset();
    state.shard.reset();
    state.jobs.clear();
    state.gangs.clear();
    state.found.clear();
    state.touched.clear();
    state.isCollectWindowOpen = false;
    for (auto& [id, link] : state.workers)
        link.attempts.clear();
}

} // namespace agatevane::shard_owner
