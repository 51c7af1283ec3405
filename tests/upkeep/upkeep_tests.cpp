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

//! A fleet of single workers on machines m0, m1, … that go down and come back as the platform's do.
struct Site {
    explicit Site(int count)
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

    void ask(std::uint32_t mostAtOnce, Millis span, std::size_t count)
    {
        WaveRequest request { 1, {}, span, mostAtOnce };
        for (std::size_t n = 0; n < count; ++n)
            request.machines.push_back("m" + std::to_string(n));
        applyRequest(state, request, elapsed(Instant {}, at).count(), at);
    }

    //! Starts a task of a job of its own, or of `job`, on a worker.
    fleet::TaskId run(const std::string& job, std::uint32_t index, const fleet::WorkerId& worker, fleet::StepSpec step)
    {
        if (!fleet.jobs.contains(job)) {
            fleet::JobSpec spec;
            spec.id = job;
            spec.steps.push_back(std::move(step));
            auto made = fleet::makeJob(spec, 0);
            made.phase = fleet::JobPhase::Open;
            made.hasStarted = true;
            fleet.jobs.emplace(job, std::move(made));
        }
        fleet::TaskId id { job, 0, 0, index };
        fleet::orderRun(fleet, fleet.jobs.at(job), id, 1, fleet.workers.at(worker), at);
        auto& entered = fleet.workers.at(worker).runs.at({ id, 1 });
        entered.state = fleet::RunState::Running;
        entered.percent = 100;
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

    //! One round: decisions, the platform's answers, ends of stopped runs, machines that come back after two seconds.
    void round()
    {
        at += Millis(100);
        for (const auto& order : upkeep::advance(state, fleet, at)) {
            auto outcome = answer(order);
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
            if (machine.state == MachineState::Upkeep && at >= backAt[id]) {
                machine.state = MachineState::Up;
                machine.worker += "'";
                addWorker(machine.worker);
            }
            down += machine.state == MachineState::Upkeep ? 1 : 0;
        }
        mostDown = std::max(mostDown, down);
        std::vector<Machine> listed;
        for (const auto& [id, machine] : machines)
            listed.push_back(machine);
        applyMachineList(state, listed, at);
    }

    UpkeepOutcome answer(const UpkeepOrder& order)
    {
        auto& machine = machines.at(order.machine);
        if (lossShare > 0 && uniform(random, 1, 100) <= lossShare && uniform(random, 0, 1) == 0)
            return UpkeepOutcome::Unknown;
        if (!begun.insert(order.machine).second)
            return UpkeepOutcome::Done;
        lost += fleet.workers.at(machine.worker).runs.size();
        machine.state = MachineState::Upkeep;
        backAt[order.machine] = at + Millis(2000);
        return lossShare > 0 && uniform(random, 1, 100) <= lossShare ? UpkeepOutcome::Unknown : UpkeepOutcome::Done;
    }

    bool isCompleted() const { return state.waves.at(1).isCompleted; }

    State state;
    fleet::Fleet fleet;
    std::map<MachineId, Machine> machines;
    std::map<MachineId, Instant> backAt;
    std::set<MachineId> begun;
    std::size_t mostDown = 0;
    std::size_t lost = 0; //!< runs that an upkeep has ended
    std::int64_t lossShare = 0; //!< percent of the answers that are lost
    Random random { 1 };
    Instant at = start;
};

fleet::StepSpec stepThat(bool saves, bool lasts, std::uint32_t count = 1, std::uint32_t maxUnavailableTasks = 0)
{
    fleet::StepSpec step;
    step.count = count;
    step.need = { 1000, 1000, 1 };
    step.savesCheckpoints = saves;
    step.isContinuous = lasts;
    step.maxUnavailableTasks = maxUnavailableTasks;
    return step;
}

} // namespace

// Guards against a wave that takes more machines down at once than it allows, or never ends.
BOOST_AUTO_TEST_CASE(A_wave_takes_its_machines_down_a_few_at_a_time, *boost::unit_test::label("upkeep"))
{
    Site site(7);
    site.ask(2, Millis(30000), 5);
    for (int n = 0; n < 300 && !site.isCompleted(); ++n)
        site.round();
    BOOST_CHECK(site.isCompleted());
    BOOST_CHECK_EQUAL(site.begun.size(), 5U);
    BOOST_CHECK_EQUAL(site.mostDown, 2U);
}

// Guards against more machines down than allowed where answers are lost after the machine went down.
RC_BOOST_PROP(Lost_answers_never_take_more_machines_down, ())
{
    Site site(6);
    site.random.seed(*rc::gen::arbitrary<std::uint32_t>());
    site.lossShare = 50;
    auto mostAtOnce = *rc::gen::inRange<std::uint32_t>(1, 4);
    site.ask(mostAtOnce, Millis(20000), 6);
    for (int n = 0; n < 600 && !site.isCompleted(); ++n)
        site.round();
    RC_ASSERT(site.isCompleted());
    RC_ASSERT(site.mostDown <= mostAtOnce);
    RC_ASSERT(site.begun.size() == 6U);
}

