#include "agatevane/upkeep/upkeep.h"

#include "agatevane/base/random.h"
#include "agatevane/fleet/record.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::upkeep;

namespace {

const Instant start { std::chrono::hours(1) };

//! Simulates machines m0, m1, … with one worker each. They go down and come back as the platform's machines do.
struct SimulatedMachines {
    explicit SimulatedMachines(int count)
    {
        state.tenureStartedAt = start - Millis(10000);
        fleet.tenure = 1;
        for (int n = 0; n < count; ++n) {
            MachineId id = "m" + std::to_string(n);
            machines[id] = { id, MachineState::Up, "w" + std::to_string(n) };
            addWorker("w" + std::to_string(n));
        }
    }

    void addWorker(const fleet::WorkerId& id)
    {
        auto& worker = fleet.workers[id];
        worker.id = id;
        worker.isListed = worker.hasAnsweredPoll = true;
        worker.capacity = { 64000, 128000, 8 };
    }

    void requestWave(std::uint32_t mostAtOnce, Millis timeLimit, std::size_t count)
    {
        WaveRequest request { 1, {}, timeLimit, mostAtOnce };
        for (std::size_t n = 0; n < count; ++n)
            request.machines.push_back("m" + std::to_string(n));
        applyRequest(state, request, elapsed(Instant {}, at).count(), at);
    }

    //! Starts the task `index` of the only step of `job` on a worker; creates the job if it doesn't exist.
    fleet::TaskId startRun(
        const std::string& job, std::uint32_t index, const fleet::WorkerId& worker, fleet::StepSpec step)
    {
        if (!fleet.jobs.contains(job)) {
            fleet::JobSpec spec;
            spec.id = job;
            spec.steps.push_back(std::move(step));
            auto created = fleet::makeJob(spec, 0);
            created.phase = fleet::JobPhase::Open;
            created.hasStarted = true;
            fleet.jobs.emplace(job, std::move(created));
        }
        fleet::TaskId id { job, 0, 0, index };
        fleet::orderRun(fleet.jobs.at(job), id, 1, fleet.workers.at(worker), at);
        auto& run = fleet.workers.at(worker).runs.at({ id, 1 });
        run.state = fleet::RunState::Running;
        run.percent = 100;
        return id;
    }

    bool isStopping(const fleet::TaskId& id)
    {
        for (const auto& [name, worker] : fleet.workers) {
            auto found = worker.runs.find({ id, 1 });
            if (found != worker.runs.end())
                return found->second.state == fleet::RunState::Stopping;
        }
        return false;
    }

    //! Advances by 100 ms: decides, answers the orders, ends the stopped runs, brings machines back that have been down
    //! for 2 s, and applies a new list of machines.
    void advanceRound()
    {
        at += Millis(100);
        for (const auto& order : upkeep::advance(state, fleet, at)) {
            auto outcome = answerOrder(order);
            applyOutcome(state, order.wave, order.machine, outcome, at);
        }
        for (auto& [name, worker] : fleet.workers) {
            std::vector<fleet::RunKey> ended;
            for (const auto& [key, each] : worker.runs) {
                if (each.state == fleet::RunState::Stopping)
                    ended.push_back(key);
            }
            for (const auto& key : ended)
                fleet::removeRun(fleet, worker, key);
        }
        std::size_t down = 0;
        for (auto& [id, machine] : machines) {
            if (machine.state == MachineState::Upkeep && at >= upAgainAt[id]) {
                machine.state = MachineState::Up;
                machine.worker += "'";
                addWorker(machine.worker);
            }
            down += machine.state == MachineState::Upkeep ? 1 : 0;
        }
        maxDown = std::max(maxDown, down);
        std::vector<Machine> listed;
        for (const auto& [id, machine] : machines)
            listed.push_back(machine);
        applyMachineList(state, listed, at);
    }

    //! Decides, applies a list of machines 100 ms later and decides again.
    void advanceWithList(const std::vector<MachineId>& ids)
    {
        at += Millis(100);
        upkeep::advance(state, fleet, at);
        at += Millis(100);
        std::vector<Machine> listed;
        for (const auto& id : ids)
            listed.push_back(machines.at(id));
        applyMachineList(state, listed, at);
        upkeep::advance(state, fleet, at);
    }

    UpkeepOutcome answerOrder(const UpkeepOrder& order)
    {
        auto& machine = machines.at(order.machine);
        if (answerLossPercent > 0 && uniform(random, 1, 100) <= answerLossPercent && uniform(random, 0, 1) == 0)
            return UpkeepOutcome::Unknown;
        if (!machinesTakenDown.insert(order.machine).second)
            return UpkeepOutcome::Done;
        runsOnMachinesGoingDown += fleet.workers.at(machine.worker).runs.size();
        machine.state = MachineState::Upkeep;
        upAgainAt[order.machine] = at + Millis(2000);
        return answerLossPercent > 0 && uniform(random, 1, 100) <= answerLossPercent ? UpkeepOutcome::Unknown
                                                                                     : UpkeepOutcome::Done;
    }

