#include "agatevane/idempotency/claim_flow.h"
#include <boost/test/unit_test.hpp>
#include <functional>
#include <rapidcheck/boost_test.h>

using namespace agatevane;

namespace {

const std::string requestDigest = "r";
constexpr std::uint64_t deploymentsPerCase = 20;

//! Simulates the store, the worker and several VMs that serve the same request, with faults on every message. The
//! random generator chooses the order of deliveries; some messages arrive long after their sender has stopped waiting.
struct SimulatedDeployment {
    struct Vm {
        ClaimFlow flow;
        std::optional<ClaimAction> action;
        std::vector<AttemptId> sent;
    };

    Random random;
    int faultPercent;
    Instant at {};
    std::optional<Claim> record;
    std::int64_t revision = 0; //!< modification revision of the record; 0 if there is none
    std::int64_t storeRevision = 1;
    int instance = 1;
    std::map<AttemptId, AttemptState> attempts; //!< attempts known to the worker
    std::vector<AttemptId> executions;
    bool hasRestarted = false;
    std::vector<std::function<void()>> delayed;
    std::vector<std::unique_ptr<Vm>> vms;

    SimulatedDeployment(std::uint64_t seed, int faults)
        : random(seed)
        , faultPercent(faults)
    {
    }

    bool withProbability(int percent) { return uniform(random, 1, 100) <= percent; }
    ClaimWorker worker() const { return { { "w" }, "a:1", std::to_string(instance) }; }
    static ClaimAnswer answerOf(const AttemptId& attempt) { return makeClaimAnswer(200, "text/plain", attempt.value); }

    Vm& addVm(Millis budget)
    {
        auto& vm = *vms.emplace_back(std::make_unique<Vm>());
        vm.action = begin(vm.flow, "k", requestDigest, worker(), at + budget, random);
        return vm;
    }

    ClaimWritten write(const WriteClaim& action)
    {
        if (revision != action.expectedRevision)
            return { WriteOutcome::Conflict, revision, record };
        record = action.claim;
        revision = ++storeRevision;
        return { WriteOutcome::Written, revision, std::nullopt };
    }

    //! Runs the attempt at the worker. Returns false if the worker refuses it before the start.
    bool execute(const SendAttempt& action)
    {
        if (action.worker.instance != std::to_string(instance) || attempts[action.attempt] == AttemptState::Forbidden)
            return false;
        executions.push_back(action.attempt);
        attempts[action.attempt] = AttemptState::Running;
        auto end = [this, action, startedOn = instance] {
            if (startedOn == instance)
                attempts[action.attempt] = AttemptState::Done;
        };
        if (withProbability(30))
            delayed.emplace_back(end);
        else
            end();
        return true;
    }

    ClaimInput carryOut(Vm&, const WriteClaim& action)
    {
        if (withProbability(faultPercent)) {
            switch (uniform(random, 0, 3)) {
            case 0:
                return ClaimWritten { WriteOutcome::NoEffect, 0, std::nullopt };
            case 1: // The write takes effect and its answer is lost.
                write(action);
                break;
            case 2: // The write takes effect later.
                delayed.emplace_back([this, action] { write(action); });
                break;
            default: // The write is lost.
                break;
            }
            return ClaimWritten { WriteOutcome::Unknown, 0, std::nullopt };
        }
        return write(action);
    }

    ClaimInput carryOut(Vm& vm, const SendAttempt& action)
    {
        vm.sent.push_back(action.attempt);
        if (withProbability(faultPercent)) {
            switch (uniform(random, 0, 3)) {
            case 0:
                return AttemptSent { SendOutcome::Refused, {}, "full" };
            case 1:
                execute(action);
                break;
            case 2:
                delayed.emplace_back([this, action] { execute(action); });
                break;
            default:
                break;
            }
            return AttemptSent { SendOutcome::Unknown, {}, "" };
        }
        if (!execute(action))
            return AttemptSent { SendOutcome::Refused, {}, "forbidden" };
        if (attempts[action.attempt] != AttemptState::Done)
            return AttemptSent { SendOutcome::Unknown, {}, "" };
        return AttemptSent { SendOutcome::Answered, answerOf(action.attempt), "" };
    }

