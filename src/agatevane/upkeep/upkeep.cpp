#include "agatevane/upkeep/upkeep.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/net/archive.h"
#include <algorithm>

namespace agatevane::upkeep {

namespace {

    using event_log::Line;
    using fleet::Fleet;
    using fleet::Run;
    using fleet::RunKey;
    using fleet::RunState;

    //! Orders of an earlier owner that were under way show in the list by then.
    constexpr Millis settleAfterTakeover { 3000 };
    //! From an order to the new worker's first start; an estimate for the time that a wave still needs.
    constexpr Millis timePerMachine { 4000 };
    //! A machine that goes down shows as down in lists that are asked for this long after the answer.
    constexpr Millis listSettle { 1000 };
    constexpr Millis orderRetry { 500 };
    constexpr Millis busyRetry { 1000 };
    constexpr std::uint8_t recordVersion = 1;

    struct WaveRecord {
        WaveNumber number = 0;
        std::int64_t deadlineUnixMs = 0;
        bool isCompleted = false;
        std::vector<MachineId> done;

        template <typename Archive> void serialize(Archive& archive)
        {
            archive(number, deadlineUnixMs, isCompleted, done);
        }
    };

    struct Record {
        std::uint8_t version = recordVersion;
        std::vector<WaveRecord> waves;

        template <typename Archive> void serialize(Archive& archive) { archive(version, waves); }
    };

    bool isDown(Stage stage)
    {
        return stage == Stage::Ordered || stage == Stage::InUpkeep;
    }

    std::size_t countStages(const Wave& wave, bool (*matches)(Stage))
    {
        return static_cast<std::size_t>(std::count_if(
            wave.progress.begin(), wave.progress.end(), [&](const auto& each) { return matches(each.second.stage); }));
    }

    fleet::Worker* workerOf(const State& state, Fleet& fleet, const MachineId& id)
    {
        auto machine = state.machines.find(id);
        return machine == state.machines.end() ? nullptr : fleet::findWorker(fleet, machine->second.worker);
    }

    void finish(State& state, Wave& wave, const MachineId& id, std::string_view reason)
    {
        wave.progress[id].stage = Stage::Done;
        ++state.recordChanges;
        Line("upkeep_finished").with("wave", wave.request.number).with("machine", id).with("reason", reason);
    }

    //! True once what is left of the wave needs all the time that it still has.
    bool isPressed(const Wave& wave, Instant at)
    {
        auto left
            = countStages(wave, [](Stage stage) { return stage == Stage::Waiting || stage == Stage::Evacuating; });
        auto atOnce = std::max<std::size_t>(1, wave.request.mostAtOnce);
        auto rounds = (left + atOnce - 1) / atOnce;
        return at + timePerMachine * static_cast<std::int64_t>(rounds) >= wave.deadline;
    }

    bool isAtWork(Fleet& fleet, const fleet::TaskId& id)
    {
        const auto* task = fleet::findTask(fleet, id);
        if (!task || !task->worker)
            return false;
        const auto* worker = fleet::findWorker(fleet, *task->worker);
        auto run = worker->runs.find({ id, task->lastRun });
        constexpr int whole = 100;
        return run != worker->runs.end() && run->second.state == RunState::Running && run->second.percent >= whole;
    }

    //! A step that lasts bounds how many of its tasks may be away because of our orders.
    bool mayStopLasting(Fleet& fleet, const fleet::Job& job, const fleet::TaskId& id)
    {
        const auto& spec = fleet::stepOf(job, id);
        if (spec.maxUnavailableTasks == 0)
            return true;
        auto stopped = spec.isGang ? spec.count : 1;
        std::uint32_t away = 0;
        for (std::uint32_t index = 0; index < spec.count; ++index) {
            if (index != id.index && !isAtWork(fleet, { id.job, id.occurrence, id.step, index }))
                ++away;
        }
        return !isAtWork(fleet, id) || away + stopped <= spec.maxUnavailableTasks;
    }

    bool mayStop(Fleet& fleet, const Run& run, const fleet::Job& job, bool isPressed)
    {
        const auto& spec = fleet::stepOf(job, run.task);
        if (spec.isContinuous)
            return mayStopLasting(fleet, job, run.task);
        // Work that saves nothing ends by itself while there is time for it.
        return spec.savesCheckpoints || isPressed;
    }

