//! Submissions that are still on their way when a cancellation of their job is answered.
#include "agatevane/net/rpc.h"
#include "nodes_fixture.h"
#include "owner_fixture.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using node::CallKind;
using node::CallStatus;

namespace {

constexpr const char* jobId = "00000000000000f1";
constexpr std::int64_t durationMs = 20000;

struct DeniedFixture : test::OwnerFixture {
    CallStatus submitReceivedBy(std::optional<Instant> receivedBy)
    {
        std::optional<node::CallerAnswer> answer;
        owner->call({ CallKind::Submit, jobId, test::sampleJob(jobId, durationMs), receivedBy }, test::sampleQueue(),
            {}, now() + Millis(1000), [&answer](node::CallerAnswer received) { answer = std::move(received); });
        BOOST_REQUIRE(waitUntil(Millis(1500), [&answer] { return answer.has_value(); }));
        return answer->status;
    }
};

//! Sends messages to the owner as another node does.
struct ForwardingFixture : test::NodesFixture {
    CallStatus forwardHeldFor(std::int64_t heldMs)
    {
        node::ForwardedCall call { CallKind::Submit, jobId, test::sampleJob(jobId, durationMs), test::sampleQueue(), {},
            1000 };
        std::optional<node::ForwardedAnswer> answer;
        net::RpcClient peer(context, owner()->settings.peerAddress);
        peer.call(static_cast<std::uint16_t>(node::PeerMessage::Submission),
            net::encode(node::ForwardedSubmission { call, heldMs }), now() + Millis(1500),
            [&answer](std::error_code, const std::string& payload) { net::decode(payload, answer.emplace()); });
        BOOST_REQUIRE(waitUntil(Millis(2000), [&answer] { return answer.has_value(); }));
        return answer->status;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(denied_cancellations, DeniedFixture)

// Guards against a job that runs although its cancellation was acknowledged: the submission had been held by a node
// while the owner answered the cancellation with "no such job".
BOOST_AUTO_TEST_CASE(A_submission_older_than_a_denied_cancellation_is_refused, *boost::unit_test::label("node"))
{
    auto receivedBy = bootNow();
    auto denied = callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId);
    BOOST_REQUIRE(denied.status == CallStatus::NoSuchJob);
    BOOST_CHECK(submitReceivedBy(receivedBy) == CallStatus::NotAccepted);
    BOOST_CHECK(!stored(fleet::acceptancePrefix + std::string(jobId)));
    BOOST_CHECK(workerModel.history().empty());
}

// Guards against the refusal of a job that its caller submits anew, after a cancellation or after a mere question.
BOOST_AUTO_TEST_CASE(A_submission_after_a_denied_cancellation_is_accepted, *boost::unit_test::label("node"))
{
    auto denied = callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId);
    BOOST_REQUIRE(denied.status == CallStatus::NoSuchJob);
    BOOST_CHECK(submitReceivedBy(bootNow()) == CallStatus::Ok);
}

BOOST_AUTO_TEST_CASE(A_submission_older_than_a_denied_question_is_accepted, *boost::unit_test::label("node"))
{
    auto receivedBy = bootNow();
    auto denied = callThrough(test::sampleQueue(), {}, CallKind::QueryState, jobId);
    BOOST_REQUIRE(denied.status == CallStatus::NoSuchJob);
    BOOST_CHECK(submitReceivedBy(receivedBy) == CallStatus::Ok);
}

// Guards against a refusal, which says that the job never runs, of a repeat of a submission that was accepted.
BOOST_AUTO_TEST_CASE(A_late_repeat_of_an_accepted_submission_is_accepted, *boost::unit_test::label("node"))
{
    auto receivedBy = bootNow();
    BOOST_REQUIRE(callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId).status == CallStatus::NoSuchJob);
    BOOST_REQUIRE(submitReceivedBy(bootNow()) == CallStatus::Ok);
    BOOST_CHECK(submitReceivedBy(receivedBy) == CallStatus::Ok);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(forwarded_submissions, ForwardingFixture)

// Guards against an owner that doesn't learn for how long another node has held a submission.
BOOST_AUTO_TEST_CASE(
    A_submission_held_by_another_node_during_a_denied_cancellation_is_refused, *boost::unit_test::label("node"))
{
    auto gone = 500 + static_cast<int>(CallStatus::NoSuchJob);
    BOOST_REQUIRE_EQUAL(sendRequest(*owner(), "DELETE", jobId), gone);
    BOOST_CHECK(forwardHeldFor(2000) == CallStatus::NotAccepted);
    BOOST_CHECK(forwardHeldFor(0) == CallStatus::Ok);
}

BOOST_AUTO_TEST_SUITE_END()
