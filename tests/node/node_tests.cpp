#include "agatevane/base/hash.h"
#include "agreeing_peer.h"
#include "nodes_fixture.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace agatevane;
using test::StoreFault;

namespace {

constexpr const char* jobId = "00000000000000d1";
const std::string completed = std::to_string(static_cast<int>(fleet::VisibleState::Completed));

} // namespace

BOOST_FIXTURE_TEST_SUITE(nodes, test::NodesFixture)

BOOST_AUTO_TEST_CASE(A_job_submitted_to_any_node_is_completed_and_known_to_all_nodes, *boost::unit_test::label("node"))
{
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", jobId), 200);
    BOOST_CHECK_EQUAL(sendRequest(*owner(), "POST", jobId), 200);
    BOOST_CHECK(waitUntil(Millis(3000), [&] {
        std::string state;
        return sendRequest(*owner(), "GET", jobId, &state) == 200 && state == completed;
    }));
    for (auto& [name, member] : members)
        BOOST_CHECK_EQUAL(sendRequest(member, "GET", jobId), 200);
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
}

// Guards against bodies beyond the operators' limit, whose jobs fill the memory of nodes and the store.
BOOST_AUTO_TEST_CASE(A_body_beyond_the_limit_is_refused_by_each_node, *boost::unit_test::label("node"))
{
    constexpr int malformed = 500 + static_cast<int>(node::CallStatus::Malformed);
    std::string digits(test::maxBodyBytes, '0');
    for (auto* member : { owner(), follower() }) {
        BOOST_CHECK_EQUAL(sendRequest(*member, "POST", jobId, nullptr, digits + "1"), malformed);
        BOOST_CHECK_EQUAL(sendRequest(*member, "POST", jobId, nullptr, digits), 200);
    }
}

// Guards against a crowd of valid requests that fill the memory of a node while they wait for the owner's answers.
BOOST_AUTO_TEST_CASE(Requests_under_way_take_a_bounded_share_of_the_memory, *boost::unit_test::label("node"))
{
    constexpr int refused = 500 + static_cast<int>(node::CallStatus::NotAccepted);
    constexpr int requests = 40;
    clientLimits.requestBytes = 20 * test::maxBodyBytes;
    addNode("n3");
    auto& member = members.at("n3");
    BOOST_REQUIRE(waitUntil(Millis(3000), [&] { return sendRequest(member, "POST", jobId) == 200; }));
    std::string digits(test::maxBodyBytes, '0');
    std::map<int, int> answers;
    for (int number = 0; number < requests; ++number) {
        client.send(member.settings.callerAddress,
            { "POST", "/q/" + toHex(static_cast<std::uint64_t>(number) + 100), { { "x-queue-host", "jobs.example" } },
                digits },
            now() + Millis(3000), [&answers](std::error_code error, const event_http::Response& response) {
                ++answers[error ? 0 : response.status];
            });
    }
    BOOST_CHECK(waitUntil(Millis(4000), [&] { return answers[200] + answers[refused] == requests; }));
    BOOST_CHECK_GT(answers[200], 0);
    BOOST_CHECK_GT(answers[refused], 0);
    // What was refused takes no memory any more.
    BOOST_CHECK_EQUAL(sendRequest(member, "POST", jobId, nullptr, digits), 200);
}

// Guards against jobs that do not continue after the owner of the fleet has stopped.
BOOST_AUTO_TEST_CASE(Another_node_continues_the_jobs_when_the_owner_resigns, *boost::unit_test::label("node"))
{
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", jobId, nullptr, "1500"), 200);
    auto* formerOwner = owner();
    bool hasStopped = false;
    formerOwner->node->stop([&] { hasStopped = true; });
    BOOST_CHECK(waitUntil(Millis(1500), [&] { return owner() != nullptr && owner() != formerOwner; }));
    BOOST_CHECK(waitUntil(Millis(5000), [&] {
        std::string state;
        return sendRequest(*owner(), "GET", jobId, &state) == 200 && state == completed;
    }));
    BOOST_CHECK_EQUAL(workerModel.history().size(), 1U);
    BOOST_CHECK(waitUntil(Millis(4000), [&] { return hasStopped; }));
}