    void stopRuns(Fleet& fleet, fleet::Worker& worker, bool isPressed, Instant at)
    {
        std::vector<RunKey> keys;
        for (const auto& [key, run] : worker.runs) {
            if (run.isWanted && run.state != RunState::Stopping)
                keys.push_back(key);
        }
        for (const auto& key : keys) {
            auto run = worker.runs.find(key);
            auto* job = fleet::findJob(fleet, key.first.job);
            if (run == worker.runs.end() || run->second.state == RunState::Stopping || !job)
                continue;
            if (mayStop(fleet, run->second, *job, isPressed))
                fleet::stopTaskRuns(fleet, *job, key.first, at, "upkeep");
        }
    }

    //! The waiting machine with the least at work; empty if none can begin.
    MachineId nextMachine(State& state, Fleet& fleet, const Wave& wave)
    {
        MachineId best;
        auto fewest = std::numeric_limits<std::size_t>::max();
        for (const auto& [id, duty] : wave.progress) {
            auto machine = state.machines.find(id);
            if (duty.stage != Stage::Waiting || machine == state.machines.end()
                || machine->second.state != MachineState::Up)
                continue;
            const auto* worker = workerOf(state, fleet, id);
            auto runs = worker ? worker->runs.size() : 0;
            if (runs < fewest) {
                fewest = runs;
                best = id;
            }
        }
        return best;
    }

    void beginEmptying(State& state, Fleet& fleet, Wave& wave)
    {
        while (countStages(wave, [](Stage stage) { return stage == Stage::Evacuating || isDown(stage); })
            < wave.request.mostAtOnce) {
            auto id = nextMachine(state, fleet, wave);
            if (id.empty())
                return;
            auto& duty = wave.progress[id];
            duty.stage = Stage::Evacuating;
            duty.workerBefore = state.machines[id].worker;
            Line("upkeep_begins")
                .with("wave", wave.request.number)
                .with("machine", id)
                .with("worker", duty.workerBefore);
        }
    }

    //! True if the machine may go down now.
    bool isEmpty(State& state, Fleet& fleet, const MachineId& id, bool isPressed, Instant at)
    {
        auto* worker = workerOf(state, fleet, id);
        if (!worker)
            return true;
        // Before its first answer to this owner a worker may run what an earlier one has started.
        if (!worker->hasAnsweredPoll)
            return false;
        if (worker->runs.empty())
            return true;
        stopRuns(fleet, *worker, isPressed, at);
        return false;
    }

    void markEmptying(const State& state, Fleet& fleet)
    {
        for (auto& [id, worker] : fleet.workers)
            worker.isEvacuating = false;
        for (const auto& [number, wave] : state.waves) {
            for (const auto& [id, duty] : wave.progress) {
                auto* worker = duty.stage == Stage::Evacuating || isDown(duty.stage)
                    ? fleet::findWorker(fleet, duty.workerBefore)
                    : nullptr;
                if (worker)
                    worker->isEvacuating = true;
            }
        }
    }

    //! Either its new worker shows, or it stayed up: an order for a machine that had its upkeep changes nothing.
    bool isBack(const MachineProgress& duty, const Machine& machine, Instant askedAt)
    {
        if (machine.state != MachineState::Up || machine.worker.empty() || askedAt <= duty.confirmedAt)
            return false;
        return machine.worker != duty.workerBefore || askedAt >= duty.confirmedAt + listSettle;
    }