// Guards against work that is thrown away: what saves is stopped, what doesn't save may end by itself.
BOOST_AUTO_TEST_CASE(A_machine_is_emptied_before_it_goes_down, *boost::unit_test::label("upkeep"))
{
    Site site(1);
    auto saver = site.run("00000000000000a1", 0, "w0", stepThat(true, false));
    auto other = site.run("00000000000000a2", 0, "w0", stepThat(false, false));
    site.ask(1, Millis(30000), 1);
    site.round();
    site.round();
    BOOST_CHECK(site.fleet.workers.at("w0").isEvacuating);
    for (int n = 0; n < 20; ++n)
        site.round();
    BOOST_CHECK(site.begun.empty());
    BOOST_CHECK(!site.fleet.workers.at("w0").runs.contains({ saver, 1 }));
    BOOST_CHECK(site.fleet.workers.at("w0").runs.contains({ other, 1 }));
    fleet::removeRun(site.fleet, site.fleet.workers.at("w0"), { other, 1 });
    site.round();
    BOOST_CHECK_EQUAL(site.begun.size(), 1U);
    BOOST_CHECK_EQUAL(site.lost, 0U);
}

// Guards against a wave that is late because it waits for long work.
BOOST_AUTO_TEST_CASE(
    Work_that_saves_nothing_is_stopped_when_the_time_of_the_wave_ends, *boost::unit_test::label("upkeep"))
{
    Site site(1);
    site.run("00000000000000a2", 0, "w0", stepThat(false, false));
    site.ask(1, Millis(10000), 1);
    while (site.at < start + Millis(10000) && site.begun.empty())
        site.round();
    BOOST_CHECK_EQUAL(site.begun.size(), 1U);
    BOOST_CHECK_EQUAL(site.lost, 0U);
}

// Guards against more tasks of a step away at once than the step bears (AVAIL).
BOOST_AUTO_TEST_CASE(A_step_that_lasts_misses_no_more_tasks_than_it_may, *boost::unit_test::label("upkeep"))
{
    Site site(2);
    auto first = site.run("00000000000000a3", 0, "w0", stepThat(false, true, 3, 1));
    auto second = site.run("00000000000000a3", 1, "w1", stepThat(false, true, 3, 1));
    site.run("00000000000000a3", 2, "w1", stepThat(false, true, 3, 1));
    site.ask(2, Millis(10000), 2);
    site.at += Millis(100);
    upkeep::advance(site.state, site.fleet, site.at);
    site.at += Millis(100);
    std::vector<Machine> listed { site.machines.at("m0"), site.machines.at("m1") };
    applyMachineList(site.state, listed, site.at);
    upkeep::advance(site.state, site.fleet, site.at);
    BOOST_CHECK_NE(site.isStopping(first), site.isStopping(second));
}

// Guards against machines that are emptied and taken down again by the next owner.
BOOST_AUTO_TEST_CASE(A_later_owner_goes_on_where_the_record_ends, *boost::unit_test::label("upkeep"))
{
    Site site(4);
    site.ask(1, Millis(40000), 4);
    while (site.begun.size() < 3)
        site.round();
    auto record = encodeRecord(site.state);
    State next;
    next.tenureStartedAt = site.at;
    BOOST_REQUIRE(decodeRecord(next, record));
    site.state = next;
    site.ask(1, Millis(40000), 4);
    std::size_t done = 0;
    for (const auto& [id, duty] : site.state.waves.at(1).progress)
        done += duty.stage == Stage::Done ? 1 : 0;
    BOOST_CHECK_EQUAL(done, 2U);
    for (int n = 0; n < 300 && !site.isCompleted(); ++n)
        site.round();
    BOOST_CHECK(site.isCompleted());
    BOOST_CHECK_EQUAL(site.mostDown, 1U);
}

// Guards against a wave that never ends because a machine of it is gone.
BOOST_AUTO_TEST_CASE(A_machine_that_is_gone_holds_no_wave_up, *boost::unit_test::label("upkeep"))
{
    Site site(2);
    site.machines.erase("m1");
    site.ask(1, Millis(20000), 2);
    for (int n = 0; n < 100 && !site.isCompleted(); ++n)
        site.round();
    BOOST_CHECK(site.isCompleted());
}

RC_BOOST_PROP(Records_take_any_bytes, (const std::string& bytes))
{
    State state;
    decodeRecord(state, bytes);
}
