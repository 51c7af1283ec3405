#include "workload.h"

#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/workers.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using fleet::VisibleState;

namespace {

constexpr const char* jobId = "00000000000000e1";

//! One accepted job with a single task.
struct AcceptedJobFixture {
    AcceptedJobFixture()
    {
        state.tenure = 1;
        fleet::submit(state, test::sampleJob(jobId, 1, 1, 100), queue, 0, at);
        commit();
        BOOST_REQUIRE(shown() == VisibleState::Queued);
    }

    void commit()
    {
        auto batch = fleet::takeBatch(state, 30);
        fleet::applyCommitted(state, batch);
    }

    std::optional<VisibleState> shown() const { return fleet::visibleState(state, jobId); }

    fleet::Fleet state;
    desired_state::Queue queue = test::sampleQueue();
    Instant at = Instant(std::chrono::hours(1));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(visible_state, AcceptedJobFixture)

// Guards against a job that is shown as cancelled although its next owner goes on with it.
BOOST_AUTO_TEST_CASE(A_job_is_shown_as_cancelled_only_once_that_is_durable, *boost::unit_test::label("jobs"))
{
    fleet::cancel(state, jobId, 0, at);
    BOOST_CHECK(shown() == VisibleState::Queued);
    commit();
    BOOST_CHECK(shown() == VisibleState::Cancelled);
}

// Guards against a job that is shown as completed although its next owner runs its tasks again.
BOOST_AUTO_TEST_CASE(A_job_is_shown_as_completed_only_once_that_is_durable, *boost::unit_test::label("jobs"))
{
    fleet::Worker worker;
    fleet::applyEnd(state, worker, { { jobId, 0, 0, 0 }, 1 }, fleet::EndKind::Done, {}, 0, at);
    BOOST_CHECK(shown() == VisibleState::Queued);
    commit();
    BOOST_CHECK(shown() == VisibleState::Completed);
}

BOOST_AUTO_TEST_SUITE_END()
