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
    CallStatus submitReceivedAfter(std::optional<Instant> receivedAfter)
    {
        std::optional<node::CallerAnswer> answer;
        owner->call({ CallKind::Submit, jobId, test::sampleJob(jobId, durationMs), receivedAfter }, test::sampleQueue(),
            {}, now() + Millis(1000), [&answer](node::CallerAnswer received) { answer = std::move(received); });
        BOOST_REQUIRE(waitUntil(Millis(1500), [&answer] { return answer.has_value(); }));
        return answer->status;
    }
};

//! Longer than the bound of a submission's age is off by: the event loops' ticks, and one more message between nodes.
constexpr Millis boundSlack { 700 };

//! Sends messages to the owner as another node does.
struct ForwardingFixture : test::NodesFixture {
    ForwardingFixture() { BOOST_REQUIRE_EQUAL(sendRequest(*owner(), "DELETE", jobId), gone); }

    static node::ForwardedCall submission()
    {
        return { CallKind::Submit, jobId, test::sampleJob(jobId, durationMs), test::sampleQueue(), {}, 1000 };
    }

    template <typename Answer, typename Message> Answer send(node::PeerMessage kind, const Message& message)
    {
        std::optional<Answer> answer;
        net::RpcClient peer(context, owner()->settings.peerAddress);
        peer.call(static_cast<std::uint16_t>(kind), net::encode(message), now() + Millis(1500),
            [&answer](std::error_code, const std::string& payload) { net::decode(payload, answer.emplace()); });
        BOOST_REQUIRE(waitUntil(Millis(2000), [&answer] { return answer.has_value(); }));
        return *answer;
    }

    node::SubmissionAnswer forward(std::int64_t heldMs, const node::OwnerTime& askedAt)
    {
        return send<node::SubmissionAnswer>(
            node::PeerMessage::Submission, node::ForwardedSubmission { submission(), heldMs, askedAt });
    }

    bool isKnown() { return sendRequest(*owner(), "GET", jobId) != gone; }

    static constexpr int gone = 500 + static_cast<int>(CallStatus::NoSuchJob);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(denied_cancellations, DeniedFixture)

// Guards against a job that runs although its cancellation was acknowledged: the submission had been held by a node
// while the owner answered the cancellation with "no such job".
BOOST_AUTO_TEST_CASE(A_submission_older_than_a_denied_cancellation_is_refused, *boost::unit_test::label("node"))
{
    auto receivedAfter = bootNow();
    auto denied = callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId);
    BOOST_REQUIRE(denied.status == CallStatus::NoSuchJob);
    BOOST_CHECK(submitReceivedAfter(receivedAfter) == CallStatus::NotAccepted);
    BOOST_CHECK(!stored(fleet::acceptancePrefix + std::string(jobId)));
    BOOST_CHECK(workerModel.history().empty());
}

// Guards against the refusal of a job that its caller submits anew, after a cancellation or after a mere question.
BOOST_AUTO_TEST_CASE(A_submission_after_a_denied_cancellation_is_accepted, *boost::unit_test::label("node"))
{
    auto denied = callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId);
    BOOST_REQUIRE(denied.status == CallStatus::NoSuchJob);
    BOOST_CHECK(submitReceivedAfter(bootNow()) == CallStatus::Ok);
}

BOOST_AUTO_TEST_CASE(A_submission_older_than_a_denied_question_is_accepted, *boost::unit_test::label("node"))
{
    auto receivedAfter = bootNow();
    auto denied = callThrough(test::sampleQueue(), {}, CallKind::QueryState, jobId);
    BOOST_REQUIRE(denied.status == CallStatus::NoSuchJob);
    BOOST_CHECK(submitReceivedAfter(receivedAfter) == CallStatus::Ok);
}

// Guards against a refusal, which says that the job never runs, of a repeat of a submission that was accepted.
BOOST_AUTO_TEST_CASE(A_late_repeat_of_an_accepted_submission_is_accepted, *boost::unit_test::label("node"))
{
    auto receivedAfter = bootNow();
    BOOST_REQUIRE(callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId).status == CallStatus::NoSuchJob);
    BOOST_REQUIRE(submitReceivedAfter(bootNow()) == CallStatus::Ok);
    BOOST_CHECK(submitReceivedAfter(receivedAfter) == CallStatus::Ok);
}

