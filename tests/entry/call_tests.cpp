#include "fakes.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace agatevane;
using namespace agatevane::entry;
using namespace agatevane::entry::test;

namespace {

const http::Headers idempotentWithDeadline { { "Agatevane-Idempotent", "true" }, { "Agatevane-Deadline-Ms", "400" } };

} // namespace

BOOST_AUTO_TEST_CASE(Only_known_callers_with_valid_headers_are_served, *boost::unit_test::label("calls"))
{
    FakeWorker worker;
    Fixture fixture({ &worker });
    BOOST_TEST(fixture.call("a").body == "answer to a");
    BOOST_TEST(fixture.call("a", { { "Authorization", "Bearer wrong" } }).status == 401);
    BOOST_TEST(fixture.call("a", { { "Agatevane-Class", "now" }, { "Agatevane-Deadline-Ms", "x" } }).status == 400);
    BOOST_TEST(worker.calls == 1);
}

// Guards against answers that reach the wrong caller when workers answer out of order.
BOOST_AUTO_TEST_CASE(Answers_out_of_order_reach_their_own_caller, *boost::unit_test::label("calls"))
{
    std::atomic<int> arrived = 0;
    FakeWorker worker([&](const FakeCall& call, http::Response& response) {
        std::this_thread::sleep_for(Millis(200 - 30 * arrived++));
        FakeWorker::echo(call, response);
    });
    Fixture fixture({ &worker });
    std::atomic<int> correctAnswers = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            auto body = std::to_string(i);
            correctAnswers += fixture.call(body).body == "answer to " + body ? 1 : 0;
        });
    }
    for (auto& caller : callers)
        caller.join();
    BOOST_TEST(correctAnswers == 6);
}

// Guards against the outcome "not_run" for a call that ran but whose answer arrived after the deadline.
BOOST_AUTO_TEST_CASE(A_late_answer_leaves_the_outcome_unknown, *boost::unit_test::label("calls"))
{
    FakeWorker worker([](const FakeCall& call, http::Response& response) {
        std::this_thread::sleep_for(Millis(800));
        FakeWorker::echo(call, response);
    });
    Fixture fixture({ &worker });
    auto result = fixture.call("a", idempotentWithDeadline);
    BOOST_TEST(result.status == 504);
    BOOST_TEST(Fixture::outcomeOf(result) == "unknown");
}

// Guards against passing on the answer of another attempt, or one whose body was truncated or altered.
BOOST_AUTO_TEST_CASE(Truncated_altered_or_foreign_answers_are_not_passed_on, *boost::unit_test::label("calls"))
{
    for (auto header : { "Agatevane-Attempt", "Agatevane-Length", "Agatevane-Digest" }) {
        FakeWorker broken([header](const FakeCall& call, http::Response& response) {
            FakeWorker::echo(call, response);
            response.headers.erase(header);
            response.headers.emplace(header, "1");
        });
        Fixture alone({ &broken });
        auto result = alone.call("a");
        BOOST_TEST(result.status == 504);
        BOOST_TEST(Fixture::outcomeOf(result) == "unknown");
        FakeWorker whole;
        Fixture both({ &broken, &whole });
        for (int i = 0; i < 10; ++i)
            BOOST_TEST(both.call("a").body == "answer to a");
    }
}

// Guards against a worker that attracts most calls because it fails at once, and against unlimited retries.
BOOST_AUTO_TEST_CASE(A_worker_that_fails_every_call_is_avoided, *boost::unit_test::label("calls"))
{
    FakeWorker failing([](const FakeCall& call, http::Response& response) {
        FakeWorker::answerWith(call, "failed", response);
        response.status = 500;
    });
    FakeWorker good1, good2, good3;
    Fixture fixture({ &failing, &good1, &good2, &good3 });
    for (int i = 0; i < 200; ++i)
        BOOST_TEST(fixture.call("a").status == 200);
    BOOST_TEST(failing.calls <= 10);
    Fixture alone({ &failing });
    auto result = alone.call("a");
    BOOST_TEST(result.status == 500); // The complete answer of the upstream is passed on once no retry is left.
    BOOST_TEST(result.body == "failed");
}

// Guards against calls to a leaving worker, and against a call that fails because a leaving worker refused it.
BOOST_AUTO_TEST_CASE(A_leaving_worker_gets_no_more_work, *boost::unit_test::label("calls"))
{
    FakeWorker refusing([](const FakeCall&, http::Response& response) { FakeWorker::refuse("leaving", response); });
    FakeWorker reporting, accepting;
    Fixture fixture({ &refusing, &reporting, &accepting });
    reporting.isLeaving = true;
    std::this_thread::sleep_for(Millis(300));
    int callsBefore = reporting.calls;
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(fixture.call("a").status == 200);
    BOOST_TEST(reporting.calls == callsBefore);
}

BOOST_AUTO_TEST_CASE(
    Calls_refused_by_all_workers_or_by_a_limit_are_reported_as_not_run, *boost::unit_test::label("calls"))
{
    FakeWorker full([](const FakeCall&, http::Response& response) { FakeWorker::refuse("full", response); });
    Fixture fixture({ &full });
    auto refused = fixture.call("a", idempotentWithDeadline);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(Fixture::outcomeOf(refused) == "not_run");
    BOOST_TEST(!http::headerOf(refused.headers, "Retry-After").empty());
    auto limited = fixture.call("a", { { "Agatevane-Idempotent", "true" }, { "Authorization", "Bearer slow" } });
    BOOST_TEST(limited.status == 429);
    BOOST_TEST(Fixture::outcomeOf(limited) == "not_run");
}

// Guards against a shutdown that aborts a call in progress, and against a readiness probe that does not show it.
BOOST_AUTO_TEST_CASE(Shutdown_finishes_the_call_in_progress, *boost::unit_test::label("shutdown"))
{
    std::atomic<bool> hasCallArrived = false;
    FakeWorker worker([&](const FakeCall& call, http::Response& response) {
        hasCallArrived = true;
        std::this_thread::sleep_for(Millis(500));
        FakeWorker::echo(call, response);
    });
    Fixture fixture({ &worker });
    http::ClientResult result;
    std::thread caller([&] { result = fixture.call("a"); });
    while (!hasCallArrived)
        std::this_thread::sleep_for(Millis(1));
    fixture.server->drain();
    BOOST_TEST(fixture.client->request("GET", "/readyz", "", now() + Millis(1000)).status == 503);
    fixture.server->stop();
    caller.join();
    BOOST_TEST(result.body == "answer to a");
}

// Guards against requests that wait in the queue beyond their deadline.
BOOST_AUTO_TEST_CASE(A_call_that_gets_no_slot_is_refused_at_its_deadline, *boost::unit_test::label("calls"))
{
    FakeWorker worker([](const FakeCall& call, http::Response& response) {
        std::this_thread::sleep_for(Millis(1500));
        FakeWorker::echo(call, response);
    });
    Fixture fixture({ &worker });
    std::vector<std::thread> longCalls;
    for (int i = 0; i < 8; ++i)
        longCalls.emplace_back([&] { fixture.call("hold"); });
    std::this_thread::sleep_for(Millis(300));
    auto sentAt = now();
    auto result = fixture.call("a", idempotentWithDeadline);
    BOOST_TEST(result.status == 503);
    BOOST_TEST(Fixture::outcomeOf(result) == "not_run");
    BOOST_TEST((now() - sentAt < Millis(900)));
    for (auto& longCall : longCalls)
        longCall.join();
}
