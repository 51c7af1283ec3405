#include "fakes.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::entry;
using namespace agatevane::entry::test;

namespace {

const http::Headers headersWithKey { { "Idempotency-Key", "order 7/a" } };

http::ClientResult requestResult(Fixture& fixture, const std::string& link)
{
    return fixture.client->request("GET", link, "", now() + Millis(5000), { { "Authorization", "Bearer secret" } });
}

} // namespace

// Guards against a booking that is made twice when the load balancer sends a repeated request to another VM.
BOOST_AUTO_TEST_CASE(
    A_repeat_at_another_VM_gets_the_same_answer_without_a_second_run, *boost::unit_test::label("claims"))
{
    std::atomic<int> runs = 0;
    FakeWorker worker([&](const FakeCall& call, http::Response& response) {
        FakeWorker::answerWith(call, "run " + std::to_string(++runs), response);
    });
    Fixture fixture({ &worker });
    auto settings = Fixture::withDefaults({});
    settings.stores = { fixture.storeEndpoint() };
    EntryServer other(settings);
    BOOST_REQUIRE(!other.start());
    http::Client otherClient({ "127.0.0.1", other.port(), false, {} });
    auto headers = headersWithKey;
    headers.emplace("Authorization", "Bearer secret");
    while (otherClient.request("GET", "/readyz", "", now() + Millis(1000)).status != 200)
        std::this_thread::sleep_for(Millis(10));
    BOOST_TEST(fixture.call("a", headersWithKey).body == "run 1");
    std::this_thread::sleep_for(Millis(300)); // The other VM sends no calls to the worker before its first report.
    auto repeat = otherClient.request("POST", "/v1/services/visitdesk/calls", "a", now() + Millis(5000), headers);
    BOOST_TEST(repeat.body == "run 1");
    BOOST_TEST(requestResult(fixture, "/v1/requests/ws/order%207%2Fa").body == "run 1");
    BOOST_TEST(fixture.call("b", headersWithKey).status == 422); // Another request already has this key.
    BOOST_TEST(runs == 1);
}

// Guards against a second run, and against the outcome "not_run", when the answer of the first run was lost.
BOOST_AUTO_TEST_CASE(A_lost_answer_is_queried_from_the_worker, *boost::unit_test::label("claims"))
{
    FakeWorker worker([](const FakeCall& call, http::Response& response) {
        FakeWorker::echo(call, response);
        response.headers.erase("Agatevane-Digest");
    });
    Fixture fixture({ &worker });
    auto result = fixture.call("a", headersWithKey);
    BOOST_TEST(result.status == 200);
    BOOST_TEST(result.body == "answer to a");
    BOOST_TEST(worker.calls == 1);
}

// Guards against a call that runs without a claim while the store is unavailable, and against refusing idempotent
// calls, which need no claim.
BOOST_AUTO_TEST_CASE(Without_the_store_only_idempotent_calls_run, *boost::unit_test::label("claims"))
{
    FakeWorker worker;
    Fixture fixture({ &worker });
    fixture.store.setFaults({ .down = true });
    auto headers = headersWithKey;
    headers.emplace("Agatevane-Deadline-Ms", "1500");
    auto refused = fixture.call("a", headers);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(Fixture::outcomeOf(refused) == "unknown");
    BOOST_TEST(!http::headerOf(refused.headers, "Retry-After").empty());
    BOOST_TEST(worker.calls == 0);
    BOOST_TEST(fixture.call("a").body == "answer to a");
}

// Guards against a wrong outcome "not_run": a caller that receives it would book again with another key.
BOOST_AUTO_TEST_CASE(
    Without_the_store_a_repeat_of_a_call_that_ran_is_not_reported_as_not_run, *boost::unit_test::label("claims"))
{
    FakeWorker worker;
    Fixture fixture({ &worker });
    auto headers = headersWithKey;
    headers.emplace("Agatevane-Deadline-Ms", "1500");
    BOOST_TEST(fixture.call("a", headers).status == 200);
    fixture.store.setFaults({ .down = true });
    auto repeat = fixture.call("a", headers);
    BOOST_TEST(repeat.status == 503);
    BOOST_TEST(Fixture::outcomeOf(repeat) == "unknown");
    BOOST_TEST(worker.calls == 1);
}

// Guards against a call that fails because one worker refused it before its start.
BOOST_AUTO_TEST_CASE(A_refused_call_with_a_key_goes_to_another_worker, *boost::unit_test::label("claims"))
{
    FakeWorker full([](const FakeCall&, http::Response& response) { FakeWorker::refuse("full", response); });
    FakeWorker accepting;
    Fixture fixture({ &full, &accepting });
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(fixture.call("a", { { "Idempotency-Key", std::to_string(i) } }).status == 200);
    BOOST_TEST(accepting.calls == 6);
}
