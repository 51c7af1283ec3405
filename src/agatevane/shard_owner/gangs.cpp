#include "agatevane/shard_owner/internal.h"

namespace agatevane::shard_owner {

namespace {

    //! The capacity that the gang holds. A finished part is left out: its accelerators are free and may have been given
    //! to other gangs.
    scheduling::Placement placementOf(const gang::Gang& gang)
    {
        scheduling::Placement placement;
        for (const auto& part : gang.parts) {
            if (part.state < gang::PartState::Finished)
                placement.push_back({ part.worker, part.accelerators });
        }
        return placement;
    }

    void releaseCapacity(State& state, OwnedGang& owned, scheduling::EndReason reason, Instant at)
    {
        if (!state.shard || owned.chargedJob.empty())
            return;
        scheduling::markEnded(*state.shard, owned.chargedJob, reason, at);
        owned.chargedJob = {};
        owned.chargedPlacement.clear();
        state.needsDecision = true;
    }

    bool hasOtherGang(const State& state, const JobId& job, const AttemptId& attempt)
    {
        for (const auto& [id, owned] : state.gangs) {
            if (id != attempt && owned.gang.job == job)
                return true;
        }
        return false;
    }

    void onRunning(State& state, OwnedGang& owned, Instant at, Actions& actions)
    {
        owned.isMarkedRunning = true;
        ++state.counters.gangsStarted;
        if (state.shard && !owned.chargedJob.empty())
            scheduling::markRunning(*state.shard, owned.chargedJob, at);
        auto job = state.jobs.find(owned.gang.job);
        if (job != state.jobs.end()) {
            job->second.state = JobState::Running;
            job->second.startedAt = at;
        }
        actions.emplace_back(Event { EventKind::GangStarted, owned.gang.job.value,
            owned.gang.attempt.value + " on " + std::to_string(owned.gang.parts.size()) + " workers" });
    }

    void onFinished(State& state, OwnedGang& owned, Instant at)
    {
        releaseCapacity(state, owned, scheduling::EndReason::Finished, at);
        if (owned.isFinishRecorded || state.stage != Stage::Serving)
            return;
        owned.isFinishRecorded = true;
        for (const auto& part : owned.gang.parts)
            recordSuccess(state, part.worker);
        auto job = state.jobs.find(owned.gang.job);
        if (job == state.jobs.end()) {
            owned.gang.phase = gang::Phase::Ended; // the job was cancelled in the meantime
            return;
        }
        recordOutcome(state, owned.gang.job,
            { .kind = journal::RecordKind::Finished, .spec = { .id = owned.gang.job }, .attempt = owned.gang.attempt });
    }

    //! Queues the job of an ended gang again, unless it has an outcome or has failed too often.
    void onEnded(State& state, OwnedGang& owned, Instant at, Actions& actions)
    {
        auto& gang = owned.gang;
        bool isFailure = gang.cause == gang::Cause::Failed;
        releaseCapacity(state, owned, isFailure ? scheduling::EndReason::Failed : scheduling::EndReason::Stopped, at);
        ++state.counters.gangsEnded;
        actions.emplace_back(Event { EventKind::GangEnded, gang.job.value, gang.reason });
        if (isFailure)
            recordFailure(state, gang.failedWorker, at, actions);
        auto position = state.jobs.find(gang.job);
        if (position == state.jobs.end() || hasOtherGang(state, gang.job, gang.attempt))
            return;
        auto& job = position->second;
        if (!job.attempt.empty() && job.attempt != gang.attempt)
            return;
        job.attempt = {};
        job.checkpointedWorkMs = std::max(job.checkpointedWorkMs, gang::checkpointedWorkMs(gang));
        if (isFailure && ++job.failedAttempts >= state.timing.maxFailedAttempts) {
            recordOutcome(state, gang.job,
                { .kind = journal::RecordKind::Failed, .spec = { .id = gang.job }, .reason = gang.reason });
            return;
        }
        auto delay = isFailure                   ? state.timing.retryDelayAfterFailure
            : gang.cause == gang::Cause::Refused ? state.timing.retryDelayAfterRefusal
                                                 : Millis { 0 };
        requeue(state, job, delay, at);
    }

    void reportCheckpoint(State& state, OwnedGang& owned, Instant at)
    {
        auto checkpointedMs = gang::checkpointedWorkMs(owned.gang);
        if (!state.shard || owned.chargedJob.empty() || checkpointedMs <= owned.reportedCheckpointMs)
            return;
        owned.reportedCheckpointMs = checkpointedMs;
        scheduling::recordCheckpoint(*state.shard, owned.chargedJob, checkpointedMs, at);
    }

    //! Returns true if the gang has ended and is to be removed.
    bool advanceGang(State& state, OwnedGang& owned, Instant at, Actions& actions)
    {
        auto clockOf = [&](const WorkerId& worker) -> const gang::WorkerClock* {
            auto tracked = state.workers.find(worker);
            return tracked != state.workers.end() && tracked->second.isReachable ? &tracked->second.clock : nullptr;
        };
        for (auto& command : gang::advance(owned.gang, state.gangTiming, clockOf, at))
            sendCommand(state, std::move(command), at, actions);
        if (owned.gang.phase == gang::Phase::Running && !owned.isMarkedRunning && state.stage == Stage::Serving)
            onRunning(state, owned, at, actions);
        reportCheckpoint(state, owned, at);
        if (owned.gang.phase == gang::Phase::Finished)
            onFinished(state, owned, at);
        auto job = state.jobs.find(owned.gang.job);
        bool isStopping = owned.gang.phase == gang::Phase::Stopping;
        if (isStopping && job != state.jobs.end() && job->second.attempt == owned.gang.attempt)
            job->second.state = JobState::Stopping;
        if (owned.gang.phase != gang::Phase::Ended)
            return false;
        onEnded(state, owned, at, actions);
        return true;
    }

