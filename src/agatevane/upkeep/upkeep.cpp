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

    //! Time after a takeover until the list of machines shows the orders that an earlier owner had in flight.
    constexpr Millis takeoverSettleTime { 3000 };
    //! Estimated time from an order until the first start of the machine's new worker; gives the time a wave still
    //! needs.
    constexpr Millis timePerMachine { 4000 };
    //! Lists that are requested at least this long after the confirmation of an order show its machine as down.
    constexpr Millis listSettleTime { 1000 };
    //! Pause before an order is repeated that was refused or got no usable answer.
    constexpr Millis orderRetryPause { 500 };
    //! Pause before an order is repeated whose machine was busy.
    constexpr Millis busyRetryPause { 1000 };
    constexpr std::uint8_t recordVersion = 1;

    struct WaveRecord {
        WaveNumber number = 0;
        std::int64_t deadlineUnixMs = 0;
        bool isCompleted = false;
        std::vector<MachineId> doneMachines;

        template <typename Archive> void serialize(Archive& archive)
        {
            archive(number, deadlineUnixMs, isCompleted, doneMachines);
        }
    };

    struct Record {
        std::uint8_t version = recordVersion;
        std::vector<WaveRecord> waves;

        template <typename Archive> void serialize(Archive& archive) { archive(version, waves); }
    };

    //! An ordered machine counts as down because the order may have been carried out.
    bool mayBeDown(Stage stage)
    {
        return stage == Stage::Ordered || stage == Stage::InUpkeep;
    }

    std::size_t countMachines(const Wave& wave, bool (*matches)(Stage))
    {
        return static_cast<std::size_t>(std::count_if(wave.progress.begin(), wave.progress.end(),
            [&](const auto& entry) { return matches(entry.second.stage); }));
    }

    fleet::Worker* workerOn(const State& state, Fleet& fleet, const MachineId& id)
    {
        auto machine = state.machines.find(id);
        return machine == state.machines.end() ? nullptr : fleet::findWorker(fleet, machine->second.worker);
    }

    void finishMachine(State& state, Wave& wave, const MachineId& id, std::string_view reason)
    {
        wave.progress[id].stage = Stage::Done;
        ++state.recordChanges;
        Line("upkeep_finished").with("wave", wave.request.number).with("machine", id).with("reason", reason);
    }

    //! True once the machines that have not gone down yet need all the time that the wave has left.
    bool needsAllTimeLeft(const Wave& wave, Instant at)
    {
        auto machinesLeft
            = countMachines(wave, [](Stage stage) { return stage == Stage::Waiting || stage == Stage::Evacuating; });
        auto atOnce = std::max<std::size_t>(1, wave.request.mostAtOnce);
        auto rounds = (machinesLeft + atOnce - 1) / atOnce;
        return at + timePerMachine * static_cast<std::int64_t>(rounds) >= wave.deadline;
    }

    //! True if the task had a run at full pace when its worker last answered.
    bool mayRunAtFullPace(const Fleet& fleet, const fleet::TaskId& id)
    {
        const auto* run = fleet::findTaskRun(fleet, id);
        constexpr int fullPacePercent = 100;
        return run && run->state == RunState::Running && run->percent >= fullPacePercent;
    }

    //! True if the task is known to have a run at full pace. The last report of a worker that has since missed a poll
    //! says nothing of the present.
    bool isRunningAtFullPace(const Fleet& fleet, const fleet::TaskId& id)
    {
        const auto* task = fleet::findTask(fleet, id);
        const auto* worker = task && task->run ? fleet::findWorker(fleet, task->run->worker) : nullptr;
        return worker && worker->missedPolls == 0 && mayRunAtFullPace(fleet, id);
    }

    //! A continuous step with a nonzero `maxUnavailableTasks` allows at most that many of its tasks to be unavailable
    //! because of the scheduler's orders; 0 sets no bound.
    bool mayStopContinuousRun(Fleet& fleet, const fleet::Job& job, const fleet::TaskId& id)
    {
        const auto& spec = fleet::stepOf(job, id);
        if (spec.maxUnavailableTasks == 0)
            return true;
        auto stoppedTasks = spec.isGang ? spec.count : 1;
        std::uint32_t unavailableTasks = 0;
        for (std::uint32_t index = 0; index < spec.count; ++index) {
            if (index != id.index && !isRunningAtFullPace(fleet, { id.job, id.occurrence, id.step, index }))
                ++unavailableTasks;
        }
        return !mayRunAtFullPace(fleet, id) || unavailableTasks + stoppedTasks <= spec.maxUnavailableTasks;
    }

    bool mayStop(Fleet& fleet, const Run& run, const fleet::Job& job, bool isTimeShort)
    {
        const auto& spec = fleet::stepOf(job, run.task);
        if (spec.isContinuous)
            return mayStopContinuousRun(fleet, job, run.task);
        // A run without checkpoints would lose its work, so it is left to end by itself while the wave has time for it.
        return spec.savesCheckpoints || isTimeShort;
    }

    void stopAllowedRuns(Fleet& fleet, fleet::Worker& worker, bool isTimeShort, Instant at)
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
            if (mayStop(fleet, run->second, *job, isTimeShort))
                fleet::stopTaskRuns(fleet, *job, key.first, at, "upkeep");
        }
    }

    //! The waiting machine with the fewest runs; empty if none can begin.
    MachineId chooseNextMachine(State& state, Fleet& fleet, const Wave& wave)
    {
        MachineId best;
        auto fewestRuns = std::numeric_limits<std::size_t>::max();
        for (const auto& [id, machineProgress] : wave.progress) {
            auto machine = state.machines.find(id);
            if (machineProgress.stage != Stage::Waiting || machine == state.machines.end()
                || machine->second.state != MachineState::Up)
                continue;
            const auto* worker = workerOn(state, fleet, id);
            auto runs = worker ? worker->runs.size() : 0;
            if (runs < fewestRuns) {
                fewestRuns = runs;
                best = id;
            }
        }
        return best;
    }

    void beginEvacuations(State& state, Fleet& fleet, Wave& wave)
    {
        while (countMachines(wave, [](Stage stage) { return stage == Stage::Evacuating || mayBeDown(stage); })
            < wave.request.mostAtOnce) {
            auto id = chooseNextMachine(state, fleet, wave);
            if (id.empty())
                return;
            auto& machineProgress = wave.progress[id];
            machineProgress.stage = Stage::Evacuating;
            machineProgress.workerBefore = state.machines[id].worker;
            Line("upkeep_begins")
                .with("wave", wave.request.number)
                .with("machine", id)
                .with("worker", machineProgress.workerBefore);
        }
    }

    //! Stops those runs of the machine that may be stopped now; true if none is left, so that the machine may go down.
    bool evacuate(State& state, Fleet& fleet, const MachineId& id, bool isTimeShort, Instant at)
    {
        auto* worker = workerOn(state, fleet, id);
        if (!worker)
            return true;
        // Before its first answer to this owner a worker may have runs that an earlier owner has started.
        if (!worker->hasAnsweredPoll)
            return false;
        if (worker->runs.empty())
            return true;
        stopAllowedRuns(fleet, *worker, isTimeShort, at);
        return false;
    }

    void markEvacuatingWorkers(const State& state, Fleet& fleet)
    {
        for (auto& [id, worker] : fleet.workers)
            worker.awaitsUpkeep = false;
        for (const auto& [number, wave] : state.waves) {
            for (const auto& [id, machineProgress] : wave.progress) {
                auto* worker = machineProgress.stage == Stage::Evacuating || mayBeDown(machineProgress.stage)
                    ? fleet::findWorker(fleet, machineProgress.workerBefore)
                    : nullptr;
                if (worker)
                    worker->awaitsUpkeep = true;
            }
        }
    }

    //! True if the machine is up after a confirmed order: either the list shows its new worker, or it has stayed up
    //! because an order changes nothing for a machine that has already had its upkeep.
    bool isUpAgain(const MachineProgress& machineProgress, const Machine& machine, Instant requestedAt)
    {
        if (machine.state != MachineState::Up || machine.worker.empty() || requestedAt <= machineProgress.confirmedAt)
            return false;
        return machine.worker != machineProgress.workerBefore
            || requestedAt >= machineProgress.confirmedAt + listSettleTime;
    }

    void advanceWave(State& state, Fleet& fleet, Wave& wave, Instant at, std::vector<UpkeepOrder>& orders)
    {
        bool isTimeShort = needsAllTimeLeft(wave, at);
        beginEvacuations(state, fleet, wave);
        for (auto& [id, machineProgress] : wave.progress) {
            if (machineProgress.stage == Stage::Evacuating && evacuate(state, fleet, id, isTimeShort, at))
                machineProgress.stage = Stage::Ordered;
            if (machineProgress.stage != Stage::Ordered || machineProgress.isOrderInFlight
                || at < machineProgress.nextOrderAt)
                continue;
            machineProgress.isOrderInFlight = true;
            orders.push_back({ wave.request.number, id, fleet.fencingToken });
        }
        bool isCompleted = std::all_of(wave.progress.begin(), wave.progress.end(),
            [](const auto& entry) { return entry.second.stage == Stage::Done; });
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
    auto previousProgress = std::exchange(wave.progress, {});
    wave.request = request;
    if (wave.deadlineUnixMs == 0 || isChanged)
        wave.deadlineUnixMs = unixMs + request.timeLimit.count();
    wave.deadline = at + Millis(wave.deadlineUnixMs - unixMs);
    for (const auto& id : request.machines)
        wave.progress[id] = previousProgress.contains(id) ? previousProgress[id] : MachineProgress {};
    ++state.recordChanges;
    Line("wave_asked")
        .with("wave", request.number)
        .with("machines", request.machines.size())
        .with("most_at_once", request.mostAtOnce)
        .with("span_ms", request.timeLimit.count())
        .with("ms_left", wave.deadlineUnixMs - unixMs);
}

