//! A submission is held up on the link between two nodes. Its client gets no answer, cancels the job and is told that
//! there is none. Then the link heals.
#include "rig/deployment.h"

#include <iostream>

using namespace review;
using nlohmann::json;

namespace {

constexpr std::int64_t cutMs = 5500;
constexpr std::int64_t dueAfterMs = 14000;
constexpr std::int64_t cancelBoundMs = 3000;
constexpr std::int64_t watchAfterDueMs = 6000;
constexpr const char* job = "000000000000c001";

int play(const Options& options)
{
    Deployment deployment(options);
    deployment.putDesiredState();
    for (int number = 0; number < 4; ++number)
        deployment.workers().add("i-10" + std::to_string(number), "a", "r1");
    Relay linkToOwner(deployment.context(), deployment.record(), "the link from node 1 to node 0");
    auto owner = deployment.startNode(&linkToOwner);
    if (!deployment.awaitService(owner))
        return exitCouldNotRun;
    auto other = deployment.startNode();
    if (!deployment.awaitService(other))
        return exitCouldNotRun;
    deployment.sleep(2000);
    if (options.hasTrouble)
        linkToOwner.setCut(true);
    auto cutAt = rigMillis();
    json step { { "count", 1 }, { "cpu", 15000 }, { "taskMemoryMb", 22000 }, { "gpu", 1 }, { "estimatedMs", 2500 } };
    auto dueMs = agatevane::node::unixMillis() + dueAfterMs;
    // The job is due long after the link is whole again, so that its start is not near the disruption.
    auto submitted = deployment.call(other, "POST", job,
        { { "specification", "ms=2500" }, { "steps", json::array({ step }) }, { "repetitions", 1 },
            { "firstRunMs", dueMs }, { "intervalMs", 1000 } });
    // The client gives the job up. Its call reaches the owner at once.
    auto cancelled = deployment.call(owner, "DELETE", job);
    auto cancelledAt = rigMillis();
    if (cancelled != 200 && cancelled != 410)
        return exitCouldNotRun;
    deployment.sleep(std::max<std::int64_t>(0, cutAt + cutMs - rigMillis()));
    if (options.hasTrouble)
        linkToOwner.setCut(false);
    deployment.sleep(2000);
    deployment.stateOf(owner, job);
    deployment.sleep(std::max<std::int64_t>(0, cutAt + dueAfterMs + watchAfterDueMs - rigMillis()));
    int late = 0;
    for (const auto& run : deployment.workers().history()) {
        if (run.beganMs > cancelledAt + cancelBoundMs) {
            ++late;
            deployment.record().line("UNASKED: " + run.task + " run " + std::to_string(run.run) + " began on "
                + run.worker + " at " + std::to_string(run.beganMs) + " ms; the cancelling was acknowledged with "
                + std::to_string(cancelled) + " at " + std::to_string(cancelledAt) + " ms");
        }
    }
    deployment.stateOf(owner, job);
    auto summary = "submission answered " + std::to_string(submitted) + ", cancelling " + std::to_string(cancelled)
        + ", " + std::to_string(late) + " starts more than 3 s later";
    deployment.record().line(summary);
    std::cout << summary << std::endl;
    return late > 0 ? exitBroken : exitHeld;
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
