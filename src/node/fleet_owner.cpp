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
    //! A submission that has not been sent to the store after this time is withdrawn, so that the caller can try again.
    constexpr Millis withdrawDelay { 800 };
    //! Time in which a denial has to become durable: one call to the store, and the next if its answer is lost.
    constexpr Millis denialTimeout { 1500 };

    fleet::FailedPoll effectOf(std::error_code error)
    {
        return error == Errc::Unreachable ? fleet::FailedPoll::NotCarriedOut : fleet::FailedPoll::MayBeCarriedOut;
    }

} // namespace

FleetOwner::FleetOwner(const Environment& environment, const fleet::Limits& limits, std::uint32_t tenure,
    kv::Revision commitRevision, const desired_state::DesiredState& desired)
    : environment_(environment)
    , committer_(environment.context, environment.store, fleet_, commitRevision,
          { [this] { handleCommit(); }, environment.ownershipLost, [this] { return hasWaitingCaller(); } })
    , tenureCheck_(environment.context, environment.store, tenure)
    , tickTimer_(environment.context)
    , advanceTimer_(environment.context)
    , loader_(environment.context, environment.store, environment.translation.workerPrefix)
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

bool FleetOwner::hasWaitingCaller() const
{
    return std::any_of(
        waiters_.begin(), waiters_.end(), [](const auto& each) { return each.second->answer != nullptr; });
}

void FleetOwner::handleCommit()
{
    answerCommittedCallers();
    fleet::scheduleAcknowledgements(fleet_, bootNow());
    scheduleAdvance();
}

void FleetOwner::answerCommittedCallers()
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
        answer(durableAnswer(*waiter));
    }
}

//! The answer to a caller whose change is durable.
CallerAnswer FleetOwner::durableAnswer(const Waiter& waiter)
{
    if (waiter.awaited != Awaited::Denial)
        return { CallStatus::Ok, std::nullopt, std::nullopt, {} };
    // A submission may have overtaken the cancellation, which is then asked again.
    if (fleet_.jobs.contains(waiter.job))
        return { CallStatus::WrongNode, std::nullopt, std::nullopt, "the job has just been submitted" };
    // This process may have been paused since the store applied the write, and a later owner have accepted the job.
    if (!isOwnershipConfirmed())
        return { CallStatus::WrongNode, std::nullopt, std::nullopt, "the ownership is not confirmed" };
    fleet::noteDenialAnswered(fleet_, waiter.job, bootNow());
    return { CallStatus::NoSuchJob, std::nullopt, std::nullopt, {} };
}

void FleetOwner::call(const CallerRequest& request, const desired_state::Queue& queue, const std::string& tenant,
    Instant deadline, Answer answer)
{
    if (!isReady_ || isStopped_)
        return answer({ CallStatus::WrongNode, std::nullopt, std::nullopt, "the owner is loading" });
    if (request.kind != CallKind::CountWaiting && fleet_.unreadableJobs.contains(request.job))
        return answer(unreadableJob(request.kind));
    switch (request.kind) {
    case CallKind::CountWaiting:
        return answer({ CallStatus::Ok, std::nullopt, fleet::waitingJobCount(fleet_, queue.name), {} });
    case CallKind::QueryState: {
        auto state = fleet::visibleState(fleet_, request.job);
        if (!state)
            return denyIfProven(request, deadline, std::move(answer));
        if (!mayAskFor(request.job, queue, tenant))
            return answer(jobOfOtherTenant());
        return answer({ CallStatus::Ok, state, std::nullopt, {} });
    }
    case CallKind::Cancel: {
        if (!mayAskFor(request.job, queue, tenant))
            return answer(jobOfOtherTenant());
        auto sequence = fleet::cancel(fleet_, request.job, unixMillis(), bootNow());
        if (sequence)
            awaitCommit(*sequence, { request.job, Awaited::Cancellation, std::move(answer) }, deadline);
        else
            denyCancellation(request, deadline, std::move(answer));
        break;
    }
    case CallKind::Submit:
        submit(request, queue, tenant, deadline, std::move(answer));
        break;
    }
    scheduleAdvance();
}

