#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/plan.h"
#include "history.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::scheduling;
using namespace agatevane::scheduling::testing;

// Guards against overcommitted workers, gangs that are charged or released in part, quotas exceeded, placements outside
// the allowed spread and accounts that drift from the gangs; workers come and go in these histories.
RC_BOOST_PROP(any_history_keeps_the_invariants, (const std::vector<Step>& steps))
{
    History history;
    for (const auto& step : steps) {
        history.apply(step);
        history.checkAll();
    }
}

// Guards against decisions that depend on addresses, hashing order or the wall clock.
RC_BOOST_PROP(the_same_history_gives_the_same_decisions, (const std::vector<Step>& steps))
{
    auto textOf = [&] {
        History history;
        std::string text;
        for (const auto& step : steps)
            history.apply(step);
        for (const auto& decision : history.log) {
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
    RC_ASSERT(textOf() == textOf());
}

// Guards against free accelerators that are neither used nor held although a waiting job could start on them.
RC_BOOST_PROP(no_job_waits_that_could_start, (const std::vector<Step>& steps))
{
    History history;
    for (const auto& step : steps) {
        history.apply(step);
        const Shard& shard = *history.shard;
        for (const auto& job : shard.jobs) {
            if (job.state != GangState::Queued
                || !mayCharge(shard, shard.workspaces[job.workspace], shard.shapes[job.shape]))
                continue;
            RC_ASSERT(fit(shard.fleet, shard.shapes[job.shape]).empty());
        }
    }
}

// Guards against a guarantee that lent capacity, reservations or work that cannot be stopped keep from its owner.
RC_BOOST_PROP(a_guarantee_is_reclaimed_after_any_history, (const std::vector<Step>& steps))
{
    History history;
    history.mayChangeFleet = false;
    for (const auto& step : steps)
        history.apply(step);
    std::vector<std::string> own;
    for (const auto& [id, spec] : history.queued) {
        if (spec.workspace.value == "a")
            own.push_back(id);
    }
    for (const auto& id : own) {
        dequeue(*history.shard, { id });
        history.queued.erase(id);
    }
    for (int i = 0; i < 24; ++i)
        history.submit(job("claim" + std::to_string(i), 1, "a"));
    Instant claimedAt = history.at;
    // Victims end within one step; the rest of the time is the scheduler's own.
    for (int round = 0; round < 20 && history.usedBy("a") < 24; ++round) {
        history.decideOnce();
        history.at += Millis(1000);
        history.endPreempted();
        history.decideOnce();
        history.checkAll();
    }
    RC_ASSERT(history.usedBy("a") >= 24);
    RC_ASSERT(elapsed(claimedAt, history.at) < Millis(30000));
}

// Guards against claims that preempt work which another workspace's guarantee covers; the history checks each
// preemption.
RC_BOOST_PROP(only_usage_above_a_guarantee_is_preempted_for_others, (const std::vector<Step>& steps))
{
    History history;
    history.mayChangeFleet = false;
    for (const auto& step : steps)
        history.apply(step);
}

// Guards against claims that preempt more gangs than they need.
RC_BOOST_PROP(without_any_one_of_its_victims_a_plan_does_not_fit, (const std::vector<Step>& steps, std::uint8_t size))
{
    History history;
    for (const auto& step : steps)
        history.apply(step);
    Shard& shard = *history.shard;
    std::vector<int> candidates;
    for (int slot = 0; slot < static_cast<int>(shard.jobs.size()); ++slot) {
        if (!shard.jobs[slot].slots.empty())
            candidates.push_back(slot);
    }
    Shape shape { .accelerators = 1 + size % 64, .perWorker = 0, .maxSpread = Spread::DataCentre };
    auto plan = planWithout(shard, shape, candidates);
    history.checkAll();
    RC_PRE(plan.has_value());
    for (int victim : plan->victims) {
        bool isNeeded = false;
        for (const auto& part : plan->slots) {
            const Worker& worker = shard.fleet.workers[part.worker];
            int free = worker.capacity - worker.used - worker.held;
            for (int other : plan->victims) {
                for (const auto& released : shard.jobs[other].slots)
                    free += other != victim && released.worker == part.worker ? released.accelerators : 0;
            }
            isNeeded |= free < part.accelerators;
        }
        RC_ASSERT(isNeeded);
    }
}

// Guards against a class that gets nothing while a more urgent class floods the shard.
RC_BOOST_PROP(a_flood_of_urgent_work_leaves_batch_its_floor, (std::uint32_t seed))
{
    Random random(seed);
    auto policy = History::defaultPolicy();
    policy.classFloor = 0.05 * static_cast<double>(uniform(random, 1, 4));
    History history(policy);
    history.mayChangeFleet = false;
    int floor = static_cast<int>(policy.classFloor * 72);
    for (int i = 0; i < 40; ++i)
        history.submit(job("batch" + std::to_string(i), 1, i % 2 == 0 ? "a" : "c", WorkClass::Batch));
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 6; ++i)
            history.submit(job("urgent" + std::to_string(round * 6 + i), static_cast<int>(uniform(random, 1, 4)), "b",
                WorkClass::Urgent));
        history.at += Millis(2000);
        history.endPreempted();
        if (history.running.size() > 10) {
            for (int i = 0; i < 3; ++i)
                history.end(history.running.begin()->first, EndReason::Finished);
        }
        history.decideOnce();
        history.checkAll();
        int batch = 0;
        bool isBatchWaiting = false;
        for (const auto& [id, gang] : history.running)
            batch += gang.spec.workClass == WorkClass::Batch && !gang.isPreempting ? gang.spec.accelerators : 0;
        for (const auto& [id, spec] : history.queued)
            isBatchWaiting |= spec.workClass == WorkClass::Batch;
        RC_ASSERT(!isBatchWaiting || batch >= floor);
    }
}

