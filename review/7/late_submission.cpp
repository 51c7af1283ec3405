//! A consumer hands a job in at a node that freezes, gives up, cancels the job at another node and is told that there
//! is no such job. The owner that said so is stopped in a planned way. The frozen node wakes up, reads the submission,
//! and the next owner accepts the job and runs it.
#include "cluster.h"
#include "record.h"

#include <algorithm>
#include <csignal>
#include <thread>

using namespace rig;

namespace {

constexpr std::int64_t freezeMs = 4000;
constexpr std::int64_t giveUpMs = 600;
constexpr std::int64_t stopOwnerAfterMs = 300;
constexpr std::int64_t contactMs = 3000; //!< bounds.contactMs
constexpr std::int64_t cancelMs = 3000; //!< bounds.cancel_ms
constexpr std::int64_t stopMs = 200; //!< bounds.stopMs

} // namespace

int main(int count, char** values)
{
    auto arguments = readArguments(count, values);
    auto& store = *new Store("127.0.0.1");
    store.put("op/config", desiredState(1));
    auto& workers = *new Workers(store, "127.0.0.1", "visitdesk", {});
    for (int n = 0; n < 4; ++n)
        workers.add({ "i-" + std::to_string(n), "m-" + std::to_string(n), "a", "r1-1", 8 });
    Cluster cluster(store, { arguments.folder, 3, 0, {} });
    if (!cluster.waitUntilServing())
        return conclude(notRun, "the nodes don't serve");
    sleepMs(2000);
    const std::string job = "00000000000000a1";
    auto owner = store.lastWriter();
    auto frozen = (owner + 1) % cluster.size();
    auto asked = (owner + 2) % cluster.size();
    if (arguments.isTroubled)
        cluster.signal(frozen, SIGSTOP);
    auto stoppedAtMs = nowMs();
    record("POST " + job + " to " + Cluster::nameOf(frozen));
    auto body = jobOf("lasting", { { "count", 2 }, { "cpu", 1000 }, { "gpu", 1 }, { "continuous", true } });
    auto submitted = cluster.call(frozen, "POST", job, body, giveUpMs).status;
    record("answered " + std::to_string(submitted) + " (0: the consumer has given up)");
    record("DELETE " + job + " to " + Cluster::nameOf(asked));
    auto cancelled = cluster.call(asked, "DELETE", job).status;
    auto cancelledAtMs = nowMs();
    record("answered " + std::to_string(cancelled));
    if (cancelled != 200 && cancelled != 410)
        return conclude(notRun, "the cancellation was not acknowledged");
    sleepMs(stopOwnerAfterMs);
    cluster.signal(owner, SIGTERM);
    sleepMs(stoppedAtMs + freezeMs - nowMs());
    if (arguments.isTroubled)
        cluster.signal(frozen, SIGCONT);
    // Judged well after the last disturbance, and later than the bounds of a cancellation.
    sleepMs(2 * contactMs + cancelMs + stopMs);
    auto starts = workers.starts();
    auto late = std::count_if(
        starts.begin(), starts.end(), [&](const auto& each) { return each.atMs > cancelledAtMs + cancelMs; });
    auto running = workers.running().size();
    record("GET " + job + ": " + cluster.stateOf(asked, job));
    if (running == 0 && late == 0)
        return conclude(held, "nothing of the cancelled job runs");
    return conclude(broken,
        "UNASKED: the cancellation was answered " + std::to_string(cancelled) + "; " + std::to_string(late)
            + " subtasks were started more than " + std::to_string(cancelMs) + " ms after that, and "
            + std::to_string(running) + " run " + std::to_string(nowMs() - cancelledAtMs) + " ms after it");
}
