#include "agatevane/base/hash.h"
#include "agatevane/shard_owner/parts.h"
#include <algorithm>

namespace agatevane::shard_owner {

namespace {

    void renew(State& state, TrackedWorker& link, Instant at, Actions& actions)
    {
        RenewCommand command { .epoch = state.owner.epoch };
        command.untilClockMs = link.clock.clockMs + state.gangTiming.leaseTerm.count();
        for (const auto& attempt : link.attempts) {
            auto& gang = state.gangs.at(attempt).gang;
            if (!gang::isRenewable(gang, state.gangTiming, at))
                continue;
            command.attempts.push_back(attempt);
            gang::onLeaseRenewed(gang, state.gangTiming, link.entry.id, link.clock);
        }
        if (command.attempts.empty())
            return;
        if (!ownership::isOwnershipValid(state.owner, at)) {
            ++state.counters.withheldEffects;
            return;
        }
        ++state.counters.renewals;
        actions.emplace_back(
            SendRenewal { link.entry.id, std::move(command), ownership::ownershipDeadline(state.owner) });
    }

    //! An empty renewal raises the worker's epoch. It starts and extends nothing, so it needs no ownership deadline.
    void raise(State& state, const TrackedWorker& link, Actions& actions)
    {
        ++state.counters.renewals;
        actions.emplace_back(SendRenewal { link.entry.id, { .epoch = state.owner.epoch }, Instant::max() });
    }

    //! Tasks that belong to no known gang: a live one is stopped, an ended one is forgotten.
    void cleanUp(State& state, const TrackedWorker& link, const WorkerReport& report, Instant at, Actions& actions)
    {
        for (const auto& task : report.tasks) {
            auto owned = state.gangs.find(task.attempt);
            bool isKnown = owned != state.gangs.end() && link.attempts.contains(task.attempt);
            if (isKnown || state.found.contains(task.attempt))
                continue;
            bool isLive = task.state == TaskState::Running || task.state == TaskState::Reserved;
            if (!isLive && owned != state.gangs.end())
                continue;
            send(state,
                { link.entry.id,
                    gang::AttemptOrder { isLive ? gang::OrderKind::Stop : gang::OrderKind::Forget,
                        { .attempt = task.attempt, .epoch = state.owner.epoch } } },
                at, actions);
        }
    }

