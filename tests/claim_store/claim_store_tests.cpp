#include "agatevane/base/hash.h"
#include "agatevane/claim_store/claim_runner.h"
#include "agatevane/claim_store/worker_calls.h"
#include "standins/store/store_server.h"
#include "standins/worker/worker.h"
#include <boost/test/unit_test.hpp>
#include <future>

using namespace agatevane;

namespace {

constexpr Millis requestTimeout { 5000 };
const WorkspaceId workspace { "visits" };
const ServiceId service { "booking" };

//! One store, one worker, and as many VMs as a test creates.
struct Deployment {
    struct Vm {
        store::Client storeClient;
        ClaimStore claims;
        http::Client worker;
        Random random; //!< not thread-safe: used by one request at a time

        Vm(const std::vector<http::Endpoint>& endpoints, int workerPort, std::uint64_t seed)
            : storeClient(endpoints)
            , claims(storeClient, { .retention = std::chrono::seconds(60) })
            , worker({ "127.0.0.1", workerPort, false, {} })
            , random(seed)
        {
        }
    };

    standin::StoreServer store;
    standin::Worker worker;

    Deployment()
        : store(standin::StoreSettings { .threads = 32, .lostAnswerMs = 200 })
        , worker(standin::WorkerSettings { .name = { "w" }, .slots = 64, .callMs = 5, .lostAnswerMs = 200 }, 1)
    {
        BOOST_REQUIRE(!store.start());
        BOOST_REQUIRE(!worker.start());
    }

    std::unique_ptr<Vm> makeVm(std::uint64_t seed = 1)
    {
        std::vector<http::Endpoint> endpoints { { "127.0.0.1", store.port(), false, {} } };
        return std::make_unique<Vm>(endpoints, worker.port(), seed);
    }

    ClaimPorts ports(Vm& vm, const std::string& body)
    {
        return { [&vm, body](const SendAttempt& action, Instant deadline) {
                    return sendAttempt(vm.worker, "", action, service, body, deadline);
                },
            [&vm](
                const QueryAttempt& action, Instant deadline) { return queryAttempt(vm.worker, "", action, deadline); },
            [this](const WorkerId&) { return std::optional(claimWorker()); } };
    }

    ClaimWorker claimWorker() { return { { "w" }, "", worker.report().instance }; }

    FinishClaim run(Vm& vm, const std::string& key, const std::string& body, Millis budget = requestTimeout)
    {
        ClaimRequest request { workspace, key, service, body, claimWorker(), now() + budget };
        return runClaim(vm.claims, ports(vm, body), request, vm.random, { .queryInterval = Millis(20) });
    }

    std::size_t executionsOf(const std::string& body)
    {
        std::size_t count = 0;
        for (const auto& execution : worker.executions())
            count += execution["bodyDigest"] == digestOf(body) ? 1 : 0;
        return count;
    }
};

bool isAnswerTo(const FinishClaim& finish, const std::string& body)
{
    return isBodyIntact(finish.answer)
        && nlohmann::json::parse(finish.answer.body).value("requestDigest", "") == digestOf(body);
}

} // namespace

BOOST_AUTO_TEST_CASE(A_request_repeated_at_another_VM_gets_the_same_answer, *boost::unit_test::label("runner"))
{
    Deployment deployment;
    auto first = deployment.makeVm(1);
    auto second = deployment.makeVm(2);
    auto answer = deployment.run(*first, "k", "body");
    BOOST_TEST((answer.outcome == ClaimOutcome::Done));
    BOOST_TEST(isAnswerTo(answer, "body"));
    auto repeated = deployment.run(*second, "k", "body");
    BOOST_TEST((repeated.outcome == ClaimOutcome::Done));
    BOOST_TEST((repeated.answer == answer.answer));
    BOOST_TEST(deployment.executionsOf("body") == 1U);
    BOOST_TEST((deployment.run(*second, "k", "other").outcome == ClaimOutcome::KeyReused));
    auto found = lookUpClaim(second->claims, deployment.ports(*second, ""), workspace, "k", now() + requestTimeout);
    BOOST_TEST((found && found->answer == answer.answer));
    BOOST_TEST(!lookUpClaim(second->claims, deployment.ports(*second, ""), workspace, "none", now() + requestTimeout));
}

BOOST_AUTO_TEST_CASE(
    A_repeat_gets_an_answer_too_large_for_the_record_from_the_worker, *boost::unit_test::label("runner"))
{
    Deployment deployment;
    auto vm = deployment.makeVm();
    const std::string body = R"({"answerBytes":700000})";
    auto answer = deployment.run(*vm, "k", body);
    BOOST_TEST((answer.outcome == ClaimOutcome::Done));
    BOOST_TEST(answer.answer.length == 700000U);
    auto repeated = deployment.run(*vm, "k", body);
    BOOST_TEST((repeated.outcome == ClaimOutcome::Done));
    BOOST_TEST(repeated.answer.digest == answer.answer.digest);
    BOOST_TEST(deployment.executionsOf(body) == 1U);
}