    ClaimInput carryOut(Vm&, const QueryAttempt& action)
    {
        at = std::max(at, action.notBefore);
        if (withProbability(faultPercent))
            return AttemptQueried {};
        auto found = attempts.find(action.attempt);
        auto state = found == attempts.end() ? AttemptState::NeverSeen : found->second;
        if (action.forbid && state == AttemptState::NeverSeen)
            state = attempts[action.attempt] = AttemptState::Forbidden;
        AttemptQueried queried { state, std::to_string(instance), {} };
        if (state == AttemptState::Done)
            queried.answer = answerOf(action.attempt);
        return queried;
    }

    ClaimInput carryOut(Vm&, const ChooseWorker&)
    {
        return WorkerChosen { withProbability(50) ? std::optional(worker()) : std::nullopt };
    }

    ClaimInput carryOut(Vm&, const FinishClaim&) { return WorkerChosen {}; }

    void step(Vm& vm)
    {
        at += Millis(uniform(random, 0, 50));
        auto input = std::visit([&](const auto& action) { return carryOut(vm, action); }, *vm.action);
        vm.action = advance(vm.flow, input, at, random);
    }

    void deliverOne()
    {
        auto index = static_cast<std::size_t>(uniform(random, 0, static_cast<std::int64_t>(delayed.size()) - 1));
        auto event = std::move(delayed[index]);
        delayed.erase(delayed.begin() + static_cast<long>(index));
        event();
    }

    void restartWorker()
    {
        ++instance;
        hasRestarted = true;
        attempts.clear();
    }

    //! Steps the VMs in a random order until every flow has finished.
    void run(bool restarts)
    {
        while (true) {
            std::vector<Vm*> open;
            for (auto& vm : vms) {
                if (!std::holds_alternative<FinishClaim>(*vm->action))
                    open.push_back(vm.get());
            }
            if (open.empty())
                return;
            if (!delayed.empty() && withProbability(20))
                deliverOne();
            if (restarts && withProbability(2))
                restartWorker();
            step(*open[static_cast<std::size_t>(uniform(random, 0, static_cast<std::int64_t>(open.size()) - 1))]);
        }
    }

    void deliverAll()
    {
        while (!delayed.empty())
            deliverOne();
    }

    const FinishClaim& result(const Vm& vm) const { return std::get<FinishClaim>(*vm.action); }

    void check()
    {
        RC_ASSERT(executions.size() <= 1U);
        for (const auto& vm : vms) {
            const auto& finish = result(*vm);
            if (finish.outcome == ClaimOutcome::Done) {
                RC_ASSERT(executions.size() == 1U);
                RC_ASSERT(isBodyIntact(finish.answer));
                RC_ASSERT(finish.answer.body == executions.front().value);
            }
            if (finish.outcome == ClaimOutcome::NotRun) {
                for (const auto& attempt : vm->sent)
                    RC_ASSERT(std::find(executions.begin(), executions.end(), attempt) == executions.end());
            }
            RC_ASSERT(finish.outcome != ClaimOutcome::KeyReused);
        }
    }
};

} // namespace

// Guards against a second execution, a wrong NotRun and the answer of another attempt when messages are reordered, lost
// and delayed.
RC_BOOST_PROP(a_request_runs_at_most_once_under_faults, (std::uint64_t seed))
{
    for (std::uint64_t index = 0; index < deploymentsPerCase; ++index) {
        SimulatedDeployment deployment(seed * deploymentsPerCase + index, static_cast<int>((seed + index) % 70));
        auto vms = uniform(deployment.random, 1, 4);
        for (std::int64_t i = 0; i < vms; ++i)
            deployment.addVm(Millis(uniform(deployment.random, 0, 3000)));
        deployment.run(true);
        deployment.deliverAll();
        deployment.check();
    }
}