    bool isCompleted() const { return state.waves.at(1).isCompleted; }

    State state;
    fleet::Fleet fleet;
    std::map<MachineId, Machine> machines;
    std::map<MachineId, Instant> upAgainAt;
    std::set<MachineId> machinesTakenDown;
    std::size_t maxDown = 0;
    std::size_t runsOnMachinesGoingDown = 0; //!< runs that were on a machine when it went down
    //! Probability that an answer is lost after its order was carried out; half of it applies before that.
    std::int64_t answerLossPercent = 0;
    Random random { 1 };
    Instant at = start;
};

fleet::StepSpec makeStep(
    bool savesCheckpoints, bool isContinuous, std::uint32_t count = 1, std::uint32_t maxUnavailableTasks = 0)
{
    fleet::StepSpec step;
    step.count = count;
    step.need = { 1000, 1000, 1 };
    step.savesCheckpoints = savesCheckpoints;
    step.isContinuous = isContinuous;
    step.maxUnavailableTasks = maxUnavailableTasks;
    return step;
}

} // namespace

// Guards against a wave that takes down more machines at once than its request allows, or that never completes.
BOOST_AUTO_TEST_CASE(A_wave_takes_down_no_more_machines_at_once_than_allowed, *boost::unit_test::label("upkeep"))
{
    SimulatedMachines simulation(7);
    simulation.requestWave(2, Millis(30000), 5);
    for (int n = 0; n < 300 && !simulation.isCompleted(); ++n)
        simulation.advanceRound();
    BOOST_CHECK(simulation.isCompleted());
    BOOST_CHECK_EQUAL(simulation.machinesTakenDown.size(), 5U);
    BOOST_CHECK_EQUAL(simulation.maxDown, 2U);
}

// Guards against more machines down than allowed when the answer to an order is lost after the machine went down.
RC_BOOST_PROP(Lost_answers_do_not_take_down_more_machines_than_allowed, ())
{
    SimulatedMachines simulation(6);
    simulation.random.seed(*rc::gen::arbitrary<std::uint32_t>());
    simulation.answerLossPercent = 50;
    auto mostAtOnce = *rc::gen::inRange<std::uint32_t>(1, 4);
    simulation.requestWave(mostAtOnce, Millis(20000), 6);
    for (int n = 0; n < 600 && !simulation.isCompleted(); ++n)
        simulation.advanceRound();
    RC_ASSERT(simulation.isCompleted());
    RC_ASSERT(simulation.maxDown <= mostAtOnce);
    RC_ASSERT(simulation.machinesTakenDown.size() == 6U);
}

// Guards against lost work: a run that saves checkpoints is stopped, one that doesn't may end by itself.
BOOST_AUTO_TEST_CASE(A_machine_is_evacuated_before_it_goes_down, *boost::unit_test::label("upkeep"))
{
    SimulatedMachines simulation(1);
    auto withCheckpoints = simulation.startRun("00000000000000a1", 0, "w0", makeStep(true, false));
    auto withoutCheckpoints = simulation.startRun("00000000000000a2", 0, "w0", makeStep(false, false));
    simulation.requestWave(1, Millis(30000), 1);
    simulation.advanceRound();
    simulation.advanceRound();
    BOOST_CHECK(simulation.fleet.workers.at("w0").awaitsUpkeep);
    for (int n = 0; n < 20; ++n)
        simulation.advanceRound();
    BOOST_CHECK(simulation.machinesTakenDown.empty());
    BOOST_CHECK(!simulation.fleet.workers.at("w0").runs.contains({ withCheckpoints, 1 }));
    BOOST_CHECK(simulation.fleet.workers.at("w0").runs.contains({ withoutCheckpoints, 1 }));
    fleet::removeRun(simulation.fleet, simulation.fleet.workers.at("w0"), { withoutCheckpoints, 1 });
    simulation.advanceRound();
    BOOST_CHECK_EQUAL(simulation.machinesTakenDown.size(), 1U);
    BOOST_CHECK_EQUAL(simulation.runsOnMachinesGoingDown, 0U);
}