    void updateGangs(State& state, const TrackedWorker& link, const WorkerReport& report, Instant sentAt)
    {
        for (const auto& attempt : link.attempts) {
            auto& gang = state.gangs.at(attempt).gang;
            auto task = std::find_if(report.tasks.begin(), report.tasks.end(),
                [&](const TaskReport& candidate) { return candidate.attempt == attempt; });
            if (task != report.tasks.end())
                gang::onTaskReport(gang, link.entry.id, *task, sentAt);
            else
                gang::onTaskAbsent(gang, link.entry.id, report.instance, sentAt);
            state.touched.insert(attempt);
        }
    }

} // namespace

void changeFleet(State& state, const FleetChanged& fleet, Instant at)
{
    state.policy = fleet.policy;
    for (auto& [id, link] : state.workers)
        link.isInCatalogue = false;
    for (const auto& entry : fleet.workers) {
        auto [position, isNew] = state.workers.try_emplace(entry.id);
        auto& link = position->second;
        if (!(link.entry == entry))
            link.wasAvailable.reset();
        link.entry = entry;
        link.isInCatalogue = true;
        // Spread over the interval, so that polls do not come in bursts.
        if (isNew)
            link.nextPoll
                = at + Millis { hash64(entry.id.value) % static_cast<std::uint64_t>(state.timing.poll.count()) };
    }
    std::erase_if(state.workers, [&](auto& entry) {
        if (entry.second.isInCatalogue || !entry.second.attempts.empty())
            return false;
        if (state.shard && entry.second.wasAvailable)
            scheduling::removeWorker(*state.shard, entry.first);
        return true;
    });
    if (state.shard)
        scheduling::setPolicy(*state.shard, state.policy);
    updateAvailability(state, at);
    state.isDirty = true;
}

void updateAvailability(State& state, Instant at)
{
    // Parts whose gang is still incomplete are not charged yet; placing others beside them could overcommit the worker.
    std::set<WorkerId> undecided;
    for (const auto& [attempt, found] : state.found) {
        for (const auto& [number, part] : found.found) {
            if (part.state < gang::PartState::Finished)
                undecided.insert(part.worker);
        }
    }
    for (auto& [id, link] : state.workers) {
        link.isReachable = link.isReachable && elapsed(link.clock.receivedAt, at) <= state.timing.unreachableAfter;
        if (!state.shard)
            continue;
        bool isAvailable = link.isReachable && link.isInCatalogue && !link.isLeaving && link.isCollected
            && at >= link.ejectedUntil && !undecided.contains(id);
        if (link.wasAvailable == isAvailable)
            continue;
        link.wasAvailable = isAvailable;
        scheduling::setWorker(*state.shard,
            { .id = id, .rack = link.entry.rack, .capacity = link.entry.capacity, .isAvailable = isAvailable });
        state.isDirty = true;
    }
}

void pollWorkers(State& state, Instant at, Actions& actions)
{
    for (auto& [id, link] : state.workers) {
        if (link.isPolling && elapsed(link.pollSentAt, at) > state.timing.pollTimeout)
            link.isPolling = false;
        if (link.isPolling || at < link.nextPoll)
            continue;
        link.isPolling = true;
        link.pollSentAt = at;
        link.nextPoll = at + state.timing.poll;
        ++state.counters.polls;
        actions.emplace_back(Poll { id });
    }
}

void onReport(State& state, const ReportArrived& input, Instant at, Actions& actions)
{
    auto position = state.workers.find(input.worker);
    if (position == state.workers.end() || state.stage == Stage::Inactive)
        return;
    auto& link = position->second;
    const auto& report = input.report;
    link.isPolling = false;
    if (report.worker != input.worker || input.sentAt < link.newestSentAt)
        return;
    link.newestSentAt = input.sentAt;
    if (report.epoch > state.owner.epoch) {
        apply(state, ownership::onEpoch(state.owner, report.epoch), at, actions);
        return;
    }
    link.clock = { report.instance, report.clockMs, at };
    link.isReachable = true;
    link.isLeaving = report.leaving;
    if (report.epoch < state.owner.epoch) {
        raise(state, link, actions);
        if (!link.isCollected)
            return;
    } else {
        ownership::confirmOwnership(state.owner, input.sentAt);
        bool wasCollected = link.isCollected;
        link.isCollected = true;
        if (state.isCollectWindowOpen || state.stage != Stage::Serving)
            collect(state, link, report, input.sentAt, at);
        if (!wasCollected)
            state.isDirty = true;
    }
    updateGangs(state, link, report, input.sentAt);
    if (state.stage == Stage::Serving)
        cleanUp(state, link, report, at, actions);
    renew(state, link, at, actions);
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
        auto link = state.workers.find(input.worker);
        if (link != state.workers.end() && !link->second.isCollected && input.status == gang::ReplyStatus::Ok)
            link->second.nextPoll = at; // the epoch is raised: what the next report shows is final
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
    state.touched.insert(input.attempt);
}

void send(State& state, gang::Command command, Instant at, Actions& actions)
{
    if (!ownership::isOwnershipValid(state.owner, at)) {
        ++state.counters.withheldEffects;
        return;
    }
    ++state.counters.commands;
    actions.emplace_back(SendCommand { std::move(command), ownership::ownershipDeadline(state.owner) });
}

void countFailure(State& state, const WorkerId& worker, Instant at, Actions& actions)
{
    auto position = state.workers.find(worker);
    if (position == state.workers.end())
        return;
    auto& link = position->second;
    if (++link.failures < state.timing.failuresBeforeEjection)
        return;
    auto ejected = std::count_if(
        state.workers.begin(), state.workers.end(), [&](const auto& entry) { return at < entry.second.ejectedUntil; });
    // A fault of the jobs themselves must not take the whole data centre out of service.
    if ((ejected + 1) * 100 > static_cast<std::ptrdiff_t>(state.workers.size()) * state.timing.ejectedPercent)
        return;
    link.ejection = link.ejection.count() == 0 ? state.timing.firstEjection
                                               : std::min(link.ejection * 2, state.timing.longestEjection);
    link.ejectedUntil = at + link.ejection;
    link.failures = state.timing.failuresBeforeEjection - 1; // one failed probe ejects it again
    ++state.counters.ejections;
    actions.emplace_back(Event { EventKind::WorkerEjected, worker.value,
        "for " + std::to_string(link.ejection.count()) + " ms after repeated failures" });
}

void countSuccess(State& state, const WorkerId& worker)
{
    auto position = state.workers.find(worker);
    if (position == state.workers.end())
        return;
    position->second.failures = 0;
    position->second.ejection = Millis { 0 };
}

} // namespace agatevane::shard_owner
