//! The owner is cut off from the store and the other nodes, and another node is elected. A worker that has forgotten
//! the new owner's fencing token in a restart carries out an order of the earlier owner.
#include "rig/deployment.h"

#include <iostream>

using namespace review;
using nlohmann::json;

namespace {

constexpr std::int64_t cutMs = 5500;
constexpr std::int64_t submitAfterMs = 1800;
constexpr std::int64_t crashAfterMs = 2600;
constexpr std::int64_t downMs = 300;
constexpr std::int64_t dueAfterMs = 3400;
constexpr std::int64_t beforeCutMs = 1000;
constexpr const char* timedJob = "000000000000f001";
constexpr const char* otherJob = "000000000000f002";

json jobOf(const char* specification, const json& step)
{
    return { { "specification", specification }, { "steps", json::array({ step }) } };
}

//! Pairs of runs of one subtask that were present at the same time.
int countOverlaps(Deployment& deployment)
{
    int overlaps = 0;
    const auto& runs = deployment.workers().history();
    for (std::size_t first = 0; first < runs.size(); ++first) {
        for (std::size_t second = first + 1; second < runs.size(); ++second) {
            const auto& one = runs[first];
            const auto& other = runs[second];
            if (one.task != other.task || (one.endedMs >= 0 && one.endedMs <= other.beganMs))
                continue;
            ++overlaps;
            deployment.record().line("TWICE: " + one.task + " runs as run " + std::to_string(one.run) + " on "
                + one.worker + " from " + std::to_string(one.beganMs) + " to " + std::to_string(one.endedMs)
                + " ms and as run " + std::to_string(other.run) + " on " + other.worker + " from "
                + std::to_string(other.beganMs) + " to " + std::to_string(other.endedMs) + " ms");
        }
    }
    return overlaps;
}

int play(const Options& options)
{
    WorkerTimes times;
    // A worker writes its entry about every 1,500 ms.
    times.firstReportMs = 1000;
    Deployment deployment(options, times);
    deployment.putDesiredState();
    deployment.workers().add("i-101", "a", "r1");
    deployment.workers().add("i-102", "a", "r2");
    deployment.workers().add("i-103", "a", "r1");
    Relay toOwner(deployment.context(), deployment.record(), "the link from node 1 to node 0");
    Relay fromOwner(deployment.context(), deployment.record(), "the link from node 0 to node 1");
    Relay ownerToStore(deployment.context(), deployment.record(), "the link from node 0 to the store");
    auto owner = deployment.startNode(&toOwner, &ownerToStore);
    if (!deployment.awaitService(owner))
        return exitCouldNotRun;
    auto other = deployment.startNode(&fromOwner);
    if (!deployment.awaitService(other))
        return exitCouldNotRun;
    deployment.sleep(3000);

    json step { { "count", 1 }, { "cpu", 15000 }, { "taskMemoryMb", 22000 }, { "gpu", 1 }, { "estimatedMs", 2500 } };
    auto cutAt = rigMillis() + beforeCutMs;
    auto sleepUntil = [&](std::int64_t ms) { deployment.sleep(std::max<std::int64_t>(0, ms - rigMillis())); };
    auto timed = jobOf("ms=2500", step);
    timed["repetitions"] = 1;
    timed["firstRunMs"] = agatevane::node::unixMillis() + beforeCutMs + dueAfterMs;
    timed["intervalMs"] = 1000;
    if (deployment.call(owner, "POST", timedJob, timed) != 200)
        return exitCouldNotRun;
    sleepUntil(cutAt);
    if (options.hasTrouble) {
        for (auto* link : { &toOwner, &fromOwner, &ownerToStore })
            link->setCut(true);
    }
    // A second job, at the node that is not cut off, on the one worker in rack r2. The present owner prefers that
    // worker for the timed job, since it is the fullest one.
    sleepUntil(cutAt + submitAfterMs);
    step["requirements"] = "r2";
    bool isAccepted = deployment.await(
        700, [&] { return deployment.call(other, "POST", otherJob, jobOf("ms=9000", step)) == 200; });
    sleepUntil(cutAt + crashAfterMs);
    if (options.hasTrouble) {
        deployment.workers().crash("i-101");
        deployment.sleep(downMs);
        deployment.workers().start("i-101", "a");
    }
    sleepUntil(cutAt + cutMs);
    if (options.hasTrouble) {
        for (auto* link : { &toOwner, &fromOwner, &ownerToStore })
            link->setCut(false);
    }
    deployment.sleep(8000);
    auto state = deployment.stateOf(other, timedJob);
    auto overlaps = countOverlaps(deployment);
    auto summary = std::string("second job ") + (isAccepted ? "accepted" : "not accepted") + ", timed job is shown as "
        + state + ", " + std::to_string(overlaps) + " pairs of runs at the same time";
    deployment.record().line(summary);
    std::cout << summary << std::endl;
    if (!isAccepted)
        return exitCouldNotRun;
    return overlaps > 0 ? exitBroken : exitHeld;
}

} // namespace

int main()
{
    try {
        return play(readOptions());
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
        return exitCouldNotRun;
    }
}