void FleetOwner::submit(const CallerRequest& request, const desired_state::Queue& queue, const std::string& tenant,
    Instant deadline, Answer answer)
{
    if (mayPrecedeDenial(request))
        return answer({ CallStatus::NotAccepted, std::nullopt, std::nullopt, "a later cancellation was answered" });
    auto spec = request.spec;
    spec.queue = queue.name;
    spec.tenant = tenant;
    auto sequence = fleet::submit(fleet_, std::move(spec), queue, unixMillis(), bootNow());
    awaitCommit(sequence, { request.job, Awaited::Acceptance, std::move(answer) }, deadline);
}

//! True if the submission may have reached a node before a cancellation of the job was answered with "no such job". The
//! caller of that cancellation may count on the job not to run. A caller that submits the job anew after that answer
//! is not meant.
bool FleetOwner::mayPrecedeDenial(const CallerRequest& submission) const
{
    auto deniedUntil = fleet::deniedUntil(fleet_, submission.job);
    return deniedUntil && (!submission.receivedAfter || *submission.receivedAfter < *deniedUntil);
}

//! There is no such job. This is answered once the denial is durable, so that later owners know of it, too; the commit
//! also proves that there was no later owner before it.
void FleetOwner::denyCancellation(const CallerRequest& request, Instant deadline, Answer answer)
{
    if (!isOwnershipConfirmed())
        return answer({ CallStatus::WrongNode, std::nullopt, std::nullopt, "the ownership is not confirmed" });
    auto sequence = fleet::queueDenial(fleet_, request.job, bootNow());
    if (!sequence)
        return answer(
            { CallStatus::NotAccepted, std::nullopt, std::nullopt, "too many cancellations of unknown jobs" });
    auto answerBy = std::min(deadline, now() + denialTimeout);
    awaitCommit(*sequence, { request.job, Awaited::Denial, std::move(answer) }, answerBy);
}

//! The desired state may have given the prefix of the job's queue to another queue. So a caller may ask through any
//! queue with a key of the job's tenant; without one, if the job has no tenant, or if the asked queue needs no key and
//! the job's own queue, through which all keys may ask, is gone. True if there is no such job.
bool FleetOwner::mayAskFor(const fleet::JobId& id, const desired_state::Queue& queue, const std::string& tenant)
{
    const auto* job = fleet::findJob(fleet_, id);
    if (!job || job->spec.queue == queue.name || job->spec.tenant.empty() || job->spec.tenant == tenant)
        return true;
    return queue.allowsAnonymous && !desired_state::findQueueByName(fleet_.desired, job->spec.queue);
}

//! The job exists, so that it is not denied; the caller learns nothing else of it.
CallerAnswer FleetOwner::jobOfOtherTenant()
{
    return { CallStatus::NotAccepted, std::nullopt, std::nullopt, "the key is not of the job's tenant" };
}

//! Answers a question about a job that this owner does not know. A later owner may have accepted it, so that there is
//! no such job only if the store says, after the question, that there is no later owner.
void FleetOwner::denyIfProven(const CallerRequest& request, Instant deadline, Answer answer)
{
    const auto& job = request.job;
    if (!isOwnershipConfirmed())
        return answer({ CallStatus::WrongNode, std::nullopt, std::nullopt, "the ownership is not confirmed" });
    bool wasKnown = fleet_.jobs.contains(job);
    tenureCheck_.ask(deadline, liveness_.guard([this, job, wasKnown, answer = std::move(answer)](TenureState state) {
        // A submission may have overtaken the question, which is then asked again.
        if (fleet_.jobs.contains(job) && !wasKnown)
            return answer({ CallStatus::WrongNode, std::nullopt, std::nullopt, "the job has just been submitted" });
        if (state == TenureState::Current)
            return answer({ CallStatus::NoSuchJob, std::nullopt, std::nullopt, {} });
        answer({ CallStatus::WrongNode, std::nullopt, std::nullopt, "the ownership is not confirmed" });
        if (state == TenureState::Replaced && !isStopped_)
            environment_.ownershipLost("store_knows_later_owner");
    }));
}

