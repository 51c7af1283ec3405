#include "agatevane/base/hash.h"
#include "agatevane/shard_owner/internal.h"
#include <algorithm>

namespace agatevane::shard_owner {

namespace {

    void renewLeases(State& state, TrackedWorker& tracked, Instant at, Actions& actions)
    {
        RenewCommand command { .epoch = state.owner.epoch };
        command.untilClockMs = tracked.clock.clockMs + state.gangTiming.leaseTerm.count();
        for (const auto& attempt : tracked.attempts) {
            auto& gang = state.gangs.at(attempt).gang;
            if (!gang::isRenewable(gang, state.gangTiming, at))
                continue;
            command.attempts.push_back(attempt);
            gang::onLeaseRenewed(gang, state.gangTiming, tracked.entry.id, tracked.clock);
        }
        if (command.attempts.empty())
            return;
        if (!ownership::isOwnershipValid(state.owner, at)) {
            ++state.counters.withheldEffects;
            return;
        }
        ++state.counters.renewals;
        actions.emplace_back(
            SendRenewal { tracked.entry.id, std::move(command), ownership::ownershipDeadline(state.owner) });
    }

    //! Raises the worker's epoch with an empty renewal, which starts and extends nothing and so needs no ownership
    //! deadline.
    void raiseEpoch(State& state, const TrackedWorker& tracked, Actions& actions)
    {
        ++state.counters.renewals;
        actions.emplace_back(SendRenewal { tracked.entry.id, { .epoch = state.owner.epoch }, Instant::max() });
    }

    //! Handles the reported tasks that belong to no known gang: stops live ones and lets the worker forget ended ones.
    void cleanUpUnknownTasks(
        State& state, const TrackedWorker& tracked, const WorkerReport& report, Instant at, Actions& actions)
    {
        for (const auto& task : report.tasks) {
            auto owned = state.gangs.find(task.attempt);
            bool isKnown = owned != state.gangs.end() && tracked.attempts.contains(task.attempt);
            if (isKnown || state.discoveredGangs.contains(task.attempt))
                continue;
            bool isLive = task.state == TaskState::Running || task.state == TaskState::Reserved;
            if (!isLive && owned != state.gangs.end())
                continue;
            sendCommand(state,
                { tracked.entry.id,
                    gang::AttemptOrder { isLive ? gang::OrderKind::Stop : gang::OrderKind::Forget,
                        { .attempt = task.attempt, .epoch = state.owner.epoch } } },
                at, actions);
        }
    }

