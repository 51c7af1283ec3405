#include "standins/platform/worker_model.h"

#include <algorithm>
#include <sstream>

namespace agatevane::standin {

namespace {

    constexpr std::int64_t firstClockMs = 1000;
    constexpr int fullPercent = 100;

    bool isSameGang(const fleet::RunKey& a, const fleet::RunKey& b)
    {
        return a.second == b.second && a.first.job == b.first.job && a.first.occurrence == b.first.occurrence
            && a.first.step == b.first.step;
    }

    std::string encodeCheckpoint(std::int64_t progressMs, const TaskBehaviour& behaviour)
    {
        auto checkpoint = "done=" + std::to_string(progressMs);
        checkpoint.resize(std::max(checkpoint.size(), behaviour.checkpointBytes), ' ');
        return checkpoint;
    }

    std::int64_t decodeCheckpoint(const std::string& checkpoint)
    {
        return checkpoint.empty() ? 0 : std::stoll(checkpoint.substr(std::string("done=").size()));
    }

} // namespace

TaskBehaviour parseBehaviour(const std::string& payload)
{
    TaskBehaviour behaviour;
    std::istringstream words(payload);
    std::string word;
    while (words >> word) {
        auto equals = word.find('=');
        auto name = word.substr(0, equals);
        auto number = equals == std::string::npos ? 0 : std::stoll(word.substr(equals + 1));
        if (name == "saves") {
            behaviour.savesWork = true;
            behaviour.checkpointBytes = static_cast<std::size_t>(number);
        }
        if (name == "ms")
            behaviour.durationMs = number;
        else if (name == "gang")
            behaviour.gang = static_cast<std::size_t>(number);
        else if (name == "fails")
            behaviour.fails = static_cast<std::uint32_t>(number);
        else if (name == "hangs")
            behaviour.hangs = true;
        else if (name == "tail")
            behaviour.tailLatencyMs = number;
        else if (name == "disturbs")
            behaviour.interferenceMs = number;
    }
    return behaviour;
}

WorkerModel::WorkerModel(const ModelTimes& times)
    : times_(times)
{
}

void WorkerModel::addWorker(const fleet::WorkerListing& listing, std::int64_t nowMs)
{
    auto& worker = workers_[listing.id];
    worker.listing = listing;
    worker.startedAtMs = nowMs;
    worker.listing.incarnation = nowMs + 1;
}

void WorkerModel::crash(const fleet::WorkerId& id, std::int64_t nowMs)
{
    auto& worker = workers_.at(id);
    std::vector<fleet::RunKey> keys;
    for (const auto& [key, run] : worker.runs)
        keys.push_back(key);
    for (const auto& key : keys) {
        auto found = worker.runs.find(key);
        if (found == worker.runs.end())
            continue;
        history_[found->second.record].endedMs = nowMs;
        worker.runs.erase(found);
        endGang(key, fleet::EndKind::Broken, nowMs);
    }
    worker.isUp = false;
}

void WorkerModel::restart(const fleet::WorkerId& id, std::int64_t nowMs)
{
    crash(id, nowMs);
    auto listing = workers_.at(id).listing;
    listing.isDraining = false;
    workers_.at(id) = {};
    addWorker(listing, nowMs);
}

void WorkerModel::setFailing(const fleet::WorkerId& id, bool fails)
{
    workers_.at(id).fails = fails;
}

void WorkerModel::drain(const fleet::WorkerId& id, std::int64_t leavesAtMs)
{
    workers_.at(id).listing.isDraining = true;
    workers_.at(id).leavesAtMs = leavesAtMs;
}

bool WorkerModel::isUp(const fleet::WorkerId& id) const
{
    return workers_.at(id).isUp;
}

std::vector<fleet::WorkerListing> WorkerModel::listings(std::int64_t nowMs) const
{
    std::vector<fleet::WorkerListing> all;
    for (const auto& [id, worker] : workers_) {
        if (!worker.isUp)
            continue;
        all.push_back(worker.listing);
        if (worker.listing.isDraining)
            all.back().timeLeft = Millis(std::max<std::int64_t>(0, worker.leavesAtMs - nowMs));
    }
    return all;
}

std::int64_t WorkerModel::clockOf(const ModelWorker& worker, std::int64_t nowMs)
{
    return firstClockMs + nowMs - worker.startedAtMs;
}

bool WorkerModel::acceptToken(ModelWorker& worker, std::uint64_t token)
{
    if (token < worker.fencingToken)
        return false;
    worker.fencingToken = token;
    return true;
}

void WorkerModel::extendLease(ModelWorker& worker, std::int64_t untilMs, std::int64_t nowMs) const
{
    auto latest = clockOf(worker, nowMs) + times_.maxLeaseMs;
    worker.leaseUntilMs = std::max(worker.leaseUntilMs, std::min(untilMs, latest));
}

StartOutcome WorkerModel::start(const fleet::StartOrder& order, std::int64_t nowMs, std::int64_t arrivedMs)
{
    advance(nowMs);
    auto& worker = workers_.at(order.worker);
    if (!acceptToken(worker, order.fencingToken))
        return { fleet::OrderOutcome::Outdated, true };
    fleet::RunKey key { order.task, order.run };
    if (worker.runs.contains(key)) {
        extendLease(worker, order.leaseUntilMs, nowMs);
        return {};
    }
    auto ended = worker.highestEndedRun.find(order.task);
    if (ended != worker.highestEndedRun.end() && order.run <= ended->second) {
        extendLease(worker, order.leaseUntilMs, nowMs);
        return { fleet::OrderOutcome::Outdated, false };
    }
    if (order.leaseUntilMs <= clockOf(worker, nowMs))
        return { fleet::OrderOutcome::Late, false };
    extendLease(worker, order.leaseUntilMs, nowMs);
    ModelRun run;
    run.behaviour = parseBehaviour(order.payload);
    run.presentSinceMs = nowMs;
    run.checkpoint = order.checkpoint;
    run.progressMs = decodeCheckpoint(order.checkpoint);
    run.record = history_.size();
    RunRecord record;
    record.key = key;
    record.worker = order.worker;
    record.orderedMs = arrivedMs;
    record.beganMs = nowMs;
    history_.push_back(record);
    worker.runs.emplace(key, std::move(run));
    return {};
}

StartOutcome WorkerModel::stop(const fleet::StopOrder& order, std::int64_t nowMs)
{
    advance(nowMs);
    auto& worker = workers_.at(order.worker);
    if (!acceptToken(worker, order.fencingToken))
        return { fleet::OrderOutcome::Outdated, true };
    auto found = worker.runs.find({ order.task, order.run });
    if (found == worker.runs.end()) {
        auto& highest = worker.highestEndedRun[order.task];
        highest = std::max(highest, order.run);
        return {};
    }
    if (found->second.stopAtMs < 0)
        found->second.stopAtMs = nowMs + times_.stopMs;
    return {};
}

StartOutcome WorkerModel::pace(const fleet::PaceOrder& order, std::int64_t nowMs)
{
    advance(nowMs);
    auto& worker = workers_.at(order.worker);
    if (!acceptToken(worker, order.fencingToken))
        return { fleet::OrderOutcome::Outdated, true };
    auto found = worker.runs.find({ order.task, order.run });
    if (found != worker.runs.end())
        found->second.pacePercent = order.percent;
    return {};
}

std::int64_t WorkerModel::tailLatencyOf(const ModelWorker& worker, const ModelRun& run)
{
    auto tail = run.behaviour.tailLatencyMs;
    if (tail == 0)
        return 0;
    for (const auto& [key, other] : worker.runs)
        tail += other.behaviour.interferenceMs * other.pacePercent / fullPercent;
    return tail;
}

std::int64_t WorkerModel::worstTailLatency(const fleet::WorkerId& id) const
{
    std::int64_t worst = 0;
    const auto& worker = workers_.at(id);
    for (const auto& [key, run] : worker.runs)
        worst = std::max(worst, tailLatencyOf(worker, run));
    return worst;
}

int WorkerModel::fillerPace(const fleet::WorkerId& id) const
{
    int pace = 0;
    for (const auto& [key, run] : workers_.at(id).runs)
        pace = std::max(pace, run.behaviour.interferenceMs > 0 ? run.pacePercent : 0);
    return pace;
}

PollOutcome WorkerModel::poll(const fleet::PollOrder& order, std::int64_t nowMs)
{
    advance(nowMs);
    auto& worker = workers_.at(order.worker);
    if (!acceptToken(worker, order.fencingToken))
        return { true, {} };
    if (order.leaseUntilMs)
        extendLease(worker, *order.leaseUntilMs, nowMs);
    while (!worker.ends.empty() && worker.ends.front().report.number <= order.lastAcknowledgedEnd) {
        history_[worker.ends.front().record].wasAcknowledgedInTime = !worker.ends.front().didLeaseLapse;
        worker.ends.pop_front();
    }
    PollOutcome outcome;
    outcome.answer.clockMs = clockOf(worker, nowMs);
    outcome.answer.incarnation = worker.listing.incarnation;
    for (const auto& [key, run] : worker.runs) {
        auto percent = run.behaviour.durationMs > 0 ? 100 * run.progressMs / run.behaviour.durationMs : 100;
        outcome.answer.running.push_back(
            { key, run.checkpoint, static_cast<int>(percent), tailLatencyOf(worker, run) });
    }
    for (const auto& end : worker.ends) {
        if (outcome.answer.ended.size() < maxEndsPerAnswer)
            outcome.answer.ended.push_back(end.report);
    }
    outcome.answer.mayLackEnds = outcome.answer.ended.size() >= maxEndsPerAnswer;
    return outcome;
}

void WorkerModel::end(ModelWorker& worker, const fleet::RunKey& key, fleet::EndKind kind, std::int64_t nowMs)
{
    auto found = worker.runs.find(key);
    if (found == worker.runs.end())
        return;
    auto run = std::move(found->second);
    worker.runs.erase(found);
    if (run.behaviour.savesWork && kind == fleet::EndKind::Stopped)
        run.checkpoint = encodeCheckpoint(run.progressMs, run.behaviour);
    history_[run.record].endedMs = nowMs;
    history_[run.record].end = kind;
    auto& highest = worker.highestEndedRun[key.first];
    highest = std::max(highest, key.second);
    worker.ends.push_back({ { ++worker.lastEndNumber, key, kind, run.checkpoint }, run.record, false });
}

std::size_t WorkerModel::membersPresent(const fleet::RunKey& key) const
{
    std::size_t members = 0;
    for (const auto& [id, worker] : workers_) {
        for (const auto& [other, run] : worker.runs)
            members += isSameGang(key, other) && run.stopAtMs < 0 ? 1 : 0;
    }
    return members;
}

void WorkerModel::endGang(const fleet::RunKey& key, fleet::EndKind kind, std::int64_t nowMs)
{
    for (auto& [id, worker] : workers_) {
        std::vector<fleet::RunKey> members;
        for (const auto& [other, run] : worker.runs) {
            if (run.behaviour.gang > 0 && isSameGang(key, other))
                members.push_back(other);
        }
        for (const auto& member : members)
            end(worker, member, kind, nowMs);
    }
}

void WorkerModel::advance(std::int64_t nowMs)
{
    auto stepMs = nowMs - lastAdvanceMs_;
    lastAdvanceMs_ = nowMs;
    if (stepMs <= 0)
        return;
    for (auto& [id, worker] : workers_)
        advanceWorker(worker, nowMs, stepMs);
}

void WorkerModel::advanceWorker(ModelWorker& worker, std::int64_t nowMs, std::int64_t stepMs)
{
    if (clockOf(worker, nowMs) >= worker.leaseUntilMs) {
        for (auto& listed : worker.ends)
            listed.didLeaseLapse = true;
    }
    std::vector<fleet::RunKey> keys;
    for (const auto& [key, run] : worker.runs)
        keys.push_back(key);
    for (const auto& key : keys) {
        auto found = worker.runs.find(key);
        if (found == worker.runs.end())
            continue;
        auto& run = found->second;
        auto finish = [&](fleet::EndKind kind) {
            bool isGang = run.behaviour.gang > 0;
            end(worker, key, kind, nowMs);
            if (isGang)
                endGang(key, kind == fleet::EndKind::Done ? kind : fleet::EndKind::Broken, nowMs);
        };
        if (clockOf(worker, nowMs) >= worker.leaseUntilMs) {
            finish(fleet::EndKind::Lapsed);
            continue;
        }
        if (run.stopAtMs >= 0) {
            if (nowMs >= run.stopAtMs)
                finish(fleet::EndKind::Stopped);
            continue;
        }
        auto gang = std::tuple(key.first.job, key.second);
        auto& isAssembled = assembledGangs_[{ std::get<0>(gang), std::get<1>(gang) }];
        if (run.behaviour.gang > 0 && !isAssembled) {
            isAssembled = membersPresent(key) >= run.behaviour.gang;
            if (!isAssembled && nowMs - run.presentSinceMs >= times_.gangAssemblyMs)
                finish(fleet::EndKind::Alone);
            continue;
        }
        if (!run.behaviour.hangs)
            run.progressMs += stepMs * run.pacePercent / fullPercent;
        if (run.behaviour.savesWork)
            run.checkpoint
                = encodeCheckpoint(run.progressMs / times_.checkpointMs * times_.checkpointMs, run.behaviour);
        if (worker.fails || (run.progressMs >= run.behaviour.durationMs && key.second <= run.behaviour.fails))
            finish(fleet::EndKind::Failed);
        else if (run.progressMs >= run.behaviour.durationMs)
            finish(fleet::EndKind::Done);
    }
}

} // namespace agatevane::standin
