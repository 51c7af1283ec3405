#include "polled_fleet.h"

#include <set>
#include <utility>

namespace agatevane::test {

namespace {

    constexpr std::int64_t recheckMs = 10;
    constexpr std::int64_t pollTimeoutMs = 600;
    constexpr std::int64_t listIntervalMs = 200;

} // namespace

PolledFleet::PolledFleet()
{
    fleet_.tenure = 1;
    fleet_.fencingToken = 1;
    fleet_.tookOverAt = instantAt(0);
    fleet_.desired.queues.push_back(queue_);
    for (const auto* id : { "w1", "w2", "w3" }) {
        fleet::WorkerListing listing;
        listing.id = id;
        listing.service = queue_.service;
        listing.capacity = { 64000, 128000, 4 };
        workers_.addWorker(listing, 0);
    }
}

Instant PolledFleet::instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

void PolledFleet::run(std::int64_t endMs)
{
    for (; nowMs_ < endMs; nowMs_ += stepMs) {
        while (!events_.empty() && events_.begin()->first <= nowMs_) {
            auto action = events_.extract(events_.begin());
            action.mapped()();
        }
        step();
    }
}

std::vector<standin::RunRecord> PolledFleet::repeatedRuns() const
{
    std::vector<standin::RunRecord> repeated;
    std::set<fleet::TaskId> done;
    for (const auto& record : workers_.history()) {
        if (done.contains(record.key.first))
            repeated.push_back(record);
        if (record.end == fleet::EndKind::Done && record.wasAcknowledgedInTime)
            done.insert(record.key.first);
    }
    return repeated;
}

void PolledFleet::schedule(std::int64_t delayMs, std::function<void()> action)
{
    events_.emplace(nowMs_ + delayMs, std::move(action));
}

void PolledFleet::submit(std::int64_t durationMs, std::int64_t estimatedMs)
{
    auto spec = sampleJob("job-" + std::to_string(nowMs_), 1, 1, durationMs);
    if (estimatedMs > 0)
        spec.steps.front().estimatedMs = estimatedMs;
    spec.queue = queue_.name;
    fleet::submit(fleet_, spec, queue_, nowMs_, instantAt(nowMs_));
}

void PolledFleet::step()
{
    workers_.advance(nowMs_);
    changeWorld();
    if (nowMs_ % listIntervalMs == 0)
        fleet::applyFullList(fleet_, workers_.listings(nowMs_), instantAt(nowMs_));
    auto orders = fleet::advance(fleet_, nowMs_, instantAt(nowMs_));
    for (const auto& order : orders.starts)
        sendStart(order);
    for (const auto& order : orders.stops)
        sendStop(order);
    for (const auto& order : orders.polls)
        sendPoll(order);
    commit();
}

void PolledFleet::sendStart(const fleet::StartOrder& order)
{
    schedule(linkDelayMs(), [this, order] {
        auto outcome = workers_.start(order, nowMs_).outcome;
        schedule(linkDelayMs(), [this, order, outcome] {
            fleet::applyStartOutcome(fleet_, order.worker, { order.task, order.run }, outcome, instantAt(nowMs_));
        });
    });
}

void PolledFleet::sendStop(const fleet::StopOrder& order)
{
    schedule(linkDelayMs(), [this, order] {
        auto outcome = workers_.stop(order, nowMs_).outcome;
        schedule(linkDelayMs(), [this, order, outcome] {
            fleet::applyStopOutcome(fleet_, order.worker, { order.task, order.run }, outcome, instantAt(nowMs_));
        });
    });
}

void PolledFleet::pollInTime(const fleet::PollOrder& order)
{
    schedule(linkDelayMs(),
        [this, order] { waitForEnd(order, workers_.listing(order.worker).incarnation, nowMs_ + order.wait.count()); });
}

void PolledFleet::pollLate(const fleet::PollOrder& order, std::int64_t delayMs, std::function<void()> carriedOut)
{
    schedule(delayMs, [this, order, carriedOut = std::move(carriedOut)] {
        carriedOut();
        workers_.poll(order, nowMs_);
    });
    schedule(order.wait.count() + pollTimeoutMs, [this, order] { failPoll(order); });
}

void PolledFleet::failPoll(const fleet::PollOrder& order)
{
    fleet::applyPollFailure(fleet_, order.worker, instantAt(nowMs_));
}

//! Like the platform's workers, applies the acknowledgement whenever it looks for an end.
void PolledFleet::waitForEnd(const fleet::PollOrder& order, std::int64_t incarnation, std::int64_t untilMs)
{
    if (workers_.listing(order.worker).incarnation != incarnation)
        return schedule(linkDelayMs(), [this, order] { failPoll(order); });
    auto answer = workers_.poll(order, nowMs_).answer;
    if (answer.ended.empty() && nowMs_ < untilMs)
        return schedule(recheckMs, [this, order, incarnation, untilMs] { waitForEnd(order, incarnation, untilMs); });
    schedule(linkDelayMs(),
        [this, order, answer] { fleet::applyPollAnswer(fleet_, order.worker, answer, nowMs_, instantAt(nowMs_)); });
}

void PolledFleet::commit()
{
    if (std::exchange(isCommitting_, true))
        return;
    constexpr std::size_t maxBatch = 30;
    auto sequence = fleet::takeBatch(fleet_, maxBatch).lastSequence();
    schedule(commitDelayMs(), [this, sequence] {
        isCommitting_ = false;
        fleet::applyCommitted(fleet_, sequence);
        fleet::scheduleAcknowledgements(fleet_, instantAt(nowMs_));
    });
}

} // namespace agatevane::test
