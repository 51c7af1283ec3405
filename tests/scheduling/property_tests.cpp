#include "agatevane/scheduling/plan.h"
#include "agatevane/scheduling/shares.h"
#include "simulated_data_centre.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::scheduling;
using namespace agatevane::scheduling::testing;

// Guards against overcommitted workers, gangs that are charged or released only in part, exceeded quotas, placements
// outside the allowed spread, and totals that differ from the sum over the gangs. Workers become unavailable and
// available again in these sequences.
RC_BOOST_PROP(Any_sequence_of_events_keeps_the_invariants, (const std::vector<RandomStep>& steps))
{
    SimulatedDataCentre simulation;
    for (const auto& step : steps) {
        simulation.apply(step);
        simulation.requireInvariants();
    }
}

// Guards against decisions that depend on addresses, hashing order or the wall clock.
RC_BOOST_PROP(The_same_events_give_the_same_decisions, (const std::vector<RandomStep>& steps))
{
    auto decisionsAsText = [&] {
        SimulatedDataCentre simulation;
        std::string text;
        for (const auto& step : steps)
            simulation.apply(step);
        for (const auto& decision : simulation.decisionLog) {
            if (const auto* start = std::get_if<StartGang>(&decision)) {
                text += "start " + start->job.value;
                for (const auto& part : start->placement)
                    text += " " + part.worker.value + ":" + std::to_string(part.accelerators);
            } else if (const auto* preempt = std::get_if<PreemptGang>(&decision)) {
                text += "preempt " + preempt->job.value + " for " + preempt->beneficiary.value;
            }
            text += "\n";
        }
        return text;
    };
    RC_ASSERT(decisionsAsText() == decisionsAsText());
}

// Guards against free accelerators that are neither used nor held for a reservation although a queued job could start
// on them.
RC_BOOST_PROP(No_job_waits_that_could_start, (const std::vector<RandomStep>& steps))
{
    SimulatedDataCentre simulation;
    for (const auto& step : steps) {
        simulation.apply(step);
        const Shard& shard = *simulation.shard;
        for (const auto& job : shard.jobs) {
            if (job.state != GangState::Queued
                || !isWithinQuotaAndGuarantees(shard, shard.workspaces[job.workspace], shard.shapes[job.shape]))
                continue;
            RC_ASSERT(findAllocation(shard.fleet, shard.shapes[job.shape]).empty());
        }
    }
}

// Guards against a workspace that cannot get its guarantee because its capacity is lent, reserved or used by work that
// cannot be stopped.
RC_BOOST_PROP(A_guarantee_is_reclaimed_after_any_sequence_of_events, (const std::vector<RandomStep>& steps))
{
    SimulatedDataCentre simulation;
    simulation.mayChangeFleet = false;
    for (const auto& step : steps)
        simulation.apply(step);
    std::vector<std::string> ownJobs;
    for (const auto& [id, spec] : simulation.queued) {
        if (spec.workspace.value == "a")
            ownJobs.push_back(id);
    }
    for (const auto& id : ownJobs) {
        dequeue(*simulation.shard, { id });
        simulation.queued.erase(id);
    }
    for (int i = 0; i < 24; ++i)
        simulation.submit(job("claim" + std::to_string(i), 1, "a"));
    Instant claimedAt = simulation.at;
    // Preempted gangs end within one step of 1 s, so any further delay is caused by the scheduler.
    for (int round = 0; round < 20 && simulation.usedBy("a") < 24; ++round) {
        simulation.decideAndApply();
        simulation.at += Millis(1000);
        simulation.endPreemptedGangs();
        simulation.decideAndApply();
        simulation.requireInvariants();
    }
    RC_ASSERT(simulation.usedBy("a") >= 24);
    RC_ASSERT(elapsed(claimedAt, simulation.at) < Millis(30000));
}

// Guards against preemption of work that another workspace's guarantee covers. SimulatedDataCentre checks each
// preemption.
RC_BOOST_PROP(Only_usage_above_a_guarantee_is_preempted_for_others, (const std::vector<RandomStep>& steps))
{
    SimulatedDataCentre simulation;
    simulation.mayChangeFleet = false;
    for (const auto& step : steps)
        simulation.apply(step);
}