// Guards against an owner that stays the owner although the store no longer answers it while it serves other nodes. The
// ownership has to move, and the former owner has to learn this from the other nodes.
BOOST_AUTO_TEST_CASE(
    The_ownership_moves_away_from_a_node_that_the_store_does_not_answer, *boost::unit_test::label("node"))
{
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", jobId), 200);
    auto* formerOwner = owner();
    formerOwner->store->setFault(StoreFault::Unresponsive);
    BOOST_CHECK(waitUntil(Millis(6000), [&] { return !formerOwner->node->isOwner() && owner() != nullptr; }));
    BOOST_CHECK_EQUAL(sendRequest(*formerOwner, "POST", "00000000000000d2"), 200);
}

// Guards against a call that times out as soon as it is forwarded, because its caller has little time left, and is then
// answered as unknown (incident inc-c8aa of tuuletoke-grown).
BOOST_AUTO_TEST_CASE(A_call_with_little_time_left_is_served_or_refused, *boost::unit_test::label("node"))
{
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", jobId, nullptr, {}, Millis(400)), 200);
    auto refused = 500 + static_cast<int>(node::CallStatus::NotAccepted);
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", "00000000000000d2", nullptr, {}, Millis(160)), refused);
    waitUntil(Millis(300), [] { return false; });
    BOOST_CHECK_EQUAL(
        sendRequest(*owner(), "GET", "00000000000000d2"), 500 + static_cast<int>(node::CallStatus::NoSuchJob));
}

// Guards against outdated answers of an owner that was paused or is cut off from the store and all nodes, and so may
// have been replaced. In a soak, a job was reported as running after it had been reported as completed.
BOOST_AUTO_TEST_CASE(An_owner_without_confirmation_does_not_answer_for_the_fleet, *boost::unit_test::label("node"))
{
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", jobId), 200);
    auto* isolatedOwner = owner();
    for (auto& [name, member] : members) {
        if (&member != isolatedOwner)
            member.node.reset();
    }
    BOOST_CHECK_EQUAL(sendRequest(*isolatedOwner, "GET", jobId), 200);
    isolatedOwner->store->setFault(StoreFault::Unresponsive);
    waitUntil(Millis(4500), [] { return false; });
    BOOST_REQUIRE(isolatedOwner->node->isOwner());
    BOOST_CHECK_NE(sendRequest(*isolatedOwner, "GET", jobId), 200);
    BOOST_CHECK_NE(
        sendRequest(*isolatedOwner, "GET", "00000000000000d2"), 500 + static_cast<int>(node::CallStatus::NoSuchJob));
    isolatedOwner->store->setFault(StoreFault::None);
    BOOST_CHECK(waitUntil(Millis(4000), [&] { return sendRequest(*isolatedOwner, "GET", jobId) == 200; }));
}

// Guards against outdated answers of an owner that was paused: the agreement of another node, received before the
// pause, counted from the time when the owner read it.
BOOST_AUTO_TEST_CASE(Agreement_from_before_a_pause_does_not_make_an_owner_answer, *boost::unit_test::label("node"))
{
    auto* paused = owner();
    BOOST_REQUIRE_EQUAL(sendRequest(*paused, "POST", jobId, nullptr, "20000"), 200);
    for (auto& [name, member] : members) {
        if (&member != paused)
            member.node.reset();
    }
    test::AgreeingPeer peer;
    paused->settings.seedNodes = { peer.address() };
    paused->node->reload(paused->settings);
    paused->store->setFault(StoreFault::Unresponsive);
    waitUntil(Millis(2500), [] { return false; });
    BOOST_REQUIRE_EQUAL(sendRequest(*paused, "GET", jobId), 200);
    auto pulls = peer.pulls();
    BOOST_REQUIRE(waitUntil(Millis(2000), [&] { return peer.pulls() > pulls; }));
    peer.answerNoMore();
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    BOOST_REQUIRE(paused->node->isOwner());
    BOOST_CHECK_NE(sendRequest(*paused, "GET", jobId), 200);
}