    void removeGang(State& state, const AttemptId& attempt)
    {
        for (const auto& part : state.gangs.at(attempt).gang.parts) {
            auto tracked = state.workers.find(part.worker);
            if (tracked != state.workers.end())
                tracked->second.attempts.erase(attempt);
        }
        state.gangs.erase(attempt);
    }

    void startGang(State& state, const scheduling::StartGang& decision, Instant at)
    {
        auto position = state.jobs.find(decision.job);
        if (position == state.jobs.end()) {
            scheduling::markEnded(*state.shard, decision.job, scheduling::EndReason::Stopped, at);
            return;
        }
        auto& job = position->second;
        AttemptId attempt { state.owner.dataCentre.value + "/" + std::to_string(state.owner.epoch) + "/"
            + state.owner.incarnation + "/" + std::to_string(++state.attemptCounter) };
        std::vector<gang::Part> parts;
        for (const auto& placed : decision.placement)
            parts.push_back({ .worker = placed.worker, .accelerators = placed.accelerators });
        auto gang = gang::makeGang(job.spec.id, attempt, state.owner.epoch, std::move(parts), at);
        gang.durationMs = job.spec.expectedMs;
        gang.restoredMs = job.checkpointedWorkMs;
        gang.canCheckpoint = job.spec.canCheckpoint;
        gang.payload = job.spec.payload;
        job.attempt = attempt;
        job.state = JobState::Starting;
        auto& owned = addGang(state, std::move(gang));
        owned.chargedJob = job.spec.id;
        owned.chargedPlacement = decision.placement;
        owned.reportedCheckpointMs = job.checkpointedWorkMs;
    }

    void carryOut(State& state, const scheduling::Decision& decision, Instant at)
    {
        if (const auto* startDecision = std::get_if<scheduling::StartGang>(&decision)) {
            startGang(state, *startDecision, at);
        } else if (const auto* preempt = std::get_if<scheduling::PreemptGang>(&decision)) {
            auto job = state.jobs.find(preempt->job);
            auto owned = job == state.jobs.end() ? state.gangs.end() : state.gangs.find(job->second.attempt);
            if (owned == state.gangs.end())
                return;
            gang::preempt(owned->second.gang, preempt->deadline, preempt->reason, at);
            state.changedGangs.insert(owned->first);
        } else if (const auto* impossible = std::get_if<scheduling::JobImpossible>(&decision)) {
            if (state.jobs.contains(impossible->job))
                recordOutcome(state, impossible->job,
                    { .kind = journal::RecordKind::Impossible,
                        .spec = { .id = impossible->job },
                        .reason = impossible->reason });
        }
    }

} // namespace

OwnedGang& addGang(State& state, gang::Gang gang)
{
    auto attempt = gang.attempt;
    for (const auto& part : gang.parts) {
        auto tracked = state.workers.find(part.worker);
        if (tracked != state.workers.end())
            tracked->second.attempts.insert(attempt);
    }
    auto& owned = state.gangs[attempt];
    owned.gang = std::move(gang);
    state.changedGangs.insert(attempt);
    return owned;
}

void chargeGang(State& state, OwnedGang& owned, const JobSpec& spec)
{
    owned.chargedPlacement = placementOf(owned.gang);
    if (owned.chargedPlacement.empty())
        return;
    owned.chargedJob = spec.id;
    owned.reportedCheckpointMs = gang::checkpointedWorkMs(owned.gang);
    scheduling::adopt(*state.shard, spec, owned.chargedPlacement, owned.gang.startedAt, owned.reportedCheckpointMs);
}

void advanceGangs(State& state, bool advancesAll, Instant at, Actions& actions)
{
    auto attempts = std::move(state.changedGangs);
    state.changedGangs.clear();
    if (advancesAll) {
        for (const auto& [attempt, owned] : state.gangs)
            attempts.insert(attempts.end(), attempt);
    }
    for (const auto& attempt : attempts) {
        auto owned = state.gangs.find(attempt);
        if (owned != state.gangs.end() && advanceGang(state, owned->second, at, actions))
            removeGang(state, attempt);
    }
}

void decideIfDue(State& state, Instant at, Actions& actions)
{
    bool isDue = at >= state.nextDecisionAt + (state.needsDecision ? Millis { 0 } : state.timing.idleDecisionInterval);
    if (!isDue || !ownership::isOwnershipValid(state.owner, at))
        return;
    state.nextDecisionAt = at + state.timing.decisionInterval;
    state.needsDecision = false;
    for (const auto& decision : scheduling::decide(*state.shard, at))
        carryOut(state, decision, at);
    advanceGangs(state, false, at, actions);
}

} // namespace agatevane::shard_owner