    void updateGangs(State& state, const TrackedWorker& tracked, const WorkerReport& report, Instant sentAt)
    {
        for (const auto& attempt : tracked.attempts) {
            auto& gang = state.gangs.at(attempt).gang;
            auto task = std::find_if(report.tasks.begin(), report.tasks.end(),
                [&](const TaskReport& candidate) { return candidate.attempt == attempt; });
            if (task != report.tasks.end())
                gang::onTaskReport(gang, tracked.entry.id, *task, sentAt);
            else
                gang::onTaskAbsent(gang, tracked.entry.id, report.instance, sentAt);
            state.changedGangs.insert(attempt);
        }
    }

} // namespace

void applyFleet(State& state, const FleetChanged& fleet, Instant at)
{
    state.policy = fleet.policy;
    for (auto& [id, tracked] : state.workers)
        tracked.isInCatalogue = false;
    for (const auto& entry : fleet.workers) {
        auto [position, isNew] = state.workers.try_emplace(entry.id);
        auto& tracked = position->second;
        if (!(tracked.entry == entry))
            tracked.publishedAvailability.reset();
        tracked.entry = entry;
        tracked.isInCatalogue = true;
        // Polls of new workers are spread over the interval, so that they do not come in bursts.
        if (isNew)
            tracked.nextPoll = at
                + Millis { hash64(entry.id.value) % static_cast<std::uint64_t>(state.timing.pollInterval.count()) };
    }
    std::erase_if(state.workers, [&](auto& entry) {
        if (entry.second.isInCatalogue || !entry.second.attempts.empty())
            return false;
        if (state.shard && entry.second.publishedAvailability)
            scheduling::removeWorker(*state.shard, entry.first);
        return true;
    });
    if (state.shard)
        scheduling::setPolicy(*state.shard, state.policy);
    updateAvailability(state, at);
    state.needsDecision = true;
}

void updateAvailability(State& state, Instant at)
{
    // Parts of gangs that are still incomplete are not charged yet. Other gangs on their workers could overcommit these
    // workers, so they are not available.
    std::set<WorkerId> incompleteGangWorkers;
    for (const auto& [attempt, found] : state.discoveredGangs) {
        for (const auto& [number, part] : found.partsByNumber) {
            if (part.state < gang::PartState::Finished)
                incompleteGangWorkers.insert(part.worker);
        }
    }
    for (auto& [id, tracked] : state.workers) {
        tracked.isReachable
            = tracked.isReachable && elapsed(tracked.clock.receivedAt, at) <= state.timing.unreachableAfter;
        if (!state.shard)
            continue;
        bool isAvailable = tracked.isReachable && tracked.isInCatalogue && !tracked.isLeaving && tracked.hasReported
            && at >= tracked.ejectedUntil && !incompleteGangWorkers.contains(id);
        if (tracked.publishedAvailability == isAvailable)
            continue;
        tracked.publishedAvailability = isAvailable;
        scheduling::setWorker(*state.shard,
            { .id = id, .rack = tracked.entry.rack, .capacity = tracked.entry.capacity, .isAvailable = isAvailable });
        state.needsDecision = true;
    }
}

void pollWorkers(State& state, Instant at, Actions& actions)
{
    for (auto& [id, tracked] : state.workers) {
        if (tracked.isPolling && elapsed(tracked.pollSentAt, at) > state.timing.pollTimeout)
            tracked.isPolling = false;
        if (tracked.isPolling || at < tracked.nextPoll)
            continue;
        tracked.isPolling = true;
        tracked.pollSentAt = at;
        tracked.nextPoll = at + state.timing.pollInterval;
        ++state.counters.polls;
        actions.emplace_back(Poll { id });
    }
}

void onReport(State& state, const ReportArrived& input, Instant at, Actions& actions)
{
    auto position = state.workers.find(input.worker);
    if (position == state.workers.end() || state.stage == Stage::Inactive)
        return;
    auto& tracked = position->second;
    const auto& report = input.report;
    tracked.isPolling = false;
    if (report.worker != input.worker || input.sentAt < tracked.newestReportRequestedAt)
        return;
    tracked.newestReportRequestedAt = input.sentAt;
    if (report.epoch > state.owner.epoch) {
        apply(state, ownership::onEpoch(state.owner, report.epoch), at, actions);
        return;
    }
    tracked.clock = { report.instance, report.clockMs, at };
    tracked.isReachable = true;
    tracked.isLeaving = report.leaving;
    if (report.epoch < state.owner.epoch) {
        raiseEpoch(state, tracked, actions);
        if (!tracked.hasReported)
            return;
    } else {
        ownership::confirmOwnership(state.owner, input.sentAt);
        bool hadReported = tracked.hasReported;
        tracked.hasReported = true;
        if (state.isAdoptionWindowOpen || state.stage != Stage::Serving)
            collectReport(state, tracked, report, input.sentAt, at);
        if (!hadReported)
            state.needsDecision = true;
    }
    updateGangs(state, tracked, report, input.sentAt);
    if (state.stage == Stage::Serving)
        cleanUpUnknownTasks(state, tracked, report, at, actions);
    renewLeases(state, tracked, at, actions);
    updateAvailability(state, at);
}

void onCommandAnswer(State& state, const CommandAnswered& input, Instant at, Actions& actions)
{
    if (state.stage == Stage::Inactive || input.epoch != state.owner.epoch)
        return;
    if (input.status == gang::ReplyStatus::StaleEpoch) {
        apply(state, ownership::onEpoch(state.owner, input.epoch + 1), at, actions);
        return;
    }
    if (input.status != gang::ReplyStatus::Unknown)
        ownership::confirmOwnership(state.owner, input.sentAt);
    if (input.kind == CommandAnswered::Kind::Renew) {
        // Once the epoch is raised, no earlier owner can change what the next report shows; it is requested at once.
        auto tracked = state.workers.find(input.worker);
        if (tracked != state.workers.end() && !tracked->second.hasReported && input.status == gang::ReplyStatus::Ok)
            tracked->second.nextPoll = at;
        return;
    }
    auto owned = state.gangs.find(input.attempt);
    if (owned == state.gangs.end())
        return;
    auto& gang = owned->second.gang;
    if (input.kind == CommandAnswered::Kind::Prepare)
        gang::onPrepareReply(gang, input.worker, input.status);
    else if (input.kind == CommandAnswered::Kind::Start)
        gang::onStartReply(gang, input.worker, input.status, input.sentAt, at);
    else if (input.kind == CommandAnswered::Kind::Stop)
        gang::onStopReply(gang, input.worker, input.status);
    state.changedGangs.insert(input.attempt);
}

void sendCommand(State& state, gang::Command command, Instant at, Actions& actions)
{
    if (!ownership::isOwnershipValid(state.owner, at)) {
        ++state.counters.withheldEffects;
        return;
    }
    ++state.counters.commands;
    actions.emplace_back(SendCommand { std::move(command), ownership::ownershipDeadline(state.owner) });
}

void recordFailure(State& state, const WorkerId& worker, Instant at, Actions& actions)
{
    auto position = state.workers.find(worker);
    if (position == state.workers.end())
        return;
    auto& tracked = position->second;
    if (++tracked.failures < state.timing.failuresBeforeEjection)
        return;
    auto ejected = std::count_if(
        state.workers.begin(), state.workers.end(), [&](const auto& entry) { return at < entry.second.ejectedUntil; });
    // The share of ejected workers is bounded, so that faulty jobs don't take the whole data centre out of service.
    if ((ejected + 1) * 100 > static_cast<std::ptrdiff_t>(state.workers.size()) * state.timing.maxEjectedPercent)
        return;
    tracked.ejectionDuration = tracked.ejectionDuration.count() == 0
        ? state.timing.firstEjection
        : std::min(tracked.ejectionDuration * 2, state.timing.maxEjection);
    tracked.ejectedUntil = at + tracked.ejectionDuration;
    tracked.failures = state.timing.failuresBeforeEjection - 1; // the next failed attempt ejects the worker again
    ++state.counters.ejections;
    actions.emplace_back(Event { EventKind::WorkerEjected, worker.value,
        "for " + std::to_string(tracked.ejectionDuration.count()) + " ms after repeated failed attempts" });
}

void recordSuccess(State& state, const WorkerId& worker)
{
    auto position = state.workers.find(worker);
    if (position == state.workers.end())
        return;
    position->second.failures = 0;
    position->second.ejectionDuration = Millis { 0 };
}

} // namespace agatevane::shard_owner