//! The answer about a job whose records this owner can't read. It exists, so that it is not denied; it may have ended,
//! so that neither its state is told nor a cancellation stored; and an earlier submission may have been accepted.
CallerAnswer FleetOwner::unreadableJob(CallKind kind)
{
    auto status = kind == CallKind::Submit ? CallStatus::OutcomeUnknown : CallStatus::NotAccepted;
    return { status, std::nullopt, std::nullopt, "the job's record can't be read" };
}

void FleetOwner::awaitCommit(fleet::CommitSequence sequence, Waiter awaiting, Instant deadline)
{
    if (sequence <= fleet_.committedSequence)
        return awaiting.answer(durableAnswer(awaiting));
    auto waiter = std::make_shared<Waiter>(std::move(awaiting));
    waiters_.emplace(sequence, waiter);
    auto timer = std::make_shared<Timer>(environment_.context);
    auto delay = std::max(Millis(0), elapsed(now(), deadline));
    timer->arm(std::min(delay, withdrawDelay), liveness_.guard([this, waiter, timer, delay] {
        withdrawAndRefuse(waiter);
        auto left = std::max(Millis(0), delay - withdrawDelay);
        timer->arm(left, liveness_.guard([this, waiter, timer] { timeOut(waiter); }));
    }));
}

//! Withdraws a submission whose record was not sent to the store. It is then certain that the job is not accepted here.
bool FleetOwner::withdraw(const Waiter& waiter)
{
    if (waiter.awaited != Awaited::Acceptance)
        return false;
    // Another call with the same id waits for the same record and may still be answered that the job is accepted.
    bool isAwaitedByOtherCall = std::any_of(waiters_.begin(), waiters_.end(), [&waiter](const auto& each) {
        return each.second.get() != &waiter && each.second->answer && each.second->job == waiter.job;
    });
    return !isAwaitedByOtherCall && fleet::withdraw(fleet_, waiter.job);
}

//! Called when the store is slow or unavailable, so that the caller learns at once that the job is not accepted.
void FleetOwner::withdrawAndRefuse(const std::shared_ptr<Waiter>& waiter)
{
    if (!waiter->answer || !withdraw(*waiter))
        return;
    auto answer = std::exchange(waiter->answer, nullptr);
    answer({ CallStatus::NotAccepted, std::nullopt, std::nullopt, "the store has not confirmed in time" });
}

//! The ownership has ended. The caller may have time left in which the next owner can serve the call.
void FleetOwner::passToNextOwner(const std::shared_ptr<Waiter>& waiter)
{
    if (!waiter->answer)
        return;
    bool hasNoEffect = waiter->awaited == Awaited::Denial || withdraw(*waiter);
    auto status = hasNoEffect ? CallStatus::WrongNode : CallStatus::OwnershipEnded;
    auto answer = std::exchange(waiter->answer, nullptr);
    answer({ status, std::nullopt, std::nullopt, "the ownership has ended" });
}

//! The caller's deadline has passed. A change that was sent to the store may still become durable.
void FleetOwner::timeOut(const std::shared_ptr<Waiter>& waiter)
{
    withdrawAndRefuse(waiter);
    if (!waiter->answer)
        return;
    // There is no job that the cancellation could have ended.
    auto status = waiter->awaited == Awaited::Denial ? CallStatus::NotAccepted : CallStatus::OutcomeUnknown;
    auto answer = std::exchange(waiter->answer, nullptr);
    answer({ status, std::nullopt, std::nullopt, "the store has not confirmed in time" });
}

} // namespace agatevane::node
