#include "agatevane/base/random.h"
#include "agatevane/fleet/preemption.h"
#include "agatevane/fleet/runs.h"

#include "busy_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::BusyFleet;

namespace {

constexpr std::int64_t acceleratorsPerWorker = BusyFleet::acceleratorsPerWorker;
const Instant at = BusyFleet::now();

//! Fills each worker with tasks of random sizes and ages; a third of the jobs are gangs.
void fillAtRandom(BusyFleet& busy, Random& random)
{
    for (auto& [id, worker] : busy.fleet().workers) {
        auto left = acceleratorsPerWorker;
        while (left > 0) {
            auto size = uniform(random, 1, left);
            auto& job = busy.submit("job" + std::to_string(busy.fleet().jobs.size()), 2, size,
                static_cast<int>(uniform(random, 1, 2)), uniform(random, 0, 2) == 0, uniform(random, 0, 1) == 0);
            busy.run(job, 0, id, Millis(uniform(random, 100, 5000)));
            left -= size;
            auto other = "w" + std::to_string(uniform(random, 0, static_cast<int>(busy.fleet().workers.size()) - 1));
            auto& second = busy.fleet().workers.at(other);
            if (other != id && second.capacity.accelerators - second.used.accelerators >= size)
                busy.run(job, 1, other, Millis(uniform(random, 100, 5000)));
            left = std::min(left, worker.capacity.accelerators - worker.used.accelerators);
        }
    }
}

//! The same plan, found by looking at every worker anew for each task. Any victim may be stopped.
std::optional<fleet::PreemptionPlan> planByFullSearch(const fleet::VictimTable& table,
    const fleet::PendingStep& pending, const std::vector<fleet::WorkerHeadroom>& headrooms)
{
    fleet::PreemptionPlan plan;
    auto need = fleet::reservedCapacity(pending.spec());
    std::vector<fleet::Capacity> available;
    for (const auto& headroom : headrooms)
        available.push_back(headroom.afterStops);
    auto isChosen = [&plan](std::size_t victim) { return std::ranges::count(plan.victims, victim) > 0; };
    for (std::size_t task = 0; task < pending.taskIndexes.size(); ++task) {
        std::optional<fleet::PreemptionPlan> best;
        for (std::size_t index = 0; index < headrooms.size(); ++index) {
            fleet::PreemptionPlan choice { { index }, {}, 0 };
            auto room = available[index];
            for (auto victim : table.byWorker[index]) {
                if (fleet::fitsWithin(need, room) || isChosen(victim))
                    continue;
                for (const auto& [freedOn, capacity] : table.victims[victim].freed)
                    room += freedOn == index ? capacity : fleet::Capacity {};
                choice.victims.push_back(victim);
                choice.loss += table.victims[victim].loss;
            }
            if (fleet::fitsWithin(need, room) && (!best || choice.loss < best->loss))
                best = choice;
        }
        if (!best)
            return std::nullopt;
        for (auto victim : best->victims) {
            for (const auto& [freedOn, capacity] : table.victims[victim].freed)
                available[freedOn] += capacity;
        }
        available[best->placement.front()] -= need;
        plan.placement.push_back(best->placement.front());
        plan.victims.insert(plan.victims.end(), best->victims.begin(), best->victims.end());
        plan.loss += best->loss;
    }
    return plan;
}

} // namespace

// Guards against a plan that keeps the loss on a worker after an earlier choice has changed it.
BOOST_AUTO_TEST_CASE(A_plan_is_the_one_of_a_full_search, *boost::unit_test::label("preemption"))
{
    int plans = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        BusyFleet busy(12);
        fillAtRandom(busy, random);
        auto& urgent = busy.submit(
            "urgent", static_cast<std::uint32_t>(uniform(random, 1, 10)), uniform(random, 1, acceleratorsPerWorker), 0);
        auto headrooms = busy.headrooms();
        auto table = fleet::findVictims(busy.fleet(), headrooms, at);
        auto pending = BusyFleet::waiting(urgent);
        auto plan = fleet::planPreemption(table, pending, headrooms, false, {}, at);
        auto expected = planByFullSearch(table, pending, headrooms);
        BOOST_REQUIRE_EQUAL(plan.has_value(), expected.has_value());
        if (!plan)
            continue;
        ++plans;
        BOOST_CHECK(plan->placement == expected->placement);
        BOOST_CHECK(plan->victims == expected->victims);
    }
    BOOST_CHECK_GT(plans, 40);
}

