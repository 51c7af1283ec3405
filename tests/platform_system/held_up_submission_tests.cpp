//! Submissions that reach the owner long after their caller has sent them, and has cancelled the job.
#include "deployment.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace agatevane;
using test::PlatformDeployment;

namespace {

constexpr const char* jobId = "7d20c94be18f5a75";
constexpr std::int64_t taskMs = 300;
//! After the hindrance, time for the submission to reach the owner and for its tasks to start.
constexpr Millis arrivalTime { 2500 };
constexpr int noAnswer = 0;

struct HeldUpSubmission {
    HeldUpSubmission()
        : owner(deployment.owner())
        , other(1 - owner)
    {
        BOOST_REQUIRE_GE(owner, 0);
        // The nodes have exchanged messages, so that the connection to the owner is open.
        BOOST_REQUIRE_EQUAL(deployment.stateOf(other, jobId), "410");
    }

    void checkJobNeverRuns()
    {
        std::this_thread::sleep_for(arrivalTime);
        BOOST_CHECK_EQUAL(deployment.stateOf(owner, jobId), "410");
        BOOST_CHECK_MESSAGE(deployment.runs().empty(), deployment.runs().dump());
    }

    standin::Relay relay { "127.0.0.1", 0 };
    PlatformDeployment deployment { { .nodes = 2, .workers = 1, .relay = &relay } };
    int owner;
    int other;
};

} // namespace

// Guards against a job that runs although its cancellation was acknowledged: the submission was held up between two
// nodes, and counted as new when it arrived.
BOOST_FIXTURE_TEST_CASE(A_submission_held_up_between_two_nodes_is_not_accepted_after_its_denial, HeldUpSubmission,
    *boost::unit_test::label("platform_system"))
{
    auto link = "peer-" + std::to_string(owner);
    BOOST_REQUIRE_EQUAL(relay.apply(link, { .isStalled = true }), 1);
    BOOST_CHECK_NE(deployment.submit(other, jobId, taskMs), 200);
    BOOST_REQUIRE_EQUAL(deployment.sendJobRequest(owner, "DELETE", jobId), 410);
    BOOST_REQUIRE_EQUAL(relay.apply(link, {}), 1);
    checkJobNeverRuns();
}

// Guards against the same by a submission that waited in the kernel of a paused node.
BOOST_FIXTURE_TEST_CASE(A_submission_that_a_paused_node_reads_late_is_not_accepted_after_its_denial, HeldUpSubmission,
    *boost::unit_test::label("platform_system"))
{
    deployment.node(other).pause();
    BOOST_CHECK_EQUAL(deployment.submit(other, jobId, taskMs), noAnswer);
    BOOST_REQUIRE_EQUAL(deployment.sendJobRequest(owner, "DELETE", jobId), 410);
    deployment.node(other).resume();
    checkJobNeverRuns();
}