// Guards against a job that runs although its cancellation was acknowledged: only the owner that had answered "no such
// job" knew of that, and the next one accepted an earlier submission.
BOOST_AUTO_TEST_CASE(A_submission_older_than_a_denial_by_an_earlier_owner_is_refused, *boost::unit_test::label("node"))
{
    auto receivedAfter = bootNow();
    BOOST_REQUIRE(callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId).status == CallStatus::NoSuchJob);
    for (std::uint32_t tenure : { 2U, 3U }) {
        owner.reset();
        electOwner(tenure);
        BOOST_CHECK(owner->hasDenied(jobId));
        BOOST_CHECK(submitReceivedAfter(receivedAfter) == CallStatus::NotAccepted);
        BOOST_CHECK(submitReceivedAfter(std::nullopt) == CallStatus::NotAccepted);
    }
    BOOST_CHECK(!stored(fleet::acceptancePrefix + std::string(jobId)));
}

// Guards against the refusal of a job that its caller submits anew.
BOOST_AUTO_TEST_CASE(
    A_submission_after_the_takeover_is_accepted_despite_an_earlier_denial, *boost::unit_test::label("node"))
{
    BOOST_REQUIRE(callThrough(test::sampleQueue(), {}, CallKind::Cancel, jobId).status == CallStatus::NoSuchJob);
    owner.reset();
    electOwner(2);
    BOOST_CHECK(submitReceivedAfter(bootNow()) == CallStatus::Ok);
}

BOOST_AUTO_TEST_CASE(A_submission_is_accepted_by_the_next_owner_after_a_mere_question, *boost::unit_test::label("node"))
{
    auto receivedAfter = bootNow();
    BOOST_REQUIRE(callThrough(test::sampleQueue(), {}, CallKind::QueryState, jobId).status == CallStatus::NoSuchJob);
    owner.reset();
    electOwner(2);
    BOOST_CHECK(submitReceivedAfter(receivedAfter) == CallStatus::Ok);
}

// Guards against a denial that only this process knows of.
BOOST_AUTO_TEST_CASE(A_cancellation_is_not_denied_unless_the_store_has_the_denial, *boost::unit_test::label("node"))
{
    for (auto fault : { test::StoreFault::Refusing, test::StoreFault::Unresponsive }) {
        store.setFault(fault);
        std::optional<node::CallerAnswer> answer;
        owner->call({ CallKind::Cancel, jobId, {} }, test::sampleQueue(), {}, now() + Millis(4000),
            [&answer](node::CallerAnswer received) { answer = std::move(received); });
        BOOST_REQUIRE(waitUntil(Millis(2000), [&answer] { return answer.has_value(); }));
        BOOST_CHECK(answer->status == CallStatus::NotAccepted);
        BOOST_CHECK(!owner->hasDenied(jobId));
    }
}

// Guards against a "no such job" from a process that was paused while a later owner accepted the job.
BOOST_AUTO_TEST_CASE(A_cancellation_is_not_denied_once_the_ownership_is_unconfirmed, *boost::unit_test::label("node"))
{
    std::optional<node::CallerAnswer> answer;
    owner->call({ CallKind::Cancel, jobId, {} }, test::sampleQueue(), {}, now() + Millis(1000),
        [&answer](node::CallerAnswer received) { answer = std::move(received); });
    isOwnershipConfirmed = false;
    BOOST_REQUIRE(waitUntil(Millis(1500), [&answer] { return answer.has_value(); }));
    BOOST_CHECK(answer->status == CallStatus::WrongNode);
}

