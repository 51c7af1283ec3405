#include "busy_fleet.h"

#include "simulation.h"

namespace agatevane::test {

namespace {

    constexpr Millis longAgo { 10000 };

} // namespace

BusyFleet::BusyFleet(int workers)
{
    constexpr int workersPerRack = 4;
    fleet_.tenure = 1;
    for (int number = 0; number < workers; ++number)
        addWorker("w" + std::to_string(number), "r" + std::to_string(number / workersPerRack));
}

void BusyFleet::addWorker(const fleet::WorkerId& id, const std::string& rack)
{
    fleet::WorkerListing listing;
    listing.id = id;
    listing.service = sampleQueue().service;
    listing.rack = rack;
    listing.capacity = { 8000, 8000, acceleratorsPerWorker };
    listing.incarnation = 1;
    fleet::applyListing(fleet_, listing, now() - longAgo);
    fleet::applyPollAnswer(fleet_, id, { 1, 1000, {}, {}, 0 }, unixMs, now() - longAgo);
}

fleet::Job& BusyFleet::submit(const fleet::JobId& id, std::uint32_t count, std::int64_t accelerators, int priority,
    bool isGang, bool savesCheckpoints)
{
    auto spec = sampleJob(id, count, accelerators, 8000);
    auto& step = spec.steps.front();
    step.need = { accelerators * 1000, accelerators * 1000, accelerators };
    step.isGang = isGang;
    step.savesCheckpoints = savesCheckpoints;
    fleet::applyCommitted(fleet_, fleet::submit(fleet_, spec, sampleQueue(priority), unixMs, now() - longAgo));
    return fleet_.jobs.at(id);
}

void BusyFleet::run(fleet::Job& job, std::uint32_t index, const fleet::WorkerId& worker, Millis age)
{
    fleet::orderRun(job, { job.spec.id, 0, 0, index }, 1, fleet_.workers.at(worker), now() - age);
}

std::vector<fleet::WorkerHeadroom> BusyFleet::headrooms()
{
    std::vector<fleet::WorkerHeadroom> all;
    for (auto& [id, worker] : fleet_.workers) {
        fleet::WorkerHeadroom headroom { &worker, worker.capacity, {} };
        headroom.free -= worker.used;
        headroom.afterStops = headroom.free;
        all.push_back(headroom);
    }
    return all;
}

fleet::PendingStep BusyFleet::waiting(fleet::Job& job)
{
    fleet::PendingStep pending;
    pending.job = &job;
    for (std::uint32_t index = 0; index < job.spec.steps.front().count; ++index)
        pending.taskIndexes.push_back(index);
    return pending;
}

} // namespace agatevane::test
