//! An owner that the store has not confirmed lately: another node may own the fleet without this one knowing it.
#include "owner_fixture.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr const char* jobId = "00000000000000c7";

struct UnconfirmedFixture : test::OwnerFixture {
    //! Submits a job that lasts longer than a test. Its record is durable when the function returns.
    void submitWhileUnconfirmed()
    {
        isOwnershipConfirmed = false;
        submitAs({}, jobId);
    }

    std::size_t startsWithin(Millis time)
    {
        waitUntil(time, [] { return false; });
        return workerModel.history().size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unconfirmed_owners, UnconfirmedFixture)

// Guards against a task that two owners start: the later owner's fencing token is unknown to a worker that has
// restarted, so that the worker carries out the orders of the earlier owner, too.
BOOST_AUTO_TEST_CASE(An_owner_that_may_have_been_replaced_starts_nothing, *boost::unit_test::label("node"))
{
    submitWhileUnconfirmed();
    BOOST_CHECK_EQUAL(startsWithin(Millis(700)), 0U);
}

// Guards against work that stands still after an outage of the store.
BOOST_AUTO_TEST_CASE(An_owner_that_is_confirmed_again_starts_what_waits, *boost::unit_test::label("node"))
{
    submitWhileUnconfirmed();
    waitUntil(Millis(300), [] { return false; });
    isOwnershipConfirmed = true;
    BOOST_CHECK(waitUntil(Millis(1000), [this] { return workerModel.history().size() == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
