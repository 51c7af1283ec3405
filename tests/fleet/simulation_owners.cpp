//! The part of FleetSimulation that runs the simulated owners and carries their orders and commits.
#include "simulation.h"

#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/pacing.h"
#include "agatevane/fleet/progress_parts.h"
#include "agatevane/fleet/record.h"
#include "agatevane/fleet/worker_record.h"

namespace agatevane::test {

namespace {

    constexpr std::int64_t commitMs = 12;
    constexpr std::int64_t answerTimeoutMs = 500;
    //! An owner that the store has not confirmed for this long steps down, and gives no lease beyond that.
    constexpr std::int64_t maxUnconfirmedMs = 8000;
    //! The store may elect another owner this long after it has last confirmed the ownership.
    constexpr std::int64_t storeLeaseMs = 1500;

    std::set<fleet::WorkerId> idsOf(const std::vector<fleet::WorkerListing>& listings)
    {
        std::set<fleet::WorkerId> ids;
        for (const auto& listing : listings)
            ids.insert(listing.id);
        return ids;
    }

    template <typename Order> std::string describeRunOrder(const char* kind, const Order& order)
    {
        return std::string(kind) + " " + toString(order.task) + " run " + std::to_string(order.run) + " on "
            + order.worker + "\n";
    }

    //! All orders in the order in which they are sent, with what depends on the state of the worker.
    std::string describeOrders(const fleet::Orders& orders)
    {
        std::string text;
        for (const auto& order : orders.starts)
            text += describeRunOrder("start", order) + std::to_string(order.leaseUntilMs) + order.checkpoint + "\n";
        for (const auto& order : orders.stops)
            text += describeRunOrder("stop", order);
        for (const auto& order : orders.paces)
            text += describeRunOrder("pace", order) + std::to_string(order.percent) + "\n";
        for (const auto& order : orders.polls)
            text += "poll " + order.worker + " " + std::to_string(order.lastAcknowledgedEnd) + " "
                + std::to_string(order.leaseUntilMs.value_or(0)) + " " + std::to_string(order.wait.count()) + "\n";
        return text;
    }

} // namespace

void FleetSimulation::replaceOwner()
{
    if (!current_)
        return;
    current_->isReplaced = true;
    if (options_.overlapMs > 0 || options_.storeUnavailableMs > 0)
        lastSuccessionMs_ = nowMs_;
    if (options_.overlapMs > 0) {
        current_->stopsAtMs = nowMs_ + uniform(random_, 0, options_.overlapMs);
        earlierOwners_.push_back(current_);
    } else {
        current_->isStopped = true;
    }
}

void FleetSimulation::inheritJobs()
{
    for (const auto& [key, record] : store_) {
        if (!key.starts_with(fleet::acceptancePrefix))
            continue;
        auto job = fleet::decodeAcceptance(record);
        if (!job) {
            reportViolation("an acceptance record can't be read");
            continue;
        }
        auto progress = store_.find(fleet::progressPrefix + job->spec.id);
        if (progress != store_.end() && !fleet::decodeProgress(progress->second, *job))
            reportViolation("a progress record can't be read");
        inheritParts(*job);
        fleet::inherit(fleet(), std::move(*job), nowMs_, at(nowMs_));
    }
}

void FleetSimulation::inheritParts(fleet::Job& job)
{
    for (const auto& [key, record] : store_) {
        auto name = fleet::readPartKey(key);
        if (name && name->job == job.spec.id && !fleet::inheritPart(record, name->number, job))
            reportViolation("a part of a job can't be read");
    }
}

void FleetSimulation::takeOver()
{
    replaceOwner();
    auto cancels = current_ ? current_->unacknowledgedCancels : std::map<fleet::JobId, fleet::CommitSequence> {};
    current_ = std::make_shared<Owner>();
    auto& fleet = current_->fleet;
    fleet.tenure = ++storeTenure_;
    fleet.fencingToken = storeTenure_;
    fleet.tookOverAt = at(nowMs_);
    fleet.limits.maxLease = Millis(options_.maxLeaseMs);
    fleet.limits.maxValueBytes = options_.maxValueBytes;
    fleet.doStartsNeedNaming = true;
    for (const auto& [id, queue] : queues_)
        fleet.desired.queues.push_back(queue);
    inheritJobs();
    fleet::addKnownWorkers(fleet, storedWorkers_, at(nowMs_));
    fleet::applyFullList(fleet, listings(), at(nowMs_));
    fleet.haveWorkersChanged = true;
    // Callers submit the jobs again that the earlier owner has not made durable, and cancel again.
    for (const auto& [id, spec] : specs_) {
        if (!store_.contains(fleet::acceptancePrefix + id))
            fleet::submit(fleet, spec, queues_.at(id), nowMs_, at(nowMs_));
    }
    for (const auto& [id, sequence] : cancels)
        cancel(id);
}

void FleetSimulation::step()
{
    injectFaults();
    workers_.advance(nowMs_);
    if (nowMs_ % 200 < tickMs)
        fleet().isPlacementDue = true;
    // An earlier owner no longer reaches the store.
    if (nowMs_ % 1000 < tickMs) {
        fleet::applyFullList(fleet(), listings(), at(nowMs_));
        fleet().haveWorkersChanged = true;
    }
    stepOwner(current_);
    std::erase_if(earlierOwners_, [this](const OwnerPointer& owner) {
        owner->isStopped = owner->isStopped || nowMs_ >= owner->stopsAtMs;
        return owner->isStopped;
    });
    for (const auto& owner : earlierOwners_) {
        owner->fleet.isPlacementDue = owner->fleet.isPlacementDue || nowMs_ % 200 < tickMs;
        stepOwner(owner);
    }
    noteReach();
    noteHarm();
    noteRuns();
    checkCapacity();
    checkActiveCounts();
}

void FleetSimulation::stepOwner(const OwnerPointer& owner)
{
    if (!owner->isReplaced && nowMs_ < nextTakeoverMs_ - options_.storeUnavailableMs)
        owner->confirmedMs = nowMs_;
    if (options_.overlapMs > 0) {
        owner->fleet.leasesEndBy = at(owner->confirmedMs + maxUnconfirmedMs);
        owner->fleet.confirmedUntil = at(owner->confirmedMs + storeLeaseMs);
    }
    auto orders = advance(*owner);
    for (const auto& order : orders.starts)
        sendStart(owner, order);
    for (const auto& order : orders.stops)
        sendStop(owner, order);
    for (const auto& order : orders.paces)
        sendPace(owner, order);
    for (const auto& order : orders.polls)
        sendPoll(owner, order);
    commit(owner);
    for (const auto& violation : fleet::takeNewViolations(owner->invariants, owner->fleet, at(nowMs_)))
        reportViolation(toString(violation));
}

fleet::Orders FleetSimulation::advance(Owner& owner)
{
    if (!options_.comparesWithFullRounds)
        return fleet::advance(owner.fleet, nowMs_, at(nowMs_));
    auto copy = owner.fleet;
    fleet::markAllDue(copy);
    auto expected = describeOrders(fleet::advance(copy, nowMs_, at(nowMs_)));
    auto orders = fleet::advance(owner.fleet, nowMs_, at(nowMs_));
    if (auto actual = describeOrders(orders); actual != expected)
        reportViolation("a full round gives " + expected + "instead of " + actual);
    if (copy.workers.size() != owner.fleet.workers.size())
        reportViolation("a full round knows other workers");
    return orders;
}

void FleetSimulation::applyFence(Owner& owner, bool isFenced)
{
    owner.isStopped = owner.isStopped || (owner.isReplaced && isFenced);
}

void FleetSimulation::sendStart(const OwnerPointer& owner, const fleet::StartOrder& order)
{
    fleet::RunKey key { order.task, order.run };
    auto answer = [this, owner, order, key](fleet::OrderOutcome outcome) {
        if (!owner->isStopped)
            fleet::applyStartOutcome(owner->fleet, order.worker, key, outcome, at(nowMs_));
    };
    auto unanswered = [this, answer] { schedule(answerTimeoutMs, [answer] { answer(fleet::OrderOutcome::Unknown); }); };
    if (isLost(order.worker))
        return unanswered();
    if (occurs(options_.lateOrderShare)) {
        harmedMs_[order.worker] = nowMs_;
        schedule(uniform(random_, 1000, options_.maxLateMs), [this, owner, order, sentMs = nowMs_] {
            if (takesLateOrder(*owner, order.worker))
                carryOutStart(*owner, order, sentMs);
        });
        return unanswered();
    }
    schedule(delay(), [this, owner, order, answer, unanswered, sentMs = nowMs_] {
        if (!isReachable(*owner, order.worker))
            return unanswered();
        checkStart(order);
        auto outcome = carryOutStart(*owner, order, sentMs);
        if (isAnswerLost(options_.lostStartAnswerShare, order.worker))
            return unanswered();
        schedule(delay(), [owner, answer, outcome] {
            applyFence(*owner, outcome.isFenced);
            answer(outcome.outcome);
        });
    });
}

standin::StartOutcome FleetSimulation::carryOutStart(
    const Owner& owner, const fleet::StartOrder& order, std::int64_t sentMs)
{
    auto position = workers_.history().size();
    auto outcome = workers_.start(order, nowMs_);
    if (workers_.history().size() > position)
        startNotes_[position] = { sentMs, owner.fleet.tenure, knownState(order.worker), isKnownDone(order.task) };
    return outcome;
}

void FleetSimulation::sendStop(const OwnerPointer& owner, const fleet::StopOrder& order)
{
    fleet::RunKey key { order.task, order.run };
    auto answer = [this, owner, order, key](fleet::OrderOutcome outcome) {
        if (!owner->isStopped)
            fleet::applyStopOutcome(owner->fleet, order.worker, key, outcome, at(nowMs_));
    };
    schedule(delay(), [this, owner, order, answer] {
        if (!isReachable(*owner, order.worker) || isLost(order.worker)) {
            schedule(answerTimeoutMs, [answer] { answer(fleet::OrderOutcome::Unknown); });
            return;
        }
        auto outcome = workers_.stop(order, nowMs_);
        if (isAnswerLost(options_.lostStopAnswerShare, order.worker)) {
            schedule(answerTimeoutMs, [answer] { answer(fleet::OrderOutcome::Unknown); });
            return;
        }
        schedule(delay(), [owner, answer, outcome] {
            applyFence(*owner, outcome.isFenced);
            answer(outcome.outcome);
        });
    });
}

void FleetSimulation::sendPace(const OwnerPointer& owner, const fleet::PaceOrder& order)
{
    auto answer = [this, owner, order](fleet::OrderOutcome outcome) {
        if (!owner->isStopped)
            fleet::applyPaceOutcome(
                owner->fleet, order.worker, { order.task, order.run }, order.percent, outcome, at(nowMs_));
    };
    schedule(delay(), [this, owner, order, answer] {
        if (!isReachable(*owner, order.worker) || isLost(order.worker)) {
            schedule(answerTimeoutMs, [answer] { answer(fleet::OrderOutcome::Unknown); });
            return;
        }
        auto outcome = workers_.pace(order, nowMs_);
        schedule(delay(), [owner, answer, outcome] {
            applyFence(*owner, outcome.isFenced);
            answer(outcome.outcome);
        });
    });
}

void FleetSimulation::sendPoll(const OwnerPointer& owner, const fleet::PollOrder& order)
{
    if (options_.latePollShare > 0 && occurs(options_.latePollShare))
        return sendLatePoll(owner, order);
    // The modelled worker answers at once; the poll is delayed instead of waiting for an end.
    auto wait = std::min<std::int64_t>(order.wait.count(), 100);
    schedule(delay() + wait, [this, owner, order] {
        if (owner->isStopped)
            return;
        auto unanswered = [this, owner, order] {
            schedule(answerTimeoutMs, [this, owner, order] {
                if (!owner->isStopped)
                    fleet::applyPollFailure(owner->fleet, order.worker, at(nowMs_));
            });
        };
        if (!isReachable(*owner, order.worker) || isLost(order.worker))
            return unanswered();
        auto outcome = workers_.poll(order, nowMs_);
        if (isAnswerLost(options_.lostPollAnswerShare, order.worker))
            return unanswered();
        schedule(delay(), [this, owner, order, outcome, answeredMs = nowMs_] {
            applyFence(*owner, outcome.isFenced);
            if (owner->isStopped || outcome.isFenced)
                return;
            fleet::applyPollAnswer(owner->fleet, order.worker, outcome.answer, nowMs_, at(nowMs_));
            owner->answeredMs[order.worker] = answeredMs;
        });
    });
}

void FleetSimulation::sendLatePoll(const OwnerPointer& owner, const fleet::PollOrder& order)
{
    harmedMs_[order.worker] = nowMs_;
    schedule(uniform(random_, 1000, options_.maxLateMs), [this, owner, order] {
        if (takesLateOrder(*owner, order.worker))
            workers_.poll(order, nowMs_);
    });
    schedule(order.wait.count() + answerTimeoutMs, [this, owner, order] {
        if (!owner->isStopped)
            fleet::applyPollFailure(owner->fleet, order.worker, at(nowMs_));
    });
}

void FleetSimulation::commit(const OwnerPointer& owner)
{
    if (owner->isCommitting)
        return;
    auto batch = fleet::takeBatch(owner->fleet, 30);
    std::optional<std::vector<fleet::WorkerListing>> workers;
    if (std::exchange(owner->fleet.haveWorkersChanged, false)) {
        workers = fleet::workersToName(owner->fleet, at(nowMs_));
        fleet::beginNaming(owner->fleet, idsOf(*workers));
    }
    if (batch.writes.empty() && !workers)
        return;
    kv::Txn txn;
    fleet::encodeBatch(batch, txn);
    owner->isCommitting = true;
    schedule(commitMs, [this, owner, txn, batch, workers] {
        // The commit key rejects the writes of an earlier owner, and an unavailable store applies nothing.
        if (owner->isReplaced || nowMs_ >= nextTakeoverMs_ - options_.storeUnavailableMs)
            return;
        applyCommitted(owner, txn, batch);
        if (workers) {
            storedWorkers_ = *workers;
            fleet::completeNaming(owner->fleet, idsOf(*workers));
        }
    });
}

void FleetSimulation::applyCommitted(const OwnerPointer& owner, const kv::Txn& txn, const fleet::WriteBatch& batch)
{
    for (const auto& put : txn.puts)
        store_[put.key] = put.value;
    for (const auto& key : txn.deletes)
        store_.erase(key);
    owner->isCommitting = false;
    fleet::applyCommitted(owner->fleet, batch);
    fleet::scheduleAcknowledgements(owner->fleet, at(nowMs_));
    acknowledgeCancels(*owner);
}

void FleetSimulation::acknowledgeCancels(Owner& owner)
{
    std::erase_if(owner.unacknowledgedCancels, [this, &owner](const auto& each) {
        const auto& [job, sequence] = each;
        if (!fleet::isCommitted(owner.fleet, sequence))
            return false;
        if (stateOf(job) == fleet::VisibleState::Cancelled)
            cancelledMs_.emplace(job, nowMs_);
        return true;
    });
}

} // namespace agatevane::test
