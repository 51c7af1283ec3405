#include "agatevane/base/token.h"
#include "entry/call_handler.h"
#include "entry/job_handler.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace agatevane;
using namespace agatevane::entry;

namespace {

const CallerEntry alice { .id = { "alice" }, .workspace = { "ws" }, .tokenDigest = tokenDigestOf("secret") };

Catalogue sampleCatalogue()
{
    DataCentreEntry dataCentre { .id = { "dc" }, .region = { "harju" } };
    dataCentre.workers.push_back({ .id = { "w1" },
        .rack = { "r1" },
        .address = "127.0.0.1:1",
        .service = { "visitdesk" },
        .capacity = { 8, 8, 1024 } });
    Catalogue catalogue;
    for (const auto& entry : std::vector<Entry> {
             WorkspaceEntry { .id = { "ws" } }, alice, ServiceEntry { .id = { "visitdesk" } }, dataCentre })
        insert(catalogue, entry);
    return catalogue;
}

//! The handlers with neither a worker nor a scheduler that could take the work. Whatever a test does when the handler
//! asks for the proof of freshness takes effect between two steps of the handler.
struct HandlerFixture {
    HandlerFixture()
        : published(makeSnapshot(catalogue))
    {
        gates.configure(*published.load(), 1, 8);
        router.configure(*published.load());
    }

    //! Calls `action` at the proof number `number` of a request, counted from 1.
    void atProof(int number, std::function<bool()> action)
    {
        proofs = 0;
        actionAt = number;
        proofAction = std::move(action);
    }

    bool prove() { return ++proofs == actionAt ? proofAction() : true; }

    bool revokeToken()
    {
        auto changed = catalogue;
        erase(changed, keyOf(Entry(alice)));
        published.store(makeSnapshot(changed));
        return true;
    }

    bool changeOtherEntry()
    {
        auto changed = catalogue;
        insert(changed, WorkspaceEntry { .id = { "other" } });
        published.store(makeSnapshot(changed));
        return true;
    }

    void restoreCatalogue() { published.store(makeSnapshot(catalogue)); }

    http::Response call()
    {
        http::Request request { .matches = { "", "visitdesk" }, .headers = headers, .body = "{}" };
        http::Response response;
        handleCall(callContext, request, response);
        return response;
    }

    http::Response submit()
    {
        http::Request request { .headers = headers,
            .body = R"({"kind":"train","accelerators":1,"expectedSeconds":60,"dataCentre":"dc"})" };
        http::Response response;
        submitJob(jobContext, request, response);
        return response;
    }

    static std::string titleOf(const http::Response& response)
    {
        return nlohmann::json::parse(response.body).value("title", "");
    }

    Catalogue catalogue = sampleCatalogue();
    http::Headers headers { { "Authorization", "Bearer secret" }, { "Agatevane-Idempotent", "true" } };
    int proofs = 0;
    int actionAt = 0;
    std::function<bool()> proofAction;

    asio::io_context context;
    PublishedCatalogue published;
    FreshCatalogue freshCatalogue { published, [this] { return prove(); } };
    metrics::Registry registry;
    EntryMetrics metrics { registry };
    store::Client store { std::vector<http::Endpoint> {} };
    ClaimStore claims { store };
    WorkerClient workerClient;
    WorkerRouter router { { "harju" } };
    GateTable gates;
    LimitTable limits { context, { "vm1" }, {} };
    SchedulerClient schedulerClient { context, {} };
    CallContext callContext { freshCatalogue, workerClient, router, gates, limits, claims, metrics, Millis(1000) };
    JobContext jobContext { freshCatalogue, schedulerClient, Millis(1000) };
};

const std::string notFresh = "the catalogue is not proved to be fresh";
const std::string changedCaller = "the caller's entry in the catalogue has changed";

//! What the handlers answer if nothing but the lack of workers and schedulers keeps them from running the work.
const std::string noWorker = "no worker is available";
const std::string noScheduler = "unavailable";

} // namespace

BOOST_FIXTURE_TEST_SUITE(fresh_catalogue, HandlerFixture)

// Guards against work of a revoked caller on a VM that was paused: the handler had loaded the catalogue before it was
// replaced by the one that was proved to be fresh.
BOOST_AUTO_TEST_CASE(Work_is_authorized_by_the_catalogue_that_was_proved, *boost::unit_test::label("catalogue"))
{
    atProof(1, [this] { return revokeToken(); });
    BOOST_TEST(call().status == 401);
    restoreCatalogue();
    atProof(1, [this] { return revokeToken(); });
    BOOST_TEST(submit().status == 401);
}

// Guards against work of a caller that is revoked while the request waits, or while the VM is paused after it has
// authenticated the caller.
BOOST_AUTO_TEST_CASE(Work_of_a_caller_that_was_revoked_meanwhile_is_not_run, *boost::unit_test::label("catalogue"))
{
    atProof(2, [this] { return revokeToken(); });
    auto called = call();
    BOOST_TEST(called.status == 503);
    BOOST_TEST(titleOf(called) == changedCaller);
    restoreCatalogue();
    atProof(2, [this] { return revokeToken(); });
    auto submitted = submit();
    BOOST_TEST(submitted.status == 503);
    BOOST_TEST(titleOf(submitted) == changedCaller);
}

// Guards against work under a catalogue whose proof has run out after the caller was authenticated.
BOOST_AUTO_TEST_CASE(Work_is_not_run_once_the_proof_has_run_out, *boost::unit_test::label("catalogue"))
{
    for (int proof = 1; proof <= 2; ++proof) {
        atProof(proof, [] { return false; });
        BOOST_TEST(titleOf(call()) == notFresh);
        atProof(proof, [] { return false; });
        BOOST_TEST(titleOf(submit()) == notFresh);
    }
}

// Guards against refusals of all waiting requests whenever any entry of the catalogue changes.
BOOST_AUTO_TEST_CASE(A_change_of_another_entry_stops_no_work, *boost::unit_test::label("catalogue"))
{
    for (int proof = 1; proof <= 2; ++proof) {
        restoreCatalogue();
        atProof(proof, [this] { return changeOtherEntry(); });
        BOOST_TEST(titleOf(call()) == noWorker);
        restoreCatalogue();
        atProof(proof, [this] { return changeOtherEntry(); });
        BOOST_TEST(titleOf(submit()) == noScheduler);
    }
}

BOOST_AUTO_TEST_SUITE_END()
