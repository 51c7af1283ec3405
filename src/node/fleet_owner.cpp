#include "node/fleet_owner.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/leases.h"
#include "agatevane/fleet/pacing.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis tickInterval { 50 };
    //! Placement also runs without an event, because it depends on time: waiting periods end and jobs become due.
    constexpr Millis maxPlacementInterval { 200 };
    constexpr Millis minPlacementInterval { 10 };
    //! Events within this time share one round of decisions.
    constexpr Millis advanceDelay { 3 };
    constexpr Millis orderTimeout { 500 };
    //! Long, because the advice service answers the calls of one machine one after the other.
    constexpr Millis adviceTimeout { 5000 };
    //! Time beyond `wait`, for which a worker may delay the answer to a poll.
    constexpr Millis pollMargin { 600 };
    //! Each worker reports about once a second.
    constexpr PrefixFollower::WatchTimes workersWatch { Millis(1000), Millis(400) };
    constexpr Millis pruneInterval { 10000 };

    fleet::FailedPoll effectOf(std::error_code error)
    {
        return error == Errc::Unreachable ? fleet::FailedPoll::NotCarriedOut : fleet::FailedPoll::MayBeCarriedOut;
    }

} // namespace

FleetOwner::FleetOwner(const Environment& environment, const fleet::Limits& limits, std::uint32_t tenure,
    kv::Revision commitRevision, const desired_state::DesiredState& desired)
    : environment_(environment)
    , committer_(environment.context, environment.store, fleet_, commitRevision,
          { [this] { handleCommit(); }, environment.ownershipLost, [this] { return hasWaitingCaller(); },
              [this](fleet::CommitSequence sequence) { refuseSubmission(sequence); } })
    , runTimeRecorder_(fleet_, committer_)
    , tenureCheck_(environment.context, environment.store, tenure)
    , tickTimer_(environment.context)
    , advanceTimer_(environment.context)
    , loader_(environment.context, environment.store, environment.translation.workerPrefix,
          limits.evacuationBound ? environment.translation.evacuationPrefix : std::string(),
          fleet::areStopsCostly(limits))
    , workersFollower_(environment.context, environment.store, environment.translation.workerPrefix, workersWatch,
          { [this](const kv::ReadResult& listed) {
               applyListings(listed);
               scheduleAdvance();
           },
              [this](const std::vector<kv::Change>& changes) { applyWorkerChanges(changes); } })
{
    fleet_.limits = limits;
    fleet_.tenure = tenure;
    fleet_.fencingToken = tenure;
    fleet_.desired = desired;
    fleet_.tookOverAt = bootNow();
    if (environment.machines)
        upkeepController_ = std::make_unique<UpkeepController>(
            UpkeepController::Environment { environment.context, environment.store, *environment.machines,
                environment.translation, fleet_, committer_, [this] { return isOwnershipConfirmed(); } });
    if (limits.evacuationBound)
        evacuationFeed_ = std::make_unique<EvacuationFeed>(
            environment.context, environment.store, environment.translation, fleet_, [this] { scheduleAdvance(); });
}

void FleetOwner::start()
{
    loader_.start([this](StoredFleet stored) { load(std::move(stored)); });
}

void FleetOwner::stop()
{
    isStopped_ = true;
    loader_.stop();
    workersFollower_.stop();
    committer_.stop();
    if (upkeepController_)
        upkeepController_->stop();
    if (evacuationFeed_)
        evacuationFeed_->stop();
    auto waiters = waiters_;
    for (auto& [sequence, waiter] : waiters)
        passToNextOwner(waiter);
    waiters_.clear();
    tenureCheck_.stop();
}

void FleetOwner::applyDesiredState(const desired_state::DesiredState& desired)
{
    fleet::applyDesiredState(fleet_, desired);
    scheduleAdvance();
}

void FleetOwner::tick()
{
    if (isStopped_)
        return;
    tickTimer_.arm(tickInterval, [this] { tick(); });
    auto unixMs = unixMillis();
    if (unixMs >= nextPruneUnixMs_) {
        nextPruneUnixMs_ = unixMs + pruneInterval.count();
        auto at = bootNow();
        fleet::pruneEnded(fleet_, unixMs, at);
        fleet::pruneDenials(fleet_, at);
    }
    advance();
    workersFollower_.reportSilence(bootNow());
    if (isReady_)
        invariantReporter_.checkIfDue(fleet_, bootNow());
}

//! Events in quick succession lead to a single round of decisions.
void FleetOwner::scheduleAdvance()
{
    if (std::exchange(isAdvanceScheduled_, true))
        return;
    advanceTimer_.arm(advanceDelay, [this] {
        isAdvanceScheduled_ = false;
        advance();
    });
}

