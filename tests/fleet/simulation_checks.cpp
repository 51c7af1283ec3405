//! The part of FleetSimulation that compares the owners' decisions with the truth of the modelled workers.
#include "simulation.h"

#include <algorithm>

namespace agatevane::test {

namespace {

    //! A run of a cancelled job may go on this long after the acknowledgement, or after its worker is reached.
    constexpr std::int64_t cancelBoundMs = 4200;
    //! A run that began after the acknowledgement, on a late order, counts from this long after its start.
    constexpr std::int64_t lateStartAllowanceMs = 4000;
    constexpr std::int64_t countIntervalMs = 200;

} // namespace

void FleetSimulation::reportViolation(const std::string& text)
{
    // A violation lasts for many steps.
    if (reportedTexts_.insert(text).second)
        violations_.push_back(
            "seed " + std::to_string(options_.seed) + " at " + std::to_string(nowMs_) + " ms: " + text);
}

std::string FleetSimulation::describe(std::size_t run) const
{
    const auto& record = workers_.history()[run];
    auto found = startNotes_.find(run);
    auto note = found == startNotes_.end() ? StartNote {} : found->second;
    return "run " + std::to_string(record.key.second) + " of " + toString(record.key.first) + " on " + record.worker
        + " (" + note.workerState + "), ordered at " + std::to_string(note.sentMs) + " ms by owner "
        + std::to_string(note.tenure) + ", begun at " + std::to_string(record.beganMs) + " ms";
}

//! What the present owner knows of a worker.
const char* FleetSimulation::knownState(const fleet::WorkerId& id)
{
    const auto* worker = fleet::findWorker(fleet(), id);
    if (!worker)
        return "unknown";
    if (!worker->isListed)
        return worker->missedPolls > 0 ? "unlisted, silent" : "unlisted, answering";
    if (worker->missedPolls > 0)
        return "silent";
    if (worker->incarnation != workers_.listing(id).incarnation)
        return "restarted unseen";
    return worker->hasAnsweredPoll ? "answering" : "not polled yet";
}

bool FleetSimulation::isKnownDone(const fleet::TaskId& id)
{
    const auto* task = fleet::findTask(fleet(), id);
    return task && task->isDone;
}

void FleetSimulation::noteReach()
{
    for (const auto& [id, listing] : listings_) {
        if (!isReachable(*current_, id))
            current_->reachedSinceMs.erase(id);
        else
            current_->reachedSinceMs.emplace(id, nowMs_);
    }
}

std::optional<std::int64_t> FleetSimulation::cancelledMs(const fleet::JobId& job) const
{
    auto found = cancelledMs_.find(job);
    return found == cancelledMs_.end() ? std::nullopt : std::optional(found->second);
}

std::int64_t FleetSimulation::startSentMs(std::size_t run) const
{
    auto note = startNotes_.find(run);
    return note == startNotes_.end() ? workers_.history()[run].orderedMs : note->second.sentMs;
}

std::int64_t FleetSimulation::harmedMs(const fleet::WorkerId& worker) const
{
    auto found = harmedMs_.find(worker);
    return found == harmedMs_.end() ? 0 : found->second;
}

void FleetSimulation::noteHarm()
{
    for (const auto& [id, listing] : listings_) {
        if (!workers_.isUp(id) || !isReachable(*current_, id) || cuts_.contains(id))
            harmedMs_[id] = nowMs_;
    }
}

void FleetSimulation::noteRuns()
{
    const auto& history = workers_.history();
    for (; checkedHistory_ < history.size(); ++checkedHistory_)
        liveRuns_.push_back(checkedHistory_);
    std::erase_if(liveRuns_, [&history](std::size_t position) { return history[position].endedMs >= 0; });
    for (auto position : liveRuns_) {
        checkTracking(position);
        checkCancelled(position);
    }
}

//! Once its worker has answered the owner, a run is its task's run, or is to be stopped.
void FleetSimulation::checkTracking(std::size_t position)
{
    const auto& record = workers_.history()[position];
    auto answered = current_->answeredMs.find(record.worker);
    if (answered == current_->answeredMs.end() || answered->second <= record.beganMs)
        return;
    const auto* worker = fleet::findWorker(fleet(), record.worker);
    if (!worker)
        return reportViolation("the owner has forgotten the worker of " + describe(position));
    auto run = worker->runs.find(record.key);
    if (run == worker->runs.end())
        return reportViolation("the owner does not know of " + describe(position));
    const auto* task = fleet::findTask(fleet(), record.key.first);
    fleet::TaskRun expected { record.worker, record.key.second };
    if (run->second.isWanted && task && task->run != expected)
        reportViolation("the task does not lead to " + describe(position));
}

void FleetSimulation::checkCancelled(std::size_t position)
{
    const auto& record = workers_.history()[position];
    auto cancelled = cancelledMs_.find(record.key.first.job);
    auto reached = current_->reachedSinceMs.find(record.worker);
    if (cancelled == cancelledMs_.end() || reached == current_->reachedSinceMs.end())
        return;
    auto since = std::max(cancelled->second, reached->second);
    if (record.beganMs > cancelled->second)
        since = std::max(since, record.beganMs + lateStartAllowanceMs);
    if (nowMs_ > since + cancelBoundMs)
        reportViolation("cancelled at " + std::to_string(cancelled->second) + " ms, goes on: " + describe(position));
}

void FleetSimulation::checkActiveCounts()
{
    if (nowMs_ % countIntervalMs >= tickMs)
        return;
    for (const auto& [id, job] : fleet().jobs) {
        for (const auto& occurrence : job.occurrences) {
            for (const auto& step : occurrence.steps) {
                auto busy = std::count_if(
                    step.tasks.begin(), step.tasks.end(), [](const fleet::Task& task) { return !!task.run; });
                if (static_cast<std::int64_t>(step.active) != busy)
                    reportViolation("job " + id + " counts " + std::to_string(step.active) + " active tasks of "
                        + std::to_string(busy));
            }
        }
    }
    for (const auto& [id, job] : fleet().jobs) {
        for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
            for (std::uint32_t i = 0; i < job.spec.steps[s].count; ++i) {
                fleet::TaskId task { id, 0, s, i };
                const auto* state = fleet::findTask(fleet(), task);
                const auto* worker = state && state->run ? fleet::findWorker(fleet(), state->run->worker) : nullptr;
                if (state && state->run && (!worker || !worker->runs.contains({ task, state->run->number })))
                    reportViolation("task " + toString(task) + " has a run that its worker does not have");
            }
        }
    }
}

