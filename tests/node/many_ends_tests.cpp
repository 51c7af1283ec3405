//! Workers on which more ends wait than they return at a time, because the store takes no writes.
#include "owner_fixture.h"
#include <boost/test/unit_test.hpp>
#include <map>

using namespace agatevane;
using test::StoreFault;

namespace {

constexpr const char* jobId = "00000000000000ab";
//! More than twice the ends that the two workers return at a time, and few enough to run at once.
constexpr std::uint32_t taskCount = 1250;
constexpr std::int64_t taskMs = 300;
//! Long enough for all tasks to end, and for some polls after that.
constexpr Millis outage { 2500 };

struct ManyEndsFixture : test::OwnerFixture {
    ManyEndsFixture()
    {
        auto job = test::sampleJob(jobId, taskMs);
        job.steps.front().count = taskCount;
        job.steps.front().need = { 100, 10, 0 };
        std::optional<node::CallerAnswer> answer;
        owner->call({ node::CallKind::Submit, jobId, job }, test::sampleQueue(), {}, now() + Millis(3000),
            [&answer](node::CallerAnswer received) { answer = std::move(received); });
        BOOST_REQUIRE(waitUntil(Millis(3000), [&answer] { return answer.has_value(); }));
        store.setFault(StoreFault::Refusing);
        waitUntil(outage, [] { return false; });
        store.setFault(StoreFault::None);
    }

    std::size_t repeatedStarts() const
    {
        std::map<fleet::TaskId, std::size_t> starts;
        for (const auto& run : workerModel.history())
            ++starts[run.key.first];
        return workerModel.history().size() - starts.size();
    }

    bool awaitCompletion()
    {
        return waitUntil(Millis(8000), [this] { return stateOf(jobId) == fleet::VisibleState::Completed; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(many_ends, ManyEndsFixture)

// Guards against tasks that run again although they have succeeded: a run whose end was beyond those that the worker
// returns at a time counted as missing.
BOOST_AUTO_TEST_CASE(A_run_whose_end_is_not_returned_yet_is_not_repeated, *boost::unit_test::label("node"))
{
    BOOST_CHECK(awaitCompletion());
    BOOST_CHECK_EQUAL(repeatedStarts(), 0U);
}

// Guards against the same after a takeover: the next owner took the tasks of such runs for idle.
BOOST_AUTO_TEST_CASE(An_inherited_run_whose_end_is_not_returned_yet_is_not_repeated, *boost::unit_test::label("node"))
{
    owner->stop();
    electOwner(2);
    BOOST_CHECK(awaitCompletion());
    BOOST_CHECK_EQUAL(repeatedStarts(), 0U);
}

BOOST_AUTO_TEST_SUITE_END()
