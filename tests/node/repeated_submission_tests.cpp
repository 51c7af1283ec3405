//! A caller that repeats a submission whose first attempt had no clear answer. Once a record may be stored, no later
//! attempt is refused.
#include "owner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using node::CallStatus;
using test::OwnerFixture;
using test::StoreFault;

namespace {

constexpr const char* jobId = "00000000000000f1";

struct RepeatedSubmissionFixture : OwnerFixture {
    RepeatedSubmissionFixture()
    {
        // The records of the takeover are stored, so that the next record is sent at once.
        waitUntil(Millis(300), [] { return false; });
    }

    CallStatus attempt()
    {
        std::optional<node::CallerAnswer> answer;
        submit(jobId, 100, answer, Millis(1000));
        BOOST_REQUIRE(waitUntil(Millis(1500), [&] { return answer.has_value(); }));
        return answer->status;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(repeated_submissions, RepeatedSubmissionFixture)

BOOST_AUTO_TEST_CASE(No_attempt_is_refused_while_a_record_is_on_its_way, *boost::unit_test::label("node"))
{
    store.setFault(StoreFault::LosesAnswers);
    BOOST_CHECK(attempt() == CallStatus::OutcomeUnknown);
    BOOST_CHECK(attempt() == CallStatus::OutcomeUnknown);
    store.setFault(StoreFault::None);
    BOOST_CHECK(attempt() == CallStatus::Ok);
}

BOOST_AUTO_TEST_CASE(No_attempt_is_refused_after_one_was_accepted, *boost::unit_test::label("node"))
{
    BOOST_CHECK(attempt() == CallStatus::Ok);
    store.setFault(StoreFault::Refusing);
    BOOST_CHECK(attempt() == CallStatus::Ok);
}

BOOST_AUTO_TEST_CASE(An_attempt_after_a_refusal_is_accepted_once, *boost::unit_test::label("node"))
{
    store.setFault(StoreFault::Refusing);
    BOOST_CHECK(attempt() == CallStatus::NotAccepted);
    store.setFault(StoreFault::None);
    BOOST_CHECK(attempt() == CallStatus::Ok);
    BOOST_CHECK(waitUntil(Millis(3000), [this] { return stateOf(jobId) == fleet::VisibleState::Completed; }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

BOOST_AUTO_TEST_SUITE_END()