void applyMachineList(State& state, const std::vector<Machine>& machines, Instant requestedAt)
{
    state.machines.clear();
    for (const auto& machine : machines)
        state.machines[machine.id] = machine;
    state.machinesRequestedAt = requestedAt;
    state.isMachineListKnown = true;
    for (auto& [number, wave] : state.waves) {
        for (auto& [id, machineProgress] : wave.progress) {
            auto machine = state.machines.find(id);
            if (machineProgress.stage == Stage::Done)
                continue;
            if (machine == state.machines.end()) {
                finishMachine(state, wave, id, "not_listed");
            } else if (machineProgress.stage == Stage::InUpkeep
                && isUpAgain(machineProgress, machine->second, requestedAt)) {
                finishMachine(state, wave, id, "back");
            }
        }
    }
}

bool needsMachineList(const State& state)
{
    return std::any_of(
        state.waves.begin(), state.waves.end(), [](const auto& entry) { return !entry.second.isCompleted; });
}

std::vector<UpkeepOrder> advance(State& state, Fleet& fleet, Instant at)
{
    std::vector<UpkeepOrder> orders;
    if (!state.isMachineListKnown || at < state.tenureStartedAt + takeoverSettleTime)
        return orders;
    for (auto& [number, wave] : state.waves) {
        if (!wave.isCompleted)
            advanceWave(state, fleet, wave, at, orders);
    }
    markEvacuatingWorkers(state, fleet);
    return orders;
}