// Guards against outdated answers of an owner that another node has not confirmed lately: the agreement counted from
// when it arrived, although the other node may have learnt of a later owner since it gave it.
BOOST_AUTO_TEST_CASE(An_agreement_counts_from_when_it_was_requested, *boost::unit_test::label("node"))
{
    auto* isolated = owner();
    BOOST_REQUIRE_EQUAL(sendRequest(*isolated, "POST", jobId, nullptr, "20000"), 200);
    for (auto& [name, member] : members) {
        if (&member != isolated)
            member.node.reset();
    }
    test::AgreeingPeer peer;
    peer.delayAnswers(Millis(500));
    isolated->settings.seedNodes = { peer.address() };
    isolated->node->reload(isolated->settings);
    isolated->store->setFault(StoreFault::Unresponsive);
    waitUntil(Millis(2500), [] { return false; });
    BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return sendRequest(*isolated, "GET", jobId) == 200; }));
    auto pulls = peer.pulls();
    BOOST_REQUIRE(waitUntil(Millis(2000), [&] { return peer.pulls() > pulls; }));
    peer.answerNoMore();
    waitUntil(node::ownerTimeout, [] { return false; });
    BOOST_REQUIRE(isolated->node->isOwner());
    BOOST_CHECK_NE(sendRequest(*isolated, "GET", jobId), 200);
}

// Guards against an owner that stops answering because the store is unavailable, although the other nodes know no other
// owner.
BOOST_AUTO_TEST_CASE(An_owner_answers_while_the_store_is_unavailable_to_all_nodes, *boost::unit_test::label("node"))
{
    BOOST_CHECK_EQUAL(sendRequest(*follower(), "POST", jobId), 200);
    for (auto& [name, member] : members)
        member.store->setFault(StoreFault::Unresponsive);
    waitUntil(Millis(3500), [] { return false; });
    BOOST_REQUIRE(owner());
    for (auto& [name, member] : members)
        BOOST_CHECK_EQUAL(sendRequest(member, "GET", jobId), 200);
}

// Guards against a cancellation that is acknowledged as "no such job" while the job runs on: the nodes that the store
// refuses know no later owner, and their owner denied a job that a later owner may have accepted.
BOOST_AUTO_TEST_CASE(No_node_denies_a_job_while_the_store_is_unavailable, *boost::unit_test::label("node"))
{
    auto notAccepted = 500 + static_cast<int>(node::CallStatus::NotAccepted);
    for (auto& [name, member] : members)
        member.store->setFault(StoreFault::Unresponsive);
    waitUntil(Millis(2500), [] { return false; });
    BOOST_REQUIRE(owner());
    for (auto& [name, member] : members) {
        for (const auto* method : { "DELETE", "GET" })
            BOOST_CHECK_EQUAL(sendRequest(member, method, "00000000000000d2"), notAccepted);
    }
}

// Guards against an owner that relies on the duration of its lease: the store ended the lease early, another node
// became the owner and accepted a job, and the earlier owner answered a cancellation of it with "no such job".
BOOST_AUTO_TEST_CASE(An_owner_whose_lease_ended_early_denies_no_job, *boost::unit_test::label("node"))
{
    auto* earlierOwner = owner();
    earlierOwner->store->setFault(StoreFault::Unresponsive);
    endOwnerLease();
    BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return ownerBeside(*earlierOwner) != nullptr; }));
    BOOST_REQUIRE_EQUAL(sendRequest(*ownerBeside(*earlierOwner), "POST", jobId, nullptr, "20000"), 200);
    auto noSuchJob = 500 + static_cast<int>(node::CallStatus::NoSuchJob);
    BOOST_REQUIRE(earlierOwner->node->isOwner());
    BOOST_CHECK_NE(sendRequest(*earlierOwner, "DELETE", jobId), noSuchJob);
    earlierOwner->store->setFault(StoreFault::None);
    BOOST_CHECK(waitUntil(Millis(3000), [&] { return sendRequest(*earlierOwner, "GET", jobId) == 200; }));
}

