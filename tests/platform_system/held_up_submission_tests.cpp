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
//! Time in which the next node takes over, also from an owner that was killed.
constexpr Millis takeoverTime { 8000 };
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

    //! A caller hands the job in at a paused node, gives up and is told by the owner that there is no such job.
    void denyWhileOtherIsPaused()
    {
        deployment.node(other).pause();
        BOOST_CHECK_EQUAL(deployment.submit(other, jobId, taskMs), noAnswer);
        BOOST_REQUIRE_EQUAL(deployment.sendJobRequest(owner, "DELETE", jobId), 410);
    }

    //! The other node, which is the only one left, reads the submission and becomes the owner.
    void checkNextOwnerAcceptsOnlyNewSubmissions()
    {
        deployment.node(other).resume();
        BOOST_REQUIRE(deployment.await(takeoverTime, [this] { return deployment.owner() == other; }));
        owner = other;
        checkJobNeverRuns();
        BOOST_CHECK_EQUAL(deployment.submit(owner, jobId, taskMs), 200);
        BOOST_CHECK(deployment.awaitState(owner, jobId, "completed", arrivalTime));
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
    denyWhileOtherIsPaused();
    deployment.node(other).resume();
    checkJobNeverRuns();
}

// Guards against the same where the owner that answered the cancellation has stopped: the next one knew nothing of it.
BOOST_FIXTURE_TEST_CASE(A_submission_is_not_accepted_by_the_successor_of_a_stopped_owner_that_denied_it,
    HeldUpSubmission, *boost::unit_test::label("platform_system"))
{
    denyWhileOtherIsPaused();
    deployment.node(owner).requestStop();
    checkNextOwnerAcceptsOnlyNewSubmissions();
}

// Guards against the same where the owner had no time to tell anybody.
BOOST_FIXTURE_TEST_CASE(A_submission_is_not_accepted_by_the_successor_of_a_killed_owner_that_denied_it,
    HeldUpSubmission, *boost::unit_test::label("platform_system"))
{
    denyWhileOtherIsPaused();
    deployment.node(owner).kill();
    checkNextOwnerAcceptsOnlyNewSubmissions();
}