// Guards against the preemption of more gangs than are needed.
RC_BOOST_PROP(A_plan_needs_every_one_of_its_victims, (const std::vector<RandomStep>& steps, std::uint8_t size))
{
    SimulatedDataCentre simulation;
    for (const auto& step : steps)
        simulation.apply(step);
    Shard& shard = *simulation.shard;
    std::vector<int> candidates;
    for (int slot = 0; slot < static_cast<int>(shard.jobs.size()); ++slot) {
        if (!shard.jobs[slot].allocation.empty())
            candidates.push_back(slot);
    }
    Shape shape { .accelerators = 1 + size % 64, .acceleratorsPerWorker = 0, .maxSpread = Spread::DataCentre };
    auto plan = planReleases(shard, shape, candidates);
    simulation.requireInvariants();
    RC_PRE(plan.has_value());
    for (int victim : plan->victims) {
        bool isNeeded = false;
        for (const auto& part : plan->allocation) {
            const Worker& worker = shard.fleet.workers[part.worker];
            int free = worker.capacity - worker.used - worker.held;
            for (int other : plan->victims) {
                for (const auto& released : shard.jobs[other].allocation)
                    free += other != victim && released.worker == part.worker ? released.accelerators : 0;
            }
            isNeeded |= free < part.accelerators;
        }
        RC_ASSERT(isNeeded);
    }
}

// Guards against a class that gets no capacity while there is a flood of jobs of a more urgent class.
RC_BOOST_PROP(A_flood_of_urgent_work_leaves_batch_work_its_floor, (std::uint32_t seed))
{
    Random random(seed);
    auto policy = SimulatedDataCentre::defaultPolicy();
    policy.classFloor = 0.05 * static_cast<double>(uniform(random, 1, 4));
    SimulatedDataCentre simulation(policy);
    simulation.mayChangeFleet = false;
    int floor = static_cast<int>(policy.classFloor * 72);
    for (int i = 0; i < 40; ++i)
        simulation.submit(job("batch" + std::to_string(i), 1, i % 2 == 0 ? "a" : "c", WorkClass::Batch));
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 6; ++i)
            simulation.submit(job("urgent" + std::to_string(round * 6 + i), static_cast<int>(uniform(random, 1, 4)),
                "b", WorkClass::Urgent));
        simulation.at += Millis(2000);
        simulation.endPreemptedGangs();
        if (simulation.running.size() > 10) {
            for (int i = 0; i < 3; ++i)
                simulation.endGang(simulation.running.begin()->first, EndReason::Finished);
        }
        simulation.decideAndApply();
        simulation.requireInvariants();
        int batch = 0;
        bool isBatchWaiting = false;
        for (const auto& [id, gang] : simulation.running)
            batch += gang.spec.workClass == WorkClass::Batch && !gang.isPreempting ? gang.spec.accelerators : 0;
        for (const auto& [id, spec] : simulation.queued)
            isBatchWaiting |= spec.workClass == WorkClass::Batch;
        RC_ASSERT(!isBatchWaiting || batch >= floor);
    }
}

// Guards against a large gang that never starts because small jobs always take the free capacity first. The bound on
// its wait is the time to its reservation, plus the longest run time of the gangs running then, plus one reclaim
// deadline.
RC_BOOST_PROP(A_large_gang_starts_within_its_bound_under_a_flood_of_small_jobs, (std::uint32_t seed))
{
    Random random(seed);
    auto policy = SimulatedDataCentre::defaultPolicy();
    policy.defragment = uniform(random, 0, 1) == 1;
    policy.starvedAfter = Millis(0);
    policy.shareClaimAfter = Millis(0);
    // The guarantees of other workspaces leave enough capacity for the gang. Otherwise nothing bounds its wait while
    // these workspaces claim them.
    policy.workspaces[0].guaranteedAccelerators = 8;
    policy.workspaces[1].guaranteedAccelerators = 8;
    SimulatedDataCentre simulation(policy);
    simulation.mayChangeFleet = false;
    constexpr int longestRunSeconds = 200; // declared as 20, since declared run times may be wrong by a factor of ten
    std::map<std::string, Instant> ends;
    bool canCheckpoint = uniform(random, 0, 1) == 1;
    auto gang = job("gang", 48, "c");
    gang.acceleratorsPerWorker = 8;
    int number = 0;
    for (int second = 0; second < 1000 && !simulation.running.contains("gang"); second += 5) {
        simulation.at = at(second);
        if (second == 100)
            simulation.submit(gang);
        for (int i = 0; i < 8; ++i) {
            auto spec = job(
                "small" + std::to_string(number++), static_cast<int>(uniform(random, 1, 3)), i % 2 == 0 ? "a" : "b");
            spec.expectedMs = 20000;
            spec.canCheckpoint = canCheckpoint;
            simulation.submit(spec);
        }
        std::vector<std::string> ended;
        for (const auto& [id, running] : simulation.running) {
            auto end
                = ends.try_emplace(id, simulation.at + std::chrono::seconds(uniform(random, 20, longestRunSeconds)))
                      .first;
            if (end->second <= simulation.at)
                ended.push_back(id);
        }
        for (const auto& id : ended)
            simulation.endGang(id, EndReason::Finished);
        simulation.endPreemptedGangs();
        simulation.decideAndApply();
    }
    RC_ASSERT(simulation.running.contains("gang"));
    RC_ASSERT(elapsed(at(100), simulation.at) <= Millis(60000 + longestRunSeconds * 1000 + 30000));
}
