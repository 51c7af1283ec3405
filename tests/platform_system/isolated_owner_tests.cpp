//! An owner that is cut off from the store and the other nodes, beside its successor, with links to the workers that
//! are cut differently for the two.
#include "deployment.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace agatevane;
using test::PlatformDeployment;

namespace {

constexpr const char* jobId = "7d20c94be18f5a71";
//! The job's run outlasts the takeover, and ends before the earlier owner would take its lease for lapsed.
constexpr std::int64_t taskMs = 5000;
//! From the worker's last contact with the earlier owner to the owner's last contact with the store.
constexpr Millis beforeIsolation { 2200 };
//! The earlier owner has stepped down by then, counted from the same contact.
constexpr Millis overlapEnd { 12000 };

struct IsolatedOwner {
    IsolatedOwner()
        : earlier(deployment.owner())
        , next(1 - earlier)
    {
        BOOST_REQUIRE_GE(earlier, 0);
    }

    void cut(const std::string& link) { BOOST_REQUIRE_EQUAL(relay.apply(link, { .isCut = true }), 1); }

    std::string workerLink(const std::string& worker, int node)
    {
        return "worker-" + worker + "-" + std::to_string(node);
    }

    //! The earlier owner reaches neither the store nor the other node.
    void isolateEarlierOwner()
    {
        cut("store-" + std::to_string(earlier));
        cut("peer-0");
        cut("peer-1");
    }

    nlohmann::json runOfJob()
    {
        nlohmann::json found;
        BOOST_REQUIRE(deployment.await(Millis(3000), [&] {
            auto runs = deployment.runs();
            if (!runs.empty())
                found = runs.front();
            return !runs.empty();
        }));
        return found;
    }

    std::string otherWorkerThan(const std::string& worker)
    {
        auto workers = deployment.workers();
        return *std::find_if(workers.begin(), workers.end(), [&](const auto& each) { return each != worker; });
    }

    standin::Relay relay { "127.0.0.1", 0 };
    PlatformDeployment deployment { { .nodes = 2, .workers = 2, .maxLeaseMs = 10000, .relay = &relay } };
    int earlier;
    int next;
};

} // namespace

// Guards against a task that runs twice: an owner that was cut off took the lease of a run for lapsed that the next
// owner had renewed, and started the task again on a worker that the next owner could not reach.
BOOST_FIXTURE_TEST_CASE(
    A_run_that_only_the_next_owner_reaches_is_not_repeated, IsolatedOwner, *boost::unit_test::label("platform_system"))
{
    nlohmann::json step { { "count", 1 }, { "cpu", 1000 }, { "gpu", 2 }, { "estimatedMs", taskMs } };
    nlohmann::json job { { "specification", "ms=" + std::to_string(taskMs) },
        { "steps", nlohmann::json::array({ step }) } };
    BOOST_REQUIRE_EQUAL(deployment.sendJobRequest(earlier, "POST", jobId, job), 200);
    const std::string worker = runOfJob().at("worker");
    cut(workerLink(worker, earlier));
    cut(workerLink(otherWorkerThan(worker), next));
    auto cutAt = now();
    std::this_thread::sleep_until(cutAt + beforeIsolation);
    isolateEarlierOwner();
    BOOST_CHECK(deployment.awaitState(next, jobId, "completed", Millis(8000)));
    std::this_thread::sleep_until(cutAt + overlapEnd);
    auto runs = deployment.runs();
    BOOST_CHECK_MESSAGE(runs.size() == 1, runs.dump() << "\n" << deployment.logOf(earlier));
}