BOOST_AUTO_TEST_CASE(The_least_loss_is_stopped, *boost::unit_test::label("preemption"))
{
    BusyFleet busy(2);
    auto& young = busy.submit("young", 1, 8, 2);
    auto& old = busy.submit("old", 1, 8, 2);
    busy.run(old, 0, "w0", Millis(2500));
    busy.run(young, 0, "w1", Millis(200));
    auto headrooms = busy.headrooms();
    auto table = fleet::findVictims(busy.fleet(), headrooms, at);
    auto pending = BusyFleet::waiting(busy.submit("urgent", 1, 8, 0));
    auto plan = fleet::planPreemption(table, pending, headrooms, false, {}, at);
    BOOST_REQUIRE(plan);
    BOOST_REQUIRE_EQUAL(plan->victims.size(), 1U);
    BOOST_CHECK_EQUAL(table.victims[plan->victims.front()].task.job, "young");
}

// Guards against a victim that is counted again for the next step of the same round.
BOOST_AUTO_TEST_CASE(What_was_stopped_in_the_round_is_no_victim_again, *boost::unit_test::label("preemption"))
{
    BusyFleet busy(1);
    busy.run(busy.submit("job", 1, 8, 2), 0, "w0");
    auto headrooms = busy.headrooms();
    auto table = fleet::findVictims(busy.fleet(), headrooms, at);
    auto pending = BusyFleet::waiting(busy.submit("urgent", 1, 8, 0));
    auto plan = fleet::planPreemption(table, pending, headrooms, false, {}, at);
    BOOST_REQUIRE(plan);
    table.victims[plan->victims.front()].isStopped = true;
    BOOST_CHECK(!fleet::planPreemption(table, pending, headrooms, false, {}, at));
}

BOOST_AUTO_TEST_CASE(A_stopped_gang_frees_all_its_workers, *boost::unit_test::label("preemption"))
{
    BusyFleet busy(2);
    auto& gang = busy.submit("gang", 2, 8, 2, true);
    busy.run(gang, 0, "w0");
    busy.run(gang, 1, "w1");
    auto headrooms = busy.headrooms();
    auto table = fleet::findVictims(busy.fleet(), headrooms, at);
    auto pending = BusyFleet::waiting(busy.submit("urgent", 2, 8, 0));
    auto plan = fleet::planPreemption(table, pending, headrooms, false, {}, at);
    BOOST_REQUIRE(plan);
    BOOST_CHECK_EQUAL(plan->victims.size(), 1U);
    BOOST_CHECK((plan->placement == fleet::Placement { 0, 1 }));
}

// Guards against work that is stopped again and again for work that is little more urgent.
BOOST_AUTO_TEST_CASE(Work_that_is_not_urgent_stops_only_older_runs_that_save, *boost::unit_test::label("preemption"))
{
    auto isPlanned = [](bool savesCheckpoints, Millis age) {
        BusyFleet busy(1);
        busy.run(busy.submit("job", 1, 8, 2, false, savesCheckpoints), 0, "w0", age);
        auto headrooms = busy.headrooms();
        auto pending = BusyFleet::waiting(busy.submit("ordinary", 1, 8, 1));
        auto table = fleet::findVictims(busy.fleet(), headrooms, at);
        return fleet::planPreemption(table, pending, headrooms, false, {}, at).has_value();
    };
    BOOST_CHECK(isPlanned(true, Millis(2000)));
    BOOST_CHECK(!isPlanned(true, Millis(1999)));
    BOOST_CHECK(!isPlanned(false, Millis(2900)));
}
