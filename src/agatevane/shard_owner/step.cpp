#include "agatevane/shard_owner/internal.h"

namespace agatevane::shard_owner {

namespace {

    // The ownership and the journal number their store calls independently; the lowest bit of the id sent to the store
    // tells them apart.
    constexpr std::uint64_t journalBit = 1;

    void callStore(State& state, StoreCall call, bool isJournal, Actions& actions)
    {
        call.id = call.id * 2 + (isJournal ? journalBit : 0);
        ++state.counters.storeCalls;
        actions.emplace_back(CallStore { std::move(call) });
    }

    void onStoreAnswer(State& state, StoreReply reply, Instant at, Actions& actions)
    {
        bool isJournal = (reply.id & journalBit) != 0;
        reply.id /= 2;
        if (!isJournal) {
            apply(state, ownership::onStoreReply(state.owner, reply, at), at, actions);
            return;
        }
        if (!state.journal || reply.id < state.journal->firstCallId)
            return;
        auto sentAt = state.journal->sentAt;
        auto phase = state.journal->phase;
        bool isGuardedWrite = phase == journal::Phase::Writing || phase == journal::Phase::Compacting;
        auto result = journal::onStoreReply(*state.journal, reply, at);
        if (reply.outcome == StoreOutcome::Done && isGuardedWrite)
            ownership::confirmOwnership(state.owner, sentAt);
        apply(state, std::move(result), at, actions);
    }

    void onTick(State& state, Instant at, Actions& actions)
    {
        apply(state, ownership::tick(state.owner, at), at, actions);
        if (state.stage == Stage::Inactive)
            return;
        pollWorkers(state, at, actions);
        updateAvailability(state, at);
        advanceStage(state, at, actions);
        if (state.journal) {
            auto result = journal::tick(*state.journal, at);
            apply(state, std::move(result), at, actions);
        }
    }

    void dispatch(State& state, const Input& input, Instant at, Actions& actions)
    {
        if (std::holds_alternative<Tick>(input))
            onTick(state, at, actions);
        else if (const auto* fleet = std::get_if<FleetChanged>(&input))
            applyFleet(state, *fleet, at);
        else if (const auto* report = std::get_if<ReportArrived>(&input))
            onReport(state, *report, at, actions);
        else if (const auto* failure = std::get_if<PollFailed>(&input)) {
            auto tracked = state.workers.find(failure->worker);
            if (tracked != state.workers.end())
                tracked->second.isPolling = false;
        } else if (const auto* answer = std::get_if<CommandAnswered>(&input))
            onCommandAnswer(state, *answer, at, actions);
        else if (const auto* store = std::get_if<StoreAnswered>(&input))
            onStoreAnswer(state, store->reply, at, actions);
        else if (const auto* heartbeat = std::get_if<HeartbeatArrived>(&input))
            apply(state, ownership::onHeartbeat(state.owner, heartbeat->owner, heartbeat->epoch, at), at, actions);
        else if (const auto* submission = std::get_if<SubmitArrived>(&input))
            submit(state, *submission, at, actions);
        else if (const auto* cancellation = std::get_if<CancelArrived>(&input))
            cancel(state, *cancellation, at, actions);
        else if (std::holds_alternative<ReleaseRequested>(input))
            apply(state, ownership::release(state.owner, at), at, actions);
    }

} // namespace

void apply(State& state, const ownership::Result& result, Instant at, Actions& actions)
{
    for (const auto& call : result.calls)
        callStore(state, call, false, actions);
    const auto& owner = state.owner;
    if (result.shouldSendHeartbeat)
        actions.emplace_back(SendHeartbeat { { owner.dataCentre, owner.self, owner.epoch } });
    if (result.didLoseOwnership) {
        actions.emplace_back(Event { EventKind::OwnershipLost, owner.dataCentre.value, result.reason });
        // Notifies the successor at once; other schedulers take this heartbeat as a sign of the new owner.
        if (owner.record && owner.record->owner != owner.self && owner.record->epoch >= owner.highestEpoch)
            actions.emplace_back(SendHeartbeat { { owner.dataCentre, owner.record->owner, owner.record->epoch } });
        endTenure(state, at, actions);
    }
    if (!result.didBecomeOwner)
        return;
    actions.emplace_back(Event { EventKind::OwnershipTaken, owner.dataCentre.value,
        "epoch " + std::to_string(owner.epoch) + (owner.holdsRecord ? "" : " without the store") });
    if (state.stage == Stage::Inactive) {
        ++state.counters.takeovers;
        state.takeoverStartedAt = at;
        beginCollecting(state, at);
    }
    for (auto& [attempt, owned] : state.gangs)
        owned.gang.epoch = owner.epoch;
    if (owner.holdsRecord) {
        state.journal = journal::makeState(owner.dataCentre, ownership::recordKey(owner.dataCentre), owner.epoch,
            owner.revision, owner.record->token, at);
        state.journal->timing = state.journalTiming;
        state.journal->nextCallId = state.journal->firstCallId = state.nextJournalCall;
    }
}

void apply(State& state, journal::Result result, Instant at, Actions& actions)
{
    if (result.call) {
        state.nextJournalCall = state.journal->nextCallId;
        callStore(state, std::move(*result.call), true, actions);
    }
    for (const auto& pending : result.committed)
        onCommitted(state, pending, at, actions);
    for (const auto& pending : result.dropped)
        onDropped(state, pending, result.wasFenced, at, actions);
    if (result.didFinishReplay)
        actions.emplace_back(Event { EventKind::JournalReplayed, state.owner.dataCentre.value,
            std::to_string(state.journal->jobs.size()) + " jobs" });
    if (result.wasFenced)
        apply(state, ownership::onEpoch(state.owner, state.owner.epoch + 1), at, actions);
}

State makeState(const DataCentreId& dataCentre, const RegionId& region, const MemberId& self,
    const std::string& incarnation, const std::vector<ownership::Candidate>& candidates, Instant at)
{
    State state;
    state.owner = ownership::makeState(dataCentre, region, self, incarnation, candidates, at);
    state.nextDecisionAt = at;
    return state;
}

bool isServing(const State& state)
{
    return state.stage == Stage::Serving;
}

std::vector<Action> step(State& state, const Input& input, Instant at)
{
    Actions actions;
    dispatch(state, input, at, actions);
    bool isTick = std::holds_alternative<Tick>(input);
    if (state.stage != Stage::Inactive)
        advanceGangs(state, isTick, at, actions);
    if (state.stage == Stage::Serving) {
        if (isTick)
            advanceJobs(state, at, actions);
        decideIfDue(state, at, actions);
    }
    return actions;
}

} // namespace agatevane::shard_owner