// Guards against a flood of cancellations of unknown jobs that costs the store a write for each.
BOOST_AUTO_TEST_CASE(Denials_share_their_writes, *boost::unit_test::label("node"))
{
    constexpr int cancellations = 600;
    constexpr int maxCommits = 5;
    int denied = 0;
    auto commitsBefore = store.commits();
    for (int n = 0; n < cancellations; ++n) {
        owner->call({ CallKind::Cancel, "unknown-" + std::to_string(n), {} }, test::sampleQueue(), {},
            now() + Millis(2000),
            [&denied](const node::CallerAnswer& answer) { denied += answer.status == CallStatus::NoSuchJob ? 1 : 0; });
    }
    BOOST_CHECK(waitUntil(Millis(2500), [&denied] { return denied == cancellations; }));
    BOOST_CHECK_LE(store.commits() - commitsBefore, maxCommits);
}

// Guards against an acceptance after a denial that a damaged record may have held.
BOOST_AUTO_TEST_CASE(
    A_submission_before_the_takeover_is_refused_if_a_record_of_denials_is_damaged, *boost::unit_test::label("node"))
{
    auto receivedAfter = bootNow();
    put(fleet::denialPrefix + std::string("1.1"), "damaged");
    owner.reset();
    electOwner(2);
    BOOST_CHECK(submitReceivedAfter(receivedAfter) == CallStatus::NotAccepted);
    BOOST_CHECK(submitReceivedAfter(bootNow()) == CallStatus::Ok);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(forwarded_submissions, ForwardingFixture)

// Guards against an owner that doesn't learn for how long another node has held a submission.
BOOST_AUTO_TEST_CASE(
    A_submission_held_by_another_node_during_a_denied_cancellation_is_refused, *boost::unit_test::label("node"))
{
    auto asked = forward(0, {});
    BOOST_REQUIRE(asked.answer.status == CallStatus::WrongNode);
    BOOST_CHECK(forward(2000, asked.askedAt).answer.status == CallStatus::NotAccepted);
    BOOST_CHECK(!isKnown());
    BOOST_CHECK(forward(0, asked.askedAt).answer.status == CallStatus::Ok);
}

// Guards against a submission that looks young because it was held up on its way: its sender had given it up when the
// owner received it.
BOOST_AUTO_TEST_CASE(A_submission_that_its_sender_does_not_repeat_is_not_accepted, *boost::unit_test::label("node"))
{
    auto asked = forward(0, {});
    BOOST_CHECK(asked.answer.status == CallStatus::WrongNode);
    BOOST_CHECK(!isKnown());
}

// Guards against a time that another owner has given: the clocks of two machines can't be compared.
BOOST_AUTO_TEST_CASE(A_time_of_another_owner_does_not_bound_the_age, *boost::unit_test::label("node"))
{
    auto asked = forward(0, {}).askedAt;
    auto answer = forward(0, { asked.tenure + 1, asked.bootNs });
    BOOST_CHECK(answer.answer.status == CallStatus::WrongNode);
    BOOST_CHECK_EQUAL(answer.askedAt.tenure, asked.tenure);
    BOOST_CHECK(!isKnown());
}

BOOST_AUTO_TEST_CASE(
    A_submission_of_unknown_age_from_an_earlier_build_is_refused_after_a_denial, *boost::unit_test::label("node"))
{
    auto answer = send<node::ForwardedAnswer>(node::PeerMessage::Call, submission());
    BOOST_CHECK(answer.status == CallStatus::NotAccepted);
    BOOST_CHECK(!isKnown());
}

// Guards against the refusal of a job that its caller submits anew, at the owner or at another node.
BOOST_AUTO_TEST_CASE(A_job_that_is_submitted_anew_after_a_denial_is_accepted, *boost::unit_test::label("node"))
{
    waitUntil(boundSlack, [] { return false; });
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", jobId), 200);
}

BOOST_AUTO_TEST_CASE(
    A_job_that_is_submitted_anew_at_the_owner_after_a_denial_is_accepted, *boost::unit_test::label("node"))
{
    waitUntil(boundSlack, [] { return false; });
    BOOST_CHECK_EQUAL(sendRequest(*owner(), "POST", jobId), 200);
}

BOOST_AUTO_TEST_SUITE_END()