// Guards against a large gang that waits for ever behind small jobs that always find room first. The bound: the time to
// the reservation, plus the longest run time of what was running then, plus one reclaim deadline.
RC_BOOST_PROP(a_large_gang_starts_within_its_bound_under_a_flood_of_small_jobs, (std::uint32_t seed))
{
    Random random(seed);
    auto policy = History::defaultPolicy();
    policy.defragment = uniform(random, 0, 1) == 1;
    policy.starvedAfter = Millis(0);
    policy.shareClaimAfter = Millis(0);
    // The guarantees of others leave room for the gang; otherwise nothing bounds its wait while they are claimed.
    policy.workspaces[0].guaranteedAccelerators = 8;
    policy.workspaces[1].guaranteedAccelerators = 8;
    History history(policy);
    history.mayChangeFleet = false;
    constexpr int longestRun = 200; // seconds; declared as 20, since declared run times are off by ten
    std::map<std::string, Instant> ends;
    bool canCheckpoint = uniform(random, 0, 1) == 1;
    auto gang = job("gang", 48, "c");
    gang.acceleratorsPerWorker = 8;
    int number = 0;
    for (int second = 0; second < 1000 && !history.running.contains("gang"); second += 5) {
        history.at = at(second);
        if (second == 100)
            history.submit(gang);
        for (int i = 0; i < 8; ++i) {
            auto spec = job(
                "small" + std::to_string(number++), static_cast<int>(uniform(random, 1, 3)), i % 2 == 0 ? "a" : "b");
            spec.expectedMs = 20000;
            spec.canCheckpoint = canCheckpoint;
            history.submit(spec);
        }
        std::vector<std::string> ended;
        for (const auto& [id, running] : history.running) {
            auto end = ends.try_emplace(id, history.at + std::chrono::seconds(uniform(random, 20, longestRun))).first;
            if (end->second <= history.at)
                ended.push_back(id);
        }
        for (const auto& id : ended)
            history.end(id, EndReason::Finished);
        history.endPreempted();
        history.decideOnce();
    }
    RC_ASSERT(history.running.contains("gang"));
    RC_ASSERT(elapsed(at(100), history.at) <= Millis(60000 + longestRun * 1000 + 30000));
}
