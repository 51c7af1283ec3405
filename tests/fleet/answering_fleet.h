#pragma once

#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

namespace agatevane::test {

inline Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

//! One owner and two workers, which have answered it by 100 ms. What happens afterwards is up to the test.
struct AnsweringFleet {
    static constexpr const char* jobId = "00000000000000c8";
    static constexpr const char* label = "a"; //!< of both workers

    AnsweringFleet()
    {
        fleet.tenure = fleet.fencingToken = 1;
        fleet.tookOverAt = instantAt(0);
        fleet.desired.queues.push_back(queue);
        fleet::applyFullList(fleet, { listing("w1"), listing("w2") }, instantAt(0));
        advance(0);
        answer("w1", 100);
        answer("w2", 100);
    }

    static fleet::WorkerListing listing(
        const fleet::WorkerId& id, std::int64_t incarnation = 1, const std::string& workerLabel = label)
    {
        fleet::WorkerListing listing;
        listing.id = id;
        listing.service = sampleQueue().service;
        listing.labels = { workerLabel };
        listing.capacity = { 64000, 128000, 8 };
        listing.incarnation = incarnation;
        return listing;
    }

    //! Accepts a job of one task, which needs the workers' label. It is durable at once.
    void submit(std::int64_t ms)
    {
        constexpr std::size_t maxEntries = 30;
        auto job = sampleJob(jobId, 1, 1, 60000);
        job.steps.front().requiredLabel = label;
        fleet::submit(fleet, job, queue, ms, instantAt(ms));
        auto batch = fleet::takeBatch(fleet, maxEntries);
        fleet::applyCommitted(fleet, batch);
    }

    fleet::Orders advance(std::int64_t ms)
    {
        fleet.isPlacementDue = true;
        return fleet::advance(fleet, ms, instantAt(ms));
    }

    //! The worker answers a poll that was sent just before.
    void answer(const fleet::WorkerId& worker, std::int64_t ms, std::vector<fleet::RunningReport> running = {},
        std::int64_t incarnation = 1)
    {
        fleet::PollAnswer answer;
        answer.incarnation = incarnation;
        answer.clockMs = ms;
        answer.running = std::move(running);
        fleet.workers.at(worker).pollSentAt = instantAt(ms - 1);
        fleet::applyPollAnswer(fleet, worker, answer, ms, instantAt(ms));
    }

    //! The worker answers no poll any more.
    void silence(const fleet::WorkerId& worker, std::int64_t ms)
    {
        for (int miss = 0; miss < 3; ++miss)
            fleet::applyPollFailure(fleet, worker, instantAt(ms));
    }

    //! Accepts the job and returns the start order of its task.
    fleet::StartOrder startTask(std::int64_t ms)
    {
        submit(ms);
        auto starts = advance(ms + 10).starts;
        BOOST_REQUIRE_EQUAL(starts.size(), 1U);
        return starts.front();
    }

    void confirmStart(const fleet::StartOrder& start, std::int64_t ms)
    {
        fleet::applyStartOutcome(
            fleet, start.worker, { start.task, start.run }, fleet::OrderOutcome::Done, instantAt(ms));
    }

    desired_state::Queue queue = sampleQueue();
    fleet::Fleet fleet;
};

} // namespace agatevane::test
