#include "node/response_times.h"

#include "owner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using node::ResponseTimes;

namespace {

constexpr Millis longest { 1000 };

ResponseTimes timesOf(Millis each, int count)
{
    ResponseTimes times;
    for (int n = 0; n < count; ++n)
        addResponse(times, each);
    return times;
}

} // namespace

// Guards against a second without any commit because one answer of a fast store was lost.
BOOST_AUTO_TEST_CASE(A_fast_store_is_asked_again_soon, *boost::unit_test::label("node"))
{
    BOOST_CHECK(responseTimeout(timesOf(Millis(4), 20), longest) == Millis(150));
}

// Guards against repetitions that flood a store that answers late: each answer would come after the next call.
BOOST_AUTO_TEST_CASE(The_timeout_follows_a_store_that_turns_slow, *boost::unit_test::label("node"))
{
    auto times = timesOf(Millis(4), 20);
    constexpr Millis slowAnswer { 240 };
    int calls = 0;
    while (responseTimeout(times, longest) < slowAnswer) {
        addTimeout(times);
        ++calls;
    }
    BOOST_CHECK_LE(calls, 1);
    for (int n = 0; n < 5; ++n) {
        addResponse(times, slowAnswer);
        BOOST_CHECK(responseTimeout(times, longest) > slowAnswer);
    }
}

// Guards against a timeout without bound while the store is down, against a store that is back and not asked for a
// second, against one that has turned slow and is never given the time to answer, and against a short timeout before
// anything is known.
BOOST_AUTO_TEST_CASE(The_timeout_is_bounded, *boost::unit_test::label("node"))
{
    auto times = timesOf(Millis(4), 20);
    int longAttempts = 0;
    for (int n = 0; n < 40; ++n) {
        addTimeout(times);
        auto timeout = responseTimeout(times, longest);
        bool isLong = timeout == longest;
        longAttempts += isLong ? 1 : 0;
        BOOST_CHECK(isLong || timeout <= longest / 2);
    }
    BOOST_CHECK_EQUAL(longAttempts, 10);
    BOOST_CHECK(responseTimeout(ResponseTimes {}, longest) == longest);
}

// Guards against submissions that are refused, or answered as unknown, because one answer of the store was lost.
BOOST_FIXTURE_TEST_CASE(A_submission_is_accepted_although_the_first_answer_of_the_store_is_lost, test::OwnerFixture,
    *boost::unit_test::label("node"))
{
    for (int n = 0; n < 3; ++n) {
        std::optional<node::CallerAnswer> answer;
        submit("warm" + std::to_string(n), 100, answer);
        BOOST_REQUIRE(waitUntil(Millis(2000), [&answer] { return answer.has_value(); }));
    }
    store.setFault(test::StoreFault::LosesAnswers);
    std::optional<node::CallerAnswer> answer;
    constexpr Millis callerTimeout { 700 };
    auto before = store.commits();
    submit("job1", 100, answer, callerTimeout);
    BOOST_REQUIRE(waitUntil(Millis(500), [&] { return store.commits() > before; }));
    store.setFault(test::StoreFault::None);
    BOOST_REQUIRE(waitUntil(Millis(2000), [&answer] { return answer.has_value(); }));
    BOOST_CHECK(answer->status == node::CallStatus::Ok);
}