    void advanceWave(State& state, Fleet& fleet, Wave& wave, Instant at, std::vector<UpkeepOrder>& orders)
    {
        bool pressed = isPressed(wave, at);
        beginEmptying(state, fleet, wave);
        for (auto& [id, duty] : wave.progress) {
            if (duty.stage == Stage::Evacuating && isEmpty(state, fleet, id, pressed, at))
                duty.stage = Stage::Ordered;
            if (duty.stage != Stage::Ordered || duty.isOrderInFlight || at < duty.nextOrderAt)
                continue;
            duty.isOrderInFlight = true;
            orders.push_back({ wave.request.number, id, fleet.fencingToken });
        }
        bool isCompleted = std::all_of(wave.progress.begin(), wave.progress.end(),
            [](const auto& each) { return each.second.stage == Stage::Done; });
        if (!isCompleted)
            return;
        wave.isCompleted = true;
        ++state.recordChanges;
        Line("wave_completed")
            .with("wave", wave.request.number)
            .with("machines", wave.progress.size())
            .with("ms_left", elapsed(at, wave.deadline).count());
    }

} // namespace

void applyRequest(State& state, const WaveRequest& request, std::int64_t unixMs, Instant at)
{
    auto& wave = state.waves[request.number];
    if (wave.request == request)
        return;
    bool isChanged = wave.request.number == request.number;
    wave.isCompleted = wave.isCompleted && !isChanged;
    auto recorded = std::exchange(wave.progress, {});
    wave.request = request;
    if (wave.deadlineUnixMs == 0 || isChanged)
        wave.deadlineUnixMs = unixMs + request.timeLimit.count();
    wave.deadline = at + Millis(wave.deadlineUnixMs - unixMs);
    for (const auto& id : request.machines)
        wave.progress[id] = recorded.contains(id) ? recorded[id] : MachineProgress {};
    ++state.recordChanges;
    Line("wave_asked")
        .with("wave", request.number)
        .with("machines", request.machines.size())
        .with("most_at_once", request.mostAtOnce)
        .with("span_ms", request.timeLimit.count())
        .with("ms_left", wave.deadlineUnixMs - unixMs);
}

void applyMachineList(State& state, const std::vector<Machine>& machines, Instant askedAt)
{
    state.machines.clear();
    for (const auto& machine : machines)
        state.machines[machine.id] = machine;
    state.machinesReadAt = askedAt;
    state.isListKnown = true;
    for (auto& [number, wave] : state.waves) {
        for (auto& [id, duty] : wave.progress) {
            auto machine = state.machines.find(id);
            if (duty.stage == Stage::Done)
                continue;
            if (machine == state.machines.end()) {
                finish(state, wave, id, "not_listed");
            } else if (duty.stage == Stage::InUpkeep && isBack(duty, machine->second, askedAt)) {
                finish(state, wave, id, "back");
            }
        }
    }
}

bool needsMachineList(const State& state)
{
    return std::any_of(
        state.waves.begin(), state.waves.end(), [](const auto& each) { return !each.second.isCompleted; });
}

std::vector<UpkeepOrder> advance(State& state, Fleet& fleet, Instant at)
{
    std::vector<UpkeepOrder> orders;
    if (!state.isListKnown || at < state.tenureStartedAt + settleAfterTakeover)
        return orders;
    for (auto& [number, wave] : state.waves) {
        if (!wave.isCompleted)
            advanceWave(state, fleet, wave, at, orders);
    }
    markEmptying(state, fleet);
    return orders;
}

void applyOutcome(State& state, WaveNumber number, const MachineId& id, UpkeepOutcome outcome, Instant at)
{
    auto wave = state.waves.find(number);
    if (wave == state.waves.end() || !wave->second.progress.contains(id))
        return;
    auto& duty = wave->second.progress[id];
    duty.isOrderInFlight = false;
    Line("upkeep_answered").with("wave", number).with("machine", id).with("outcome", nameOf(outcome));
    if (duty.stage != Stage::Ordered)
        return;
    switch (outcome) {
    case UpkeepOutcome::Done:
        duty.stage = Stage::InUpkeep;
        duty.confirmedAt = at;
        return;
    case UpkeepOutcome::NotInWave:
    case UpkeepOutcome::NoSuchMachine:
        return finish(state, wave->second, id, nameOf(outcome));
    case UpkeepOutcome::Busy:
        duty.nextOrderAt = at + busyRetry;
        return;
    case UpkeepOutcome::Refused:
    case UpkeepOutcome::Unknown:
        // The same order again: it is carried out at most once for a wave.
        duty.nextOrderAt = at + orderRetry;
        return;
    }
}

std::string encodeRecord(const State& state)
{
    Record record;
    for (const auto& [number, wave] : state.waves) {
        auto& entry = record.waves.emplace_back();
        entry.number = number;
        entry.deadlineUnixMs = wave.deadlineUnixMs;
        entry.isCompleted = wave.isCompleted;
        for (const auto& [id, duty] : wave.progress) {
            if (duty.stage == Stage::Done)
                entry.done.push_back(id);
        }
    }
    return net::encode(record);
}

bool decodeRecord(State& state, const std::string& bytes)
{
    Record record;
    if (!net::decode(bytes, record) || record.version != recordVersion)
        return false;
    for (const auto& entry : record.waves) {
        auto& wave = state.waves[entry.number];
        wave.deadlineUnixMs = entry.deadlineUnixMs;
        wave.isCompleted = entry.isCompleted;
        for (const auto& id : entry.done)
            wave.progress[id].stage = Stage::Done;
    }
    return true;
}

} // namespace agatevane::upkeep