// Guards against requests that are sent although their claim cannot be stored.
BOOST_AUTO_TEST_CASE(No_request_is_sent_while_the_store_is_unavailable, *boost::unit_test::label("runner"))
{
    Deployment deployment;
    auto vm = deployment.makeVm();
    deployment.store.setFaults({ .down = true });
    BOOST_TEST((deployment.run(*vm, "k", "body", Millis(500)).outcome == ClaimOutcome::NotSent));
    deployment.store.setFaults({ .silent = true });
    BOOST_TEST((deployment.run(*vm, "k2", "body", Millis(500)).outcome == ClaimOutcome::NotSent));
    BOOST_TEST(deployment.executionsOf("body") == 0U);
    deployment.store.setFaults({});
    BOOST_TEST((deployment.run(*vm, "k2", "body").outcome == ClaimOutcome::Done));
}

// Guards against one store call per claim, which would make the store refuse requests when many bookings arrive at
// once.
BOOST_AUTO_TEST_CASE(Concurrent_claims_share_transactions, *boost::unit_test::label("batch"))
{
    Deployment deployment;
    auto vm = deployment.makeVm();
    deployment.store.setFaults({ .slowMs = 100 });
    std::vector<std::future<ClaimWritten>> writes;
    for (int i = 0; i < 60; ++i) {
        writes.push_back(std::async(std::launch::async, [&vm, i] {
            Claim claim { .key = "k", .token = std::to_string(i), .attempt = { "a" } };
            // Every tenth write uses the key of write 1, so these writes conflict.
            return vm->claims.write("/c/" + std::to_string(i % 10 == 0 ? 1 : i), { claim, 0 }, now() + requestTimeout);
        }));
    }
    int written = 0;
    for (auto& write : writes) {
        auto result = write.get();
        written += result.outcome == WriteOutcome::Written ? 1 : 0;
        BOOST_TEST((result.outcome == WriteOutcome::Written || result.current));
    }
    BOOST_TEST(written == 54);
    BOOST_TEST(vm->claims.counts().transactions <= 20U);
}

BOOST_AUTO_TEST_CASE(Claims_expire_with_their_lease, *boost::unit_test::label("batch"))
{
    Deployment deployment;
    auto vm = deployment.makeVm();
    ClaimStore claims(
        vm->storeClient, { .retention = std::chrono::seconds(1), .leasePeriod = std::chrono::seconds(0) });
    Claim claim { .key = "k", .token = "t", .attempt = { "a" } };
    BOOST_TEST((claims.write("/c/k", { claim, 0 }, now() + requestTimeout).outcome == WriteOutcome::Written));
    BOOST_TEST(claims.read("/c/k", now() + requestTimeout).claim.has_value());
    auto end = now() + requestTimeout;
    while (claims.read("/c/k", now() + requestTimeout).claim && now() < end)
        std::this_thread::sleep_for(Millis(50));
    BOOST_TEST(!claims.read("/c/k", now() + requestTimeout).claim.has_value());
}

// Guards against a second execution, a wrong NotRun and a wrong answer when answers of the store and of the worker
// are lost at random while several VMs serve the same requests.
BOOST_AUTO_TEST_CASE(Requests_run_at_most_once_while_answers_are_lost, *boost::unit_test::label("faults"))
{
    Deployment deployment;
    deployment.store.setFaults({ .loseShare = 0.2 });
    deployment.worker.setFaults({ .dropShare = 0.2 });
    constexpr int requests = 20;
    std::vector<std::unique_ptr<Deployment::Vm>> vms;
    std::vector<std::future<FinishClaim>> results;
    for (std::uint64_t i = 0; i < 3; ++i)
        vms.push_back(deployment.makeVm(i));
    for (int i = 0; i < requests; ++i) {
        for (auto& vm : vms) {
            results.push_back(std::async(std::launch::async, [&deployment, &vm = *vm, i, seed = results.size()] {
                auto name = std::to_string(i);
                Random random(seed);
                ClaimRequest request { workspace, "k" + name, service, "body" + name, deployment.claimWorker(),
                    now() + Millis(3000) };
                return runClaim(
                    vm.claims, deployment.ports(vm, request.body), request, random, { .queryInterval = Millis(20) });
            }));
        }
    }
    int done = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
        auto body = "body" + std::to_string(i / vms.size());
        auto finish = results[i].get();
        auto executions = deployment.executionsOf(body);
        BOOST_TEST(executions <= 1U);
        if (finish.outcome == ClaimOutcome::Done) {
            ++done;
            BOOST_TEST(executions == 1U);
            BOOST_TEST(isAnswerTo(finish, body));
        }
    }
    BOOST_TEST(done > 0);
    deployment.store.setFaults({});
    deployment.worker.setFaults({});
    for (int i = 0; i < requests; ++i) {
        auto name = std::to_string(i);
        auto finish = deployment.run(*vms[0], "k" + name, "body" + name);
        BOOST_TEST((finish.outcome == ClaimOutcome::Done));
        BOOST_TEST(isAnswerTo(finish, "body" + name));
        BOOST_TEST(deployment.executionsOf("body" + name) == 1U);
    }
}