void applyOutcome(State& state, WaveNumber number, const MachineId& id, UpkeepOutcome outcome, Instant at)
{
    auto wave = state.waves.find(number);
    if (wave == state.waves.end() || !wave->second.progress.contains(id))
        return;
    auto& machineProgress = wave->second.progress[id];
    machineProgress.isOrderInFlight = false;
    Line("upkeep_answered").with("wave", number).with("machine", id).with("outcome", nameOf(outcome));
    if (machineProgress.stage != Stage::Ordered)
        return;
    switch (outcome) {
    case UpkeepOutcome::Done:
        machineProgress.stage = Stage::InUpkeep;
        machineProgress.confirmedAt = at;
        return;
    case UpkeepOutcome::NotInWave:
    case UpkeepOutcome::NoSuchMachine:
        return finishMachine(state, wave->second, id, nameOf(outcome));
    case UpkeepOutcome::Busy:
        machineProgress.nextOrderAt = at + busyRetryPause;
        return;
    case UpkeepOutcome::Refused:
    case UpkeepOutcome::Unknown:
        // The same order is sent again: the platform carries it out at most once for a wave.
        machineProgress.nextOrderAt = at + orderRetryPause;
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
        for (const auto& [id, machineProgress] : wave.progress) {
            if (machineProgress.stage == Stage::Done)
                entry.doneMachines.push_back(id);
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
        for (const auto& id : entry.doneMachines)
            wave.progress[id].stage = Stage::Done;
    }
    return true;
}

} // namespace agatevane::upkeep