// Guards against a wave that exceeds its time limit because it waits for long runs to end.
BOOST_AUTO_TEST_CASE(
    A_run_without_checkpoints_is_stopped_when_the_time_of_the_wave_is_short, *boost::unit_test::label("upkeep"))
{
    SimulatedMachines simulation(1);
    simulation.startRun("00000000000000a2", 0, "w0", makeStep(false, false));
    simulation.requestWave(1, Millis(10000), 1);
    while (simulation.at < start + Millis(10000) && simulation.machinesTakenDown.empty())
        simulation.advanceRound();
    BOOST_CHECK_EQUAL(simulation.machinesTakenDown.size(), 1U);
    BOOST_CHECK_EQUAL(simulation.runsOnMachinesGoingDown, 0U);
}

// Guards against upkeep that stops more tasks of a step at once than the step's availability allows.
BOOST_AUTO_TEST_CASE(A_continuous_step_misses_no_more_tasks_than_it_allows, *boost::unit_test::label("upkeep"))
{
    SimulatedMachines simulation(2);
    auto first = simulation.startRun("00000000000000a3", 0, "w0", makeStep(false, true, 3, 1));
    auto second = simulation.startRun("00000000000000a3", 1, "w1", makeStep(false, true, 3, 1));
    simulation.startRun("00000000000000a3", 2, "w1", makeStep(false, true, 3, 1));
    simulation.requestWave(2, Millis(10000), 2);
    simulation.advanceWithList({ "m0", "m1" });
    BOOST_CHECK_NE(simulation.isStopping(first), simulation.isStopping(second));
}

// Guards against the same where a task was lost with its worker, whose last report still counted as the task's state.
BOOST_AUTO_TEST_CASE(A_task_of_a_silent_worker_does_not_count_as_running, *boost::unit_test::label("upkeep"))
{
    for (int missedPolls : { 0, 1 }) {
        SimulatedMachines simulation(2);
        auto first = simulation.startRun("00000000000000a3", 0, "w0", makeStep(false, true, 2, 1));
        simulation.startRun("00000000000000a3", 1, "w1", makeStep(false, true, 2, 1));
        simulation.fleet.workers.at("w1").missedPolls = missedPolls;
        simulation.requestWave(1, Millis(10000), 1);
        simulation.advanceWithList({ "m0", "m1" });
        BOOST_CHECK_EQUAL(simulation.isStopping(first), missedPolls == 0);
    }
}

// Guards against upkeep that takes a task for away, and so free to be stopped, because its worker has missed a poll.
BOOST_AUTO_TEST_CASE(
    A_task_of_a_silent_worker_is_not_stopped_beside_one_that_is_away, *boost::unit_test::label("upkeep"))
{
    SimulatedMachines simulation(2);
    auto first = simulation.startRun("00000000000000a3", 0, "w0", makeStep(false, true, 2, 1));
    simulation.fleet.workers.at("w0").missedPolls = 1;
    simulation.requestWave(1, Millis(10000), 1);
    simulation.advanceWithList({ "m0", "m1" });
    BOOST_CHECK(!simulation.isStopping(first));
}

// Guards against a new owner that evacuates machines and takes them down a second time.
BOOST_AUTO_TEST_CASE(A_later_owner_continues_from_the_stored_record, *boost::unit_test::label("upkeep"))
{
    SimulatedMachines simulation(4);
    simulation.requestWave(1, Millis(40000), 4);
    while (simulation.machinesTakenDown.size() < 3)
        simulation.advanceRound();
    auto record = encodeRecord(simulation.state);
    State next;
    next.tenureStartedAt = simulation.at;
    BOOST_REQUIRE(decodeRecord(next, record));
    simulation.state = next;
    simulation.requestWave(1, Millis(40000), 4);
    std::size_t done = 0;
    for (const auto& [id, machineProgress] : simulation.state.waves.at(1).progress)
        done += machineProgress.stage == Stage::Done ? 1 : 0;
    BOOST_CHECK_EQUAL(done, 2U);
    for (int n = 0; n < 300 && !simulation.isCompleted(); ++n)
        simulation.advanceRound();
    BOOST_CHECK(simulation.isCompleted());
    BOOST_CHECK_EQUAL(simulation.maxDown, 1U);
}

// Guards against a wave that never completes because one of its machines is not listed.
BOOST_AUTO_TEST_CASE(A_wave_completes_without_a_machine_that_is_not_listed, *boost::unit_test::label("upkeep"))
{
    SimulatedMachines simulation(2);
    simulation.machines.erase("m1");
    simulation.requestWave(1, Millis(20000), 2);
    for (int n = 0; n < 100 && !simulation.isCompleted(); ++n)
        simulation.advanceRound();
    BOOST_CHECK(simulation.isCompleted());
}

RC_BOOST_PROP(Decoding_a_record_accepts_any_bytes, (const std::string& bytes))
{
    State state;
    decodeRecord(state, bytes);
}
