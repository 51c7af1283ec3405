#include "node/fleet_owner.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/pacing.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    constexpr Millis tickInterval { 50 };
    //! Placement depends on time too: patience ends, jobs become due.
    constexpr Millis placementInterval { 200 };
    constexpr Millis leastPlacementPause { 10 };
    constexpr Millis wakeDelay { 3 };
    constexpr Millis orderTimeout { 500 };
    //! The advice service answers one call of a machine after the other.
    constexpr Millis adviceTimeout { 5000 };
    //! Beyond the time that a worker may hold a look back.
    constexpr Millis lookMargin { 600 };
    constexpr Millis pruneInterval { 10000 };
    //! A submission that the store has not been sent by then is taken back, so that the caller can come again.
    constexpr Millis withdrawAfter { 800 };

} // namespace

FleetOwner::FleetOwner(const Environment& environment, const fleet::Limits& limits, std::uint32_t tenure,
    kv::Revision commitRevision, const desired_state::DesiredState& desired)
    : environment_(environment)
    , committer_(environment.context, environment.store, fleet_, commitRevision,
          { [this] { afterCommit(); }, environment.deposed, [this] { return isAwaited(); } })
    , tickTimer_(environment.context)
    , wakeTimer_(environment.context)
    , listTimer_(environment.context)
{
    fleet_.limits = limits;
    fleet_.tenure = tenure;
    fleet_.fencingToken = tenure;
    fleet_.desired = desired;
    fleet_.tookOverAt = bootNow();
    if (environment.machines)
        upkeep_ = std::make_unique<UpkeepDuty>(UpkeepDuty::Environment { environment.context, environment.store,
            *environment.machines, environment.translation, fleet_, committer_, environment.holdsLease });
}

void FleetOwner::start()
{
    load();
}

void FleetOwner::stop()
{
    isStopped_ = true;
    committer_.stop();
    if (upkeep_)
        upkeep_->stop();
    auto waiters = waiters_;
    for (auto& [ticket, waiter] : waiters)
        giveUp(waiter);
    waiters_.clear();
}

void FleetOwner::applyDesiredState(const desired_state::DesiredState& desired)
{
    fleet::applyDesiredState(fleet_, desired);
    wake();
}

void FleetOwner::tick()
{
    if (isStopped_)
        return;
    tickTimer_.arm(tickInterval, [this] { tick(); });
    auto unixMs = unixMillis();
    if (unixMs >= nextPruneUnixMs_) {
        nextPruneUnixMs_ = unixMs + pruneInterval.count();
        fleet::pruneEnded(fleet_, unixMs);
    }
    advance();
}

//! Events that come close together lead to one round of decisions.
void FleetOwner::wake()
{
    if (std::exchange(isAdvanceQueued_, true))
        return;
    wakeTimer_.arm(wakeDelay, [this] {
        isAdvanceQueued_ = false;
        advance();
    });
}

void FleetOwner::advance()
{
    if (isStopped_ || !isReady_)
        return;
    auto at = bootNow();
    bool mayPlace = at - lastPlacementAt_ >= placementPause_;
    if (at - lastPlacementAt_ >= placementInterval)
        fleet_.isPlacementDue = true;
    bool isDue = fleet_.isPlacementDue;
    fleet_.isPlacementDue = isDue && mayPlace;
    bool places = fleet_.isPlacementDue;
    send(fleet::advance(fleet_, unixMillis(), at));
    if (places) {
        // A round that takes long comes less often, so that it leaves time for calls.
        lastPlacementAt_ = bootNow();
        placementPause_ = std::clamp(elapsed(at, lastPlacementAt_) * 4, leastPlacementPause, placementInterval);
    } else if (isDue) {
        fleet_.isPlacementDue = true;
    }
    if (upkeep_)
        upkeep_->advance();
    committer_.next();
}

void FleetOwner::send(const fleet::Orders& orders)
{
    for (const auto& order : orders.advice)
        sendQuestion(order);
    for (const auto& order : orders.starts)
        sendStart(order);
    for (const auto& order : orders.stops)
        sendStop(order);
    for (const auto& order : orders.paces)
        sendPace(order);
    for (const auto& order : orders.polls)
        sendLook(order);
}

void FleetOwner::sendStart(const fleet::StartOrder& order)
{
    fleet::RunKey key { order.task, order.run };
    environment_.workers.start(
        order, now() + orderTimeout, liveness_.guard([this, worker = order.worker, key](const OrderAnswer& answer) {
            if (isStopped_)
                return;
            if (answer.isFenced)
                return refuseAsFenced();
            fleet::applyStartOutcome(fleet_, worker, key, answer.outcome, bootNow());
            if (answer.outcome != fleet::OrderOutcome::Done)
                wake();
        }));
}

void FleetOwner::sendQuestion(const fleet::AdviceRequest& order)
{
    environment_.workers.requestAdvice(order, now() + adviceTimeout,
        liveness_.guard([this, order, sentAt = bootNow()](const fleet::AdviceAnswer& answer) {
            if (isStopped_)
                return;
            fleet::applyAdvice(fleet_, order, answer, sentAt, bootNow());
            wake();
        }));
}

void FleetOwner::sendStop(const fleet::StopOrder& order)
{
    fleet::RunKey key { order.task, order.run };
    environment_.workers.stop(
        order, now() + orderTimeout, liveness_.guard([this, worker = order.worker, key](const OrderAnswer& answer) {
            if (isStopped_)
                return;
            if (answer.isFenced)
                return refuseAsFenced();
            fleet::applyStopOutcome(fleet_, worker, key, answer.outcome, bootNow());
            wake();
        }));
}