// Guards against a repeated request that gets a different answer, or none, once messages are delivered again.
RC_BOOST_PROP(a_repeated_request_gets_the_answer_once_faults_end, (std::uint64_t seed))
{
    SimulatedDeployment deployment(seed, 40);
    deployment.addVm(Millis(1000));
    deployment.addVm(Millis(1000));
    deployment.run(false);
    deployment.deliverAll();
    deployment.faultPercent = 0;
    for (int i = 0; i < 3; ++i) { // The first repeat may find an attempt that it has to forbid.
        deployment.addVm(Millis(60000));
        deployment.run(false);
        deployment.deliverAll();
    }
    deployment.check();
    RC_ASSERT(deployment.result(*deployment.vms.back()).outcome == ClaimOutcome::Done);
}

BOOST_AUTO_TEST_CASE(No_attempt_is_sent_while_the_store_is_unreachable, *boost::unit_test::label("flow"))
{
    Random random(1);
    ClaimFlow flow;
    auto action = begin(flow, "k", "r", { { "w" }, "a", "1" }, Instant() + Millis(1000), random);
    BOOST_TEST(std::get<WriteClaim>(action).expectedRevision == 0);
    action = advance(flow, ClaimWritten { WriteOutcome::NoEffect, 0, std::nullopt }, Instant(), random);
    BOOST_TEST((std::get<FinishClaim>(action).outcome == ClaimOutcome::NotSent));
}

// Guards against trusting a restarted worker that reports an attempt as never seen: it has lost its records, and the
// attempt may have run before the restart.
BOOST_AUTO_TEST_CASE(The_outcome_is_unknown_after_the_worker_restarts, *boost::unit_test::label("flow"))
{
    Random random(1);
    ClaimFlow flow;
    begin(flow, "k", "r", { { "w" }, "a", "1" }, Instant() + Millis(1000), random);
    auto action = advance(flow, ClaimWritten { WriteOutcome::Written, 2, std::nullopt }, Instant(), random);
    BOOST_TEST(std::holds_alternative<SendAttempt>(action));
    action = advance(flow, AttemptSent { SendOutcome::Unknown, {}, "" }, Instant(), random);
    BOOST_TEST(!std::get<QueryAttempt>(action).forbid);
    action = advance(flow, AttemptQueried { AttemptState::NeverSeen, "2", {} }, Instant(), random);
    BOOST_TEST((std::get<FinishClaim>(action).outcome == ClaimOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(An_idempotency_key_of_a_different_request_is_refused, *boost::unit_test::label("flow"))
{
    Random random(1);
    ClaimFlow flow;
    auto action = begin(flow, "k", "r", { { "w" }, "a", "1" }, Instant() + Millis(1000), random);
    auto other = std::get<WriteClaim>(action).claim;
    other.token = "other";
    other.requestDigest = "x";
    action = advance(flow, ClaimWritten { WriteOutcome::Conflict, 5, other }, Instant(), random);
    BOOST_TEST((std::get<FinishClaim>(action).outcome == ClaimOutcome::KeyReused));
}

RC_BOOST_PROP(a_claim_with_any_body_survives_encoding_and_decoding, (const std::string& key, const std::string& body))
{
    Claim claim { "key", "digest", "token", { "a" }, { { "w" }, "ip:1", "i" }, ClaimState::Done,
        makeClaimAnswer(201, "text/plain", body) };
    RC_ASSERT(decodeClaim(encodeClaim(claim)) == claim);
    auto text = encodeClaim(claim);
    RC_ASSERT(!decodeClaim(text.substr(0, text.size() - 1)) || body.empty());
    RC_ASSERT(!decodeClaim(key));
}

BOOST_AUTO_TEST_CASE(A_large_answer_is_recorded_by_length_and_digest, *boost::unit_test::label("codec"))
{
    Claim claim { "key", "digest", "token", { "a" }, { { "w" }, "ip:1", "i" }, ClaimState::Done,
        makeClaimAnswer(200, "", std::string(maxRecordedBodyBytes + 1, 'x')) };
    auto text = encodeClaim(claim);
    BOOST_TEST(text.size() < 1000U);
    auto read = decodeClaim(text);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(!read->answer.hasBody);
    BOOST_TEST(read->answer.digest == claim.answer.digest);
}
