//! The part of FleetOwner that answers callers: decisions on their requests, and answers once these are durable.
#include "node/fleet_owner.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    //! A submission that has not been sent to the store after this time is withdrawn, so that the caller can try again.
    constexpr Millis withdrawDelay { 800 };
    //! Time in which a denial has to become durable: one call to the store, and the next if its answer is lost.
    constexpr Millis denialTimeout { 1500 };

} // namespace

bool FleetOwner::hasWaitingCaller() const
{
    return std::any_of(
        waiters_.begin(), waiters_.end(), [](const auto& each) { return each.second->answer != nullptr; });
}

void FleetOwner::answerCommittedCallers()
{
    auto end = waiters_.upper_bound(fleet_.committedSequence);
    std::vector<std::shared_ptr<Waiter>> ready;
    for (auto each = waiters_.begin(); each != end;) {
        if (!fleet::isCommitted(fleet_, each->first)) {
            ++each;
            continue;
        }
        ready.push_back(each->second);
        each = waiters_.erase(each);
    }
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
    auto bytes = fleet::acceptanceBytes(spec);
    if (bytes > fleet_.limits.maxValueBytes)
        return answer({ CallStatus::Malformed, std::nullopt, std::nullopt,
            "the job's record would have " + std::to_string(bytes) + " bytes, which the store does not take" });
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
    if (fleet::isCommitted(fleet_, sequence))
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

//! The store does not take the records of the submission with this write, so that there is no such job.
void FleetOwner::refuseSubmission(fleet::CommitSequence sequence)
{
    auto [begin, end] = waiters_.equal_range(sequence);
    std::vector<std::shared_ptr<Waiter>> refused;
    for (auto each = begin; each != end; ++each)
        refused.push_back(each->second);
    waiters_.erase(begin, end);
    for (auto& waiter : refused) {
        if (auto answer = std::exchange(waiter->answer, nullptr))
            answer({ CallStatus::Malformed, std::nullopt, std::nullopt, "the store does not take the job's record" });
    }
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