void FleetSimulation::checkStart(const fleet::StartOrder& order)
{
    const auto& spec = specs_.at(order.task.job);
    const auto& step = spec.steps[order.task.step];
    const auto& listing = listings_.at(order.worker);
    if (!step.requiredLabel.empty()
        && std::find(listing.labels.begin(), listing.labels.end(), step.requiredLabel) == listing.labels.end())
        reportViolation("a task starts on a worker without its label");
    for (auto earlier : step.after) {
        std::set<std::uint32_t> done;
        for (const auto& record : workers_.history()) {
            if (record.key.first.job == order.task.job && record.key.first.step == earlier
                && record.end == fleet::EndKind::Done)
                done.insert(record.key.first.index);
        }
        auto needed = spec.steps[earlier].isGang ? 1 : spec.steps[earlier].count;
        if (done.size() < needed)
            reportViolation("a step starts before an earlier one is done");
    }
}

void FleetSimulation::checkCapacity()
{
    std::map<fleet::WorkerId, fleet::Capacity> used;
    std::map<fleet::TaskId, std::size_t> copies;
    std::map<std::pair<fleet::WorkerId, std::pair<fleet::JobId, std::uint32_t>>, std::uint32_t> spread;
    for (auto position : liveRuns_) {
        const auto& record = workers_.history()[position];
        const auto& id = record.key.first;
        const auto& step = specs_.at(id.job).steps[id.step];
        used[record.worker] += step.need;
        if (auto [other, isFirst] = copies.emplace(id, position); !isFirst)
            reportViolation("at the same time: " + describe(other->second) + "; " + describe(position));
        auto tasksOnWorker = ++spread[{ record.worker, { id.job, id.step } }];
        if (step.maxPerWorker > 0 && tasksOnWorker > step.maxPerWorker)
            reportViolation("more tasks of a step on one worker than allowed");
    }
    // Two owners, or late orders of an earlier one, may fill a worker twice: real workers refuse the second order.
    for (const auto& [worker, amount] : used) {
        if (options_.overlapMs > 0 || options_.cutEveryMs > 0)
            break;
        if (!fleet::fitsWithin(amount, listings_.at(worker).capacity))
            reportViolation("worker " + worker + " is over its capacity");
    }
}

void FleetSimulation::checkHistory()
{
    std::map<fleet::TaskId, std::int64_t> doneAt;
    std::map<fleet::TaskId, std::int64_t> acknowledgedAt;
    std::map<fleet::TaskId, std::size_t> acknowledgedRun;
    std::map<fleet::TaskId, int> failures;
    const auto& history = workers_.history();
    for (std::size_t position = 0; position < history.size(); ++position) {
        const auto& record = history[position];
        const auto& id = record.key.first;
        // An end counts as acknowledged only if this happened before the worker's lease expired.
        if (acknowledgedAt.contains(id) && record.beganMs > acknowledgedAt[id])
            reportViolation(describe(position) + ", starts after its end at " + std::to_string(acknowledgedAt[id])
                + " ms was acknowledged: " + describe(acknowledgedRun[id]));
        if (record.end == fleet::EndKind::Done) {
            doneAt[id] = record.endedMs;
            if (record.wasAcknowledgedInTime) {
                acknowledgedAt[id] = record.endedMs;
                acknowledgedRun[id] = position;
            }
        }
        if (failures[id] >= queues_.at(id.job).maxAttempts)
            reportViolation(toString(id) + " starts after its last attempt");
        failures[id] += record.end == fleet::EndKind::Failed ? 1 : 0;
    }
    for (const auto& [id, spec] : specs_) {
        if (stateOf(id) != fleet::VisibleState::Completed)
            continue;
        for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
            for (std::uint32_t i = 0; i < spec.steps[s].count; ++i) {
                if (!doneAt.contains({ id, 0, s, i }) && !spec.steps[s].isGang)
                    reportViolation(id + " is completed although one of its tasks has not succeeded");
            }
        }
    }
}

std::int64_t FleetSimulation::countRunsAfterDone() const
{
    return std::count_if(
        startNotes_.begin(), startNotes_.end(), [](const auto& each) { return each.second.isTaskDone; });
}

double FleetSimulation::meanJobMs() const
{
    std::map<fleet::JobId, std::int64_t> lastEndMs;
    for (const auto& record : workers_.history()) {
        const auto& job = record.key.first.job;
        if (record.end == fleet::EndKind::Done && !cancelledMs_.contains(job))
            lastEndMs[job] = std::max(lastEndMs[job], record.endedMs);
    }
    double sum = 0;
    for (const auto& [job, endMs] : lastEndMs)
        sum += static_cast<double>(endMs - submittedMs_.at(job));
    return lastEndMs.empty() ? 0 : sum / static_cast<double>(lastEndMs.size());
}

} // namespace agatevane::test
