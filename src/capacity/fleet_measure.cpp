#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/workers.h"
#include "capacity/measure.h"
#include <limits>

//! Measures the decisions of the owner of the fleet in agatevane-node.
namespace agatevane::capacity {

namespace {

    constexpr int workerSizes[] = { 200, 400, 800, 1600 };
    constexpr std::uint32_t tasksPerWorker = 11;
    constexpr std::int64_t unixMs = 1700000000000;
    constexpr std::int64_t milliCoresPerTask = 1000;
    constexpr std::int64_t memoryPerTask = 1024;

    desired_state::Queue makeQueue()
    {
        desired_state::Queue queue;
        queue.name = "queue-1";
        queue.service = "service-1";
        queue.priority = 1;
        return queue;
    }

    fleet::JobSpec makeSpec(const std::string& id, std::uint32_t tasks)
    {
        fleet::JobSpec spec;
        spec.id = id;
        spec.queue = "queue-1";
        spec.tenant = "tenant-1";
        spec.payload = std::string(100, 'x');
        fleet::StepSpec step;
        step.count = tasks;
        step.need = { milliCoresPerTask, memoryPerTask, 1 };
        step.estimatedMs = 3600000;
        step.savesCheckpoints = true;
        spec.steps.push_back(step);
        return spec;
    }

    fleet::PollAnswer makePollAnswer(const fleet::Worker& worker)
    {
        fleet::PollAnswer answer;
        answer.incarnation = worker.incarnation;
        answer.clockMs = 1000;
        for (const auto& [key, run] : worker.runs)
            answer.running.push_back({ key, std::string(16, 'c'), 50, 1000 });
        return answer;
    }

    //! Makes a fleet in which each worker runs `tasksPerWorker` tasks and has room for one more.
    std::unique_ptr<fleet::Fleet> makeFleet(int workers, Instant at)
    {
        auto fleet = std::make_unique<fleet::Fleet>();
        fleet->tenure = 1;
        fleet->tookOverAt = at;
        fleet->limits.maxStartsUnderWay = std::numeric_limits<std::size_t>::max();
        for (int i = 0; i < workers; ++i) {
            fleet::WorkerListing listing;
            listing.id = "worker-" + std::to_string(i);
            listing.service = "service-1";
            listing.rack = "rack-" + std::to_string(i / 8);
            listing.labels = { "kind-1", listing.rack };
            listing.capacity = { (tasksPerWorker + 1) * milliCoresPerTask, (tasksPerWorker + 1) * memoryPerTask,
                tasksPerWorker + 1 };
            listing.incarnation = 1;
            fleet::applyListing(*fleet, listing, at);
            fleet::applyPollAnswer(*fleet, listing.id, { 1, 1000, {}, {} }, unixMs, at);
            auto spec = makeSpec("job-" + std::to_string(i), tasksPerWorker);
            fleet::applyCommitted(*fleet, fleet::submit(*fleet, spec, makeQueue(), unixMs, at));
        }
        fleet::advance(*fleet, unixMs, at);
        for (auto& [id, worker] : fleet->workers)
            fleet::applyPollAnswer(*fleet, id, makePollAnswer(worker), unixMs, at);
        fleet::takeBatch(*fleet, fleet->writes.size());
        return fleet;
    }

} // namespace

Series fleetRound()
{
    Series series { "fleet, us for a round in which nothing starts", "workers", {} };
    for (int size : workerSizes) {
        Instant at = Instant {} + Millis(1000);
        auto fleet = makeFleet(size, at);
        series.samples.push_back(
            { static_cast<double>(size), measureMicroseconds([&] { fleet::advance(*fleet, unixMs, at); }) });
    }
    return series;
}

Series fleetJob()
{
    Series series { "fleet, us to accept, start and end a job of one task", "workers", {} };
    for (int size : workerSizes) {
        Instant at = Instant {} + Millis(1000);
        auto fleet = makeFleet(size, at);
        int number = 0;
        series.samples.push_back(
            { static_cast<double>(size), measureMicroseconds([&] {
                 auto id = "new-" + std::to_string(++number);
                 fleet::applyCommitted(*fleet, fleet::submit(*fleet, makeSpec(id, 1), makeQueue(), unixMs, at));
                 fleet::place(*fleet, unixMs, at);
                 fleet::TaskId task { id, 0, 0, 0 };
                 auto* entry = fleet::findTask(*fleet, task);
                 if (!entry->run)
                     return;
                 auto& worker = *fleet::findWorker(*fleet, entry->run->worker);
                 auto answer = makePollAnswer(worker);
                 std::erase_if(answer.running, [&](const auto& each) { return each.key.first == task; });
                 answer.ended.push_back(
                     { worker.lastAcknowledgedEnd + number, { task, entry->run->number }, fleet::EndKind::Done, {} });
                 fleet::applyPollAnswer(*fleet, worker.id, answer, unixMs, at);
                 auto batch = fleet::takeBatch(*fleet, fleet->writes.size());
                 fleet::applyCommitted(*fleet, batch);
                 fleet->jobs.erase(id);
             }) });
    }
    return series;
}

Series fleetPollAnswer()
{
    Series series { "fleet, us to take the answer of a poll", "tasks", {} };
    constexpr int sizes[] = { 1, 5, 11, 32 };
    for (int size : sizes) {
        Instant at = Instant {} + Millis(1000);
        auto fleet = makeFleet(1, at);
        auto& worker = fleet->workers.begin()->second;
        auto answer = makePollAnswer(worker);
        auto sample = answer.running.front();
        answer.running.clear();
        for (int task = 0; task < size; ++task) {
            sample.key.first.index = static_cast<std::uint32_t>(task);
            answer.running.push_back(sample);
        }
        series.samples.push_back({ static_cast<double>(size),
            measureMicroseconds([&] { fleet::applyPollAnswer(*fleet, worker.id, answer, unixMs, at); }) });
    }
    return series;
}

Series fleetMemory()
{
    Series series { "fleet, bytes with 11 tasks on each worker", "workers", {} };
    for (int size : workerSizes) {
        auto before = heapBytes();
        auto fleet = makeFleet(size, Instant {} + Millis(1000));
        series.samples.push_back({ static_cast<double>(size), heapBytes() - before });
    }
    return series;
}

Series fleetRecordBytes()
{
    Series series { "fleet, bytes of the store's records of accepted jobs", "jobs", {} };
    constexpr int sizes[] = { 5, 10, 20, 30 };
    for (int size : sizes) {
        Instant at = Instant {} + Millis(1000);
        fleet::Fleet fleet;
        for (int i = 0; i < size; ++i)
            fleet::submit(fleet, makeSpec("job-" + std::to_string(i), tasksPerWorker), makeQueue(), unixMs, at);
        kv::Txn txn;
        fleet::encodeBatch(fleet::takeBatch(fleet, fleet.writes.size()), txn);
        std::size_t bytes = 0;
        for (const auto& put : txn.puts)
            bytes += put.key.size() + put.value.size();
        series.samples.push_back({ static_cast<double>(size), static_cast<double>(bytes) });
    }
    return series;
}

} // namespace agatevane::capacity