void FleetOwner::sendPace(const fleet::PaceOrder& order)
{
    fleet::RunKey key { order.task, order.run };
    environment_.workers.setPace(order, now() + orderTimeout,
        liveness_.guard([this, worker = order.worker, key, percent = order.percent](const OrderAnswer& answer) {
            if (isStopped_)
                return;
            if (answer.isFenced)
                return refuseAsFenced();
            fleet::applyPaceOutcome(fleet_, worker, key, percent, answer.outcome, bootNow());
        }));
}

void FleetOwner::sendLook(const fleet::PollOrder& order)
{
    environment_.workers.poll(order, now() + order.wait + lookMargin,
        liveness_.guard([this, worker = order.worker](const PollResult& result) {
            if (isStopped_)
                return;
            if (result.isFenced)
                return refuseAsFenced();
            if (result.error)
                fleet::applyPollFailure(fleet_, worker, bootNow());
            else
                fleet::applyPollAnswer(fleet_, worker, result.answer, unixMillis(), bootNow());
            wake();
        }));
}

void FleetOwner::refuseAsFenced()
{
    environment_.deposed("worker_knows_later_owner");
}

bool FleetOwner::isAwaited() const
{
    return std::any_of(
        waiters_.begin(), waiters_.end(), [](const auto& each) { return each.second->answer != nullptr; });
}

void FleetOwner::afterCommit()
{
    answerCommitted();
    fleet::scheduleAcknowledgements(fleet_, bootNow());
    wake();
}

void FleetOwner::answerCommitted()
{
    auto end = waiters_.upper_bound(fleet_.committedSequence);
    std::vector<std::shared_ptr<Waiter>> ready;
    for (auto each = waiters_.begin(); each != end; ++each)
        ready.push_back(each->second);
    waiters_.erase(waiters_.begin(), end);
    for (auto& waiter : ready) {
        if (!waiter->answer)
            continue;
        auto answer = std::exchange(waiter->answer, nullptr);
        answer({ CallStatus::Ok, std::nullopt, std::nullopt, {} });
    }
}

void FleetOwner::call(const CallerRequest& request, const desired_state::Queue& queue, const std::string& tenant,
    Instant deadline, Answer answer)
{
    if (!isReady_ || isStopped_)
        return answer({ CallStatus::WrongNode, std::nullopt, std::nullopt, "the owner is loading" });
    switch (request.kind) {
    case CallKind::CountWaiting:
        return answer({ CallStatus::Ok, std::nullopt, fleet::waitingJobCount(fleet_, queue.name), {} });
    case CallKind::QueryState: {
        auto state = fleet::visibleState(fleet_, request.job, queue.name);
        return answer({ state ? CallStatus::Ok : CallStatus::NoSuchJob, state, std::nullopt, {} });
    }
    case CallKind::Cancel: {
        auto ticket = fleet::cancel(fleet_, request.job, queue.name, unixMillis(), bootNow());
        if (!ticket)
            return answer({ CallStatus::NoSuchJob, std::nullopt, std::nullopt, {} });
        await(*ticket, request, deadline, std::move(answer));
        break;
    }
    case CallKind::Submit: {
        auto spec = request.spec;
        spec.queue = queue.name;
        spec.tenant = tenant;
        auto ticket = fleet::submit(fleet_, std::move(spec), queue, unixMillis(), bootNow());
        await(ticket, request, deadline, std::move(answer));
        break;
    }
    }
    wake();
}

void FleetOwner::await(fleet::CommitSequence ticket, const CallerRequest& request, Instant deadline, Answer answer)
{
    if (ticket <= fleet_.committedSequence)
        return answer({ CallStatus::Ok, std::nullopt, std::nullopt, {} });
    auto waiter = std::make_shared<Waiter>(Waiter { request.job, request.kind, std::move(answer) });
    waiters_.emplace(ticket, waiter);
    auto timer = std::make_shared<Timer>(environment_.context);
    auto delay = std::max(Millis(0), elapsed(now(), deadline));
    timer->arm(std::min(delay, withdrawAfter), liveness_.guard([this, waiter, timer, delay] {
        refuseIfWithdrawn(waiter);
        auto left = std::max(Millis(0), delay - withdrawAfter);
        timer->arm(left, liveness_.guard([this, waiter, timer] { giveUp(waiter); }));
    }));
}

//! The store is slow or away. A submission whose record was not sent is taken back, and so has not been accepted: the
//! caller learns it at once.
void FleetOwner::refuseIfWithdrawn(const std::shared_ptr<Waiter>& waiter)
{
    if (!waiter->answer || waiter->kind != CallKind::Submit)
        return;
    // Another call with the same id may still be told that the job is accepted.
    bool isAwaited = std::any_of(waiters_.begin(), waiters_.end(), [&waiter](const auto& each) {
        return each.second != waiter && each.second->answer && each.second->job == waiter->job;
    });
    if (isAwaited || !fleet::withdraw(fleet_, waiter->job))
        return;
    auto answer = std::exchange(waiter->answer, nullptr);
    answer({ CallStatus::NotAccepted, std::nullopt, std::nullopt, "the store has not confirmed in time" });
}

//! The caller's time is over; what was sent to the store may yet become durable.
void FleetOwner::giveUp(const std::shared_ptr<Waiter>& waiter)
{
    refuseIfWithdrawn(waiter);
    if (!waiter->answer)
        return;
    auto answer = std::exchange(waiter->answer, nullptr);
    answer({ CallStatus::OutcomeUnknown, std::nullopt, std::nullopt, "the store has not confirmed in time" });
}

} // namespace agatevane::node