void FleetOwner::updateOwnership(Instant at)
{
    bool wasConfirmed = isStartingRuns_;
    fleet_.leasesEndBy = environment_.ownershipEndsBy();
    fleet_.confirmedUntil = environment_.ownershipConfirmedUntil();
    isStartingRuns_ = fleet::isOwnershipConfirmed(fleet_, at);
    if (isStartingRuns_ && !wasConfirmed && evacuationFeed_)
        evacuationFeed_->refresh();
    if (isStartingRuns_ != wasConfirmed)
        Line(isStartingRuns_ ? "starts_resumed" : "starts_held")
            .with("tenure", fleet_.tenure)
            .with("reason", isStartingRuns_ ? "ownership_confirmed" : "ownership_not_confirmed")
            .with("leases_end_in_ms", elapsed(at, fleet_.leasesEndBy).count());
}

void FleetOwner::advance()
{
    if (isStopped_ || !isReady_)
        return;
    auto at = bootNow();
    updateOwnership(at);
    if (evacuationFeed_)
        evacuationFeed_->update(at);
    bool mayPlace = at - lastPlacementAt_ >= placementInterval_;
    if (at - lastPlacementAt_ >= maxPlacementInterval)
        fleet_.isPlacementDue = true;
    bool isDue = fleet_.isPlacementDue;
    fleet_.isPlacementDue = isDue && mayPlace;
    bool isPlacing = fleet_.isPlacementDue;
    send(fleet::advance(fleet_, unixMillis(), at));
    if (isPlacing) {
        // Longer placement rounds run less often, so that the event loop has time for callers.
        lastPlacementAt_ = bootNow();
        placementInterval_ = std::clamp(elapsed(at, lastPlacementAt_) * 4, minPlacementInterval, maxPlacementInterval);
    } else if (isDue) {
        fleet_.isPlacementDue = true;
    }
    if (upkeepController_)
        upkeepController_->advance();
    runTimeRecorder_.saveIfDue(at);
    committer_.commitPending();
}

void FleetOwner::send(const fleet::Orders& orders)
{
    for (const auto& request : orders.advice)
        sendAdviceRequest(request);
    for (const auto& order : orders.starts)
        sendStart(order);
    for (const auto& order : orders.stops)
        sendStop(order);
    for (const auto& order : orders.paces)
        sendPace(order);
    for (const auto& order : orders.polls)
        sendPoll(order);
}

void FleetOwner::sendStart(const fleet::StartOrder& order)
{
    fleet::RunKey key { order.task, order.run };
    environment_.workers.start(order, now() + fleet_.limits.startAnswerTimeout,
        liveness_.guard([this, worker = order.worker, key](const OrderAnswer& answer) {
            if (isStopped_)
                return;
            if (answer.isFenced)
                return handleFencedAnswer();
            fleet::applyStartOutcome(fleet_, worker, key, answer.outcome, bootNow());
            if (answer.outcome != fleet::OrderOutcome::Done)
                scheduleAdvance();
        }));
}

void FleetOwner::sendAdviceRequest(const fleet::AdviceRequest& request)
{
    environment_.workers.requestAdvice(request, now() + adviceTimeout,
        liveness_.guard([this, request, sentAt = bootNow()](const fleet::AdviceAnswer& answer) {
            if (isStopped_)
                return;
            fleet::applyAdvice(fleet_, request, answer, sentAt, bootNow());
            scheduleAdvance();
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
                return handleFencedAnswer();
            fleet::applyStopOutcome(fleet_, worker, key, answer.outcome, bootNow());
            scheduleAdvance();
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
                return handleFencedAnswer();
            fleet::applyPaceOutcome(fleet_, worker, key, percent, answer.outcome, bootNow());
        }));
}

void FleetOwner::sendPoll(const fleet::PollOrder& order)
{
    environment_.workers.poll(order, now() + order.wait + pollMargin,
        liveness_.guard([this, worker = order.worker](const PollResult& result) {
            if (isStopped_)
                return;
            if (result.isFenced)
                return handleFencedAnswer();
            if (result.error)
                fleet::applyPollFailure(fleet_, worker, bootNow(), effectOf(result.error));
            else
                fleet::applyPollAnswer(fleet_, worker, result.answer, unixMillis(), bootNow());
            scheduleAdvance();
        }));
}

void FleetOwner::handleFencedAnswer()
{
    environment_.ownershipLost("worker_knows_later_owner");
}

void FleetOwner::handleCommit()
{
    answerCommittedCallers();
    fleet::scheduleAcknowledgements(fleet_, bootNow());
    scheduleAdvance();
}

} // namespace agatevane::node
