//! The owner of the fleet is stopped in a planned way, and the store turns the next owner's machine away for a second
//! while it loads: 503 for one call, no answer for the next. Afterwards the workers of one kind are replaced one after
//! the other, and a job asks for that kind.
#include "cluster.h"
#include "record.h"

#include <atomic>
#include <csignal>

using namespace rig;

namespace {

constexpr int workersThatStay = 14; //!< of kind a
constexpr int workersReplaced = 10; //!< of kind b
constexpr std::int64_t refusalMs = 1000;
constexpr std::int64_t replacementGapMs = 1000;
constexpr std::int64_t leaveAfterMs = 4000; //!< longer than bounds.drainMs
constexpr std::int64_t finishMs = 14000; //!< bounds.finish_s
constexpr std::int64_t idleLimitMs = 3000; //!< the rule's 3 s with nothing running

//! The store turns the machine of the first node that writes after `begin` away, from its next call on.
class NextOwnerRefusal {
public:
    explicit NextOwnerRefusal(Store& store)
        : store_(store)
    {
    }

    void begin(int stoppedNode)
    {
        store_.setAction([this, stoppedNode](int node, const HttpRequest& request) {
            auto writer = store_.lastWriter();
            if (writer == stoppedNode || node != writer)
                return StoreAction::Serve;
            std::int64_t none = 0;
            if (endsAtMs_.compare_exchange_strong(none, nowMs() + refusalMs))
                record("the store turns " + Cluster::nameOf(node) + " away for " + std::to_string(refusalMs) + " ms");
            if (nowMs() >= endsAtMs_)
                return StoreAction::Serve;
            bool isBusy = calls_++ % 2 == 0;
            record("store to " + Cluster::nameOf(node) + ": " + request.path + " " + (isBusy ? "503" : "no answer"));
            return isBusy ? StoreAction::Busy : StoreAction::Silent;
        });
    }

    bool isOver() const { return endsAtMs_ != 0 && nowMs() >= endsAtMs_; }

private:
    Store& store_;
    std::atomic<std::int64_t> endsAtMs_ { 0 };
    std::atomic<int> calls_ { 0 };
};

std::string oldWorker(int number)
{
    return "i-old-" + std::to_string(number);
}

} // namespace

int main(int count, char** values)
{
    auto arguments = readArguments(count, values);
    auto& store = *new Store("127.0.0.1");
    store.put("op/config", desiredState(1));
    auto& workers = *new Workers(store, "127.0.0.1", "visitdesk", {});
    for (int n = 0; n < workersThatStay + workersReplaced; ++n)
        workers.add({ oldWorker(n), "m-" + std::to_string(n), n < workersThatStay ? "a" : "b",
            "r1-" + std::to_string(n / 8), 8 });
    Cluster cluster(store, { arguments.folder, 3, 0, {} });
    if (!cluster.waitUntilServing())
        return conclude(notRun, "the nodes don't serve");
    sleepMs(2000);
    auto& refusal = *new NextOwnerRefusal(store);
    auto stopped = store.lastWriter();
    if (arguments.isTroubled)
        refusal.begin(stopped);
    cluster.signal(stopped, SIGTERM);
    if (arguments.isTroubled) {
        for (int waited = 0; !refusal.isOver(); ++waited) {
            if (waited > 100)
                return conclude(notRun, "no other node became the owner within 10 s");
            sleepMs(100);
        }
    }
    auto alive = (stopped + 1) % cluster.size();
    sleepMs(6000);
    record("planned replacement of the workers of kind b begins");
    for (int n = 0; n < workersReplaced; ++n) {
        workers.add(
            { "i-new-" + std::to_string(n), "m-new-" + std::to_string(n), "b", "r2-" + std::to_string(n / 8), 8 });
        sleepMs(replacementGapMs / 2);
        workers.drain(oldWorker(workersThatStay + n), leaveAfterMs);
        sleepMs(replacementGapMs / 2);
    }
    sleepMs(leaveAfterMs);
    const std::string job = "00000000000000b1";
    record("POST " + job + " to " + Cluster::nameOf(alive));
    auto status = cluster
                      .call(alive, "POST", job,
                          jobOf("work=3000",
                              { { "count", 2 }, { "cpu", 1000 }, { "gpu", 1 }, { "estimatedMs", 3000 },
                                  { "requirements", "b" } }))
                      .status;
    record("answered " + std::to_string(status));
    if (status != 200)
        return conclude(notRun, "the job was not accepted");
    sleepMs(finishMs);
    auto idleSinceMs = nowMs();
    for (auto until = nowMs() + 2 * idleLimitMs; nowMs() < until; sleepMs(100)) {
        if (!workers.running().empty())
            idleSinceMs = nowMs();
    }
    auto state = cluster.stateOf(alive, job);
    record("GET " + job + ": " + state);
    if (state == "completed")
        return conclude(held, "the job was completed");
    bool isLost = nowMs() - idleSinceMs >= idleLimitMs;
    return conclude(isLost ? broken : notRun,
        "LOST: the job is " + state + " " + std::to_string(finishMs / 1000)
            + " s after its ack, nothing of it has run, and " + std::to_string(workersReplaced)
            + " idle workers of its kind are ready");
}
