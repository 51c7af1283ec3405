#include "platform.h"

#include <algorithm>

namespace rig {

namespace {

    constexpr std::size_t workersPerRack = 2;

} // namespace

Platform::Platform(const std::vector<std::string>& kinds, Record& record, IsRecorded isRecorded)
    : record_(record)
{
    storePort_ = server_.listen(
        [this](const Request& request, const Server::Respond& respond) { store_.handle(request, respond); });
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        Worker::Options options;
        options.id = "i-" + std::to_string(7000 + index);
        options.service = "visitdesk";
        options.kind = kinds[index];
        options.rack = "r1-" + std::to_string(index / workersPerRack);
        auto& worker = *workers_.emplace_back(std::make_unique<Worker>(options, store_, record, isRecorded, runTimes_));
        worker.setPort(server_.listen(
            [&worker](const Request& request, const Server::Respond& respond) { worker.handle(request, respond); }));
    }
    server_.start([this] {
        for (auto& worker : workers_)
            worker->tick();
        store_.tick();
    });
}

Platform::~Platform()
{
    server_.stop();
}

void Platform::putDesiredState(const Json& state)
{
    std::lock_guard lock(server_.mutex());
    store_.put("op/config", state.dump());
}

void Platform::writeForeignEntry()
{
    std::lock_guard lock(server_.mutex());
    auto busiest = std::max_element(workers_.begin(), workers_.end(),
        [](const auto& a, const auto& b) { return a->runningCount() < b->runningCount(); });
    Json entry { { "service", "another-service" }, { "address", "127.0.0.1:9" }, { "zone", "zone-a" },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
        { "capacity", { { "cpu", 16000 }, { "taskMemoryMb", 32768 }, { "gpu", 0 } } }, { "labels", { "z", "r9-9" } },
        { "clockMs", 1 }, { "sequence", 1 }, { "born", unixMs() } };
    store_.put("servers/" + (*busiest)->id(), entry.dump());
    record_.say("another writer has written servers/" + (*busiest)->id() + ", which has "
        + std::to_string((*busiest)->runningCount()) + " runs: " + entry.dump());
}

std::vector<std::string> Platform::tasksRunTwiceAtOnce()
{
    std::lock_guard lock(server_.mutex());
    std::vector<std::string> tasks;
    for (const auto& [task, runs] : runTimes_) {
        bool doOverlap = false;
        for (std::size_t one = 0; one < runs.size(); ++one) {
            for (std::size_t other = one + 1; other < runs.size(); ++other)
                doOverlap
                    = doOverlap || (runs[one].beganMs < runs[other].endedMs && runs[other].beganMs < runs[one].endedMs);
        }
        if (doOverlap)
            tasks.push_back(task);
    }
    return tasks;
}

std::size_t Platform::endsNotAcknowledged()
{
    std::lock_guard lock(server_.mutex());
    std::size_t count = 0;
    for (const auto& worker : workers_)
        count += worker->endsNotAcknowledged();
    return count;
}

std::int64_t Platform::startCount()
{
    std::lock_guard lock(server_.mutex());
    std::int64_t count = 0;
    for (const auto& worker : workers_)
        count += worker->startCount();
    return count;
}

std::int64_t Platform::endCount()
{
    std::lock_guard lock(server_.mutex());
    std::int64_t count = 0;
    for (const auto& worker : workers_)
        count += worker->endCount();
    return count;
}

std::int64_t Platform::highestFencingToken()
{
    std::lock_guard lock(server_.mutex());
    std::int64_t highest = 0;
    for (const auto& worker : workers_)
        highest = std::max(highest, worker->fencingToken());
    return highest;
}

int Platform::fencedOrders()
{
    std::lock_guard lock(server_.mutex());
    int count = 0;
    for (const auto& worker : workers_)
        count += worker->fencedOrders();
    return count;
}

std::size_t Platform::runningCount()
{
    std::lock_guard lock(server_.mutex());
    std::size_t count = 0;
    for (const auto& worker : workers_)
        count += worker->runningCount();
    return count;
}

Worker::Activity Platform::activityOf(const std::string& job)
{
    std::lock_guard lock(server_.mutex());
    Worker::Activity sum;
    for (const auto& worker : workers_) {
        auto activity = worker->activityOf(job);
        sum.running += activity.running;
        sum.done += activity.done;
        sum.lastEndMs = std::max(sum.lastEndMs, activity.lastEndMs);
    }
    return sum;
}

int Platform::oversizedTxns()
{
    std::lock_guard lock(server_.mutex());
    return store_.oversizedTxns();
}

std::size_t Platform::largestRefusedValue()
{
    std::lock_guard lock(server_.mutex());
    return store_.largestRefusedValue();
}

std::int64_t Platform::msSinceCommit()
{
    std::lock_guard lock(server_.mutex());
    return steadyMs() - store_.lastCommitMs();
}

} // namespace rig