// Guards against a cancellation that is acknowledged although its record may never become durable.
BOOST_AUTO_TEST_CASE(A_cancellation_is_acknowledged_only_once_it_is_durable, *boost::unit_test::label("node"))
{
    auto* current = owner();
    BOOST_REQUIRE_EQUAL(sendRequest(*current, "POST", jobId, nullptr, "20000"), 200);
    current->store->setFault(StoreFault::Unresponsive);
    BOOST_CHECK_EQUAL(sendRequest(*current, "DELETE", jobId, nullptr, {}, Millis(600)),
        500 + static_cast<int>(node::CallStatus::OutcomeUnknown));
    current->store->setFault(StoreFault::None);
    BOOST_CHECK_EQUAL(sendRequest(*current, "DELETE", jobId), 200);
}

// Guards against a job that is denied, or said to be cancelled, by an owner that has not read its record yet.
BOOST_AUTO_TEST_CASE(An_owner_that_has_not_loaded_the_jobs_answers_for_none, *boost::unit_test::label("node"))
{
    BOOST_REQUIRE_EQUAL(sendRequest(*owner(), "POST", jobId, nullptr, "20000"), 200);
    for (auto& [name, member] : members)
        member.store->setFault(StoreFault::LosesListings);
    owner()->node.reset();
    BOOST_REQUIRE(waitUntil(Millis(4000), [this] { return owner() != nullptr; }));
    auto* next = owner();
    auto notAccepted = 500 + static_cast<int>(node::CallStatus::NotAccepted);
    for (const auto* method : { "GET", "DELETE", "POST" })
        BOOST_CHECK_EQUAL(sendRequest(*next, method, jobId), notAccepted);
    next->store->setFault(StoreFault::None);
    BOOST_CHECK(waitUntil(Millis(5000), [&] { return sendRequest(*next, "GET", jobId) == 200; }));
}

// Guards against a refusal, which says that the job never runs, of a submission that a node which has ended since may
// have accepted.
BOOST_AUTO_TEST_CASE(
    A_submission_forwarded_to_a_node_that_ends_is_answered_as_unknown, *boost::unit_test::label("node"))
{
    auto* asked = follower();
    auto* ending = owner();
    waitUntil(Millis(300), [] { return false; });
    for (auto& [name, member] : members)
        member.store->setFault(&member == ending ? StoreFault::LosesAnswers : StoreFault::Unresponsive);
    auto commitsBefore = ending->store->commits();
    node::Timer timer(context);
    std::function<void()> endOnceSent = [&] {
        if (ending->store->commits() > commitsBefore)
            return ending->node.reset();
        timer.arm(Millis(5), endOnceSent);
    };
    endOnceSent();
    BOOST_CHECK_EQUAL(sendRequest(*asked, "POST", jobId), 500 + static_cast<int>(node::CallStatus::OutcomeUnknown));
}

// Guards against a node that answers callers before it knows the queues and the keys.
BOOST_AUTO_TEST_CASE(A_node_without_a_desired_state_is_not_ready, *boost::unit_test::label("node"))
{
    auto unreadable = test::plainTranslation();
    unreadable.decodeDesiredState = [](const kv::Item&, Findings&) { return std::nullopt; };
    addNode("n9", unreadable);
    waitUntil(Millis(300), [] { return false; });
    const auto& isolated = members.at("n9");
    constexpr int unavailable = 503;
    BOOST_CHECK_EQUAL(readinessOf(isolated), unavailable);
    BOOST_CHECK_EQUAL(readinessOf(*owner()), 200);
    BOOST_CHECK_EQUAL(sendRequest(isolated, "POST", jobId), 500 + static_cast<int>(node::CallStatus::NotAccepted));
    members.erase("n9");
}

// Guards against a node that keeps an old desired state, or a removed API key, because the store refuses its calls.
BOOST_AUTO_TEST_CASE(
    A_node_without_the_store_receives_the_desired_state_from_other_nodes, *boost::unit_test::label("node"))
{
    auto* isolated = follower();
    isolated->store->setFault(StoreFault::Refusing);
    waitUntil(Millis(100), [] { return false; });
    putDesiredState("2");
    BOOST_CHECK(waitUntil(Millis(2500), [&] { return isolated->node->desiredVersion() == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()
