#include "agatevane/idempotency/claim_flow.h"
#include <boost/test/unit_test.hpp>
#include <functional>
#include <rapidcheck/boost_test.h>

using namespace agatevane;

namespace {

const std::string requestDigest = "r";
constexpr std::uint64_t worldsPerCase = 20;

//! The store, the worker and several VMs that serve the same request, with faults at every message. All messages are
//! delivered in an order that the generator chooses; some are delivered long after their sender has given up.
struct World {
    struct Vm {
        ClaimFlow flow;
        std::optional<ClaimAction> action;
        std::vector<AttemptId> sent;
    };

    Random random;
    int faultPercent;
    Instant at {};
    std::optional<Claim> record;
    std::int64_t revision = 0; //!< of the record; 0 if there is none
    std::int64_t storeRevision = 1;
    int instance = 1;
    std::map<AttemptId, AttemptState> attempts; //!< what the worker knows
    std::vector<AttemptId> executions;
    bool hasRestarted = false;
    std::vector<std::function<void()>> delayed;
    std::vector<std::unique_ptr<Vm>> vms;

    World(std::uint64_t seed, int faults)
        : random(seed)
        , faultPercent(faults)
    {
    }

    bool chance(int percent) { return uniform(random, 1, 100) <= percent; }
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

    //! False if the worker refuses before the start.
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
        if (chance(30))
            delayed.emplace_back(end);
        else
            end();
        return true;
    }

    ClaimInput carryOut(Vm&, const WriteClaim& action)
    {
        if (chance(faultPercent)) {
            switch (uniform(random, 0, 3)) {
            case 0:
                return ClaimWritten { WriteOutcome::NoEffect, 0, std::nullopt };
            case 1: // carried out, answer lost
                write(action);
                break;
            case 2: // carried out later
                delayed.emplace_back([this, action] { write(action); });
                break;
            default: // lost
                break;
            }
            return ClaimWritten { WriteOutcome::Unknown, 0, std::nullopt };
        }
        return write(action);
    }

    ClaimInput carryOut(Vm& vm, const SendAttempt& action)
    {
        vm.sent.push_back(action.attempt);
        if (chance(faultPercent)) {
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
        if (chance(faultPercent))
            return AttemptQueried {};
        auto found = attempts.find(action.attempt);
        auto state = found == attempts.end() ? AttemptState::NeverSeen : found->second;
        if (action.forbid && state == AttemptState::NeverSeen)
            state = attempts[action.attempt] = AttemptState::Forbidden;
        AttemptQueried asked { state, std::to_string(instance), {} };
        if (state == AttemptState::Done)
            asked.answer = answerOf(action.attempt);
        return asked;
    }

    ClaimInput carryOut(Vm&, const ChooseWorker&)
    {
        return WorkerChosen { chance(50) ? std::optional(worker()) : std::nullopt };
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

    //! Runs all VMs to their ends in a random order.
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
            if (!delayed.empty() && chance(20))
                deliverOne();
            if (restarts && chance(2))
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

// Guards against a second execution, a false not_run and another request's answer, under any order, loss and delay.
RC_BOOST_PROP(a_request_runs_at_most_once_under_faults, (std::uint64_t seed))
{
    for (std::uint64_t part = 0; part < worldsPerCase; ++part) {
        World world(seed * worldsPerCase + part, static_cast<int>((seed + part) % 70));
        auto vms = uniform(world.random, 1, 4);
        for (std::int64_t i = 0; i < vms; ++i)
            world.addVm(Millis(uniform(world.random, 0, 3000)));
        world.run(true);
        world.deliverAll();
        world.check();
    }
}

// Guards against a repeat that gets another answer, or none, after the faults are over.
RC_BOOST_PROP(a_repeat_gets_the_answer_when_the_faults_are_over, (std::uint64_t seed))
{
    World world(seed, 40);
    world.addVm(Millis(1000));
    world.addVm(Millis(1000));
    world.run(false);
    world.deliverAll();
    world.faultPercent = 0;
    for (int i = 0; i < 3; ++i) { // the first may find an attempt that it has to forbid
        world.addVm(Millis(60000));
        world.run(false);
        world.deliverAll();
    }
    world.check();
    RC_ASSERT(world.result(*world.vms.back()).outcome == ClaimOutcome::Done);
}

BOOST_AUTO_TEST_CASE(Without_the_store_nothing_is_sent, *boost::unit_test::label("flow"))
{
    Random random(1);
    ClaimFlow flow;
    auto action = begin(flow, "k", "r", { { "w" }, "a", "1" }, Instant() + Millis(1000), random);
    BOOST_TEST(std::get<WriteClaim>(action).expectedRevision == 0);
    action = advance(flow, ClaimWritten { WriteOutcome::NoEffect, 0, std::nullopt }, Instant(), random);
    BOOST_TEST((std::get<FinishClaim>(action).outcome == ClaimOutcome::NotSent));
}

// Guards against a worker that lost its memory in a restart and is taken at its word that it never saw an attempt.
BOOST_AUTO_TEST_CASE(After_a_restart_of_the_worker_the_outcome_is_unknown, *boost::unit_test::label("flow"))
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

BOOST_AUTO_TEST_CASE(A_key_of_another_request_is_refused, *boost::unit_test::label("flow"))
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

RC_BOOST_PROP(claims_read_back_with_any_body, (const std::string& key, const std::string& body))
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
        makeClaimAnswer(200, "", std::string(maxRecordedBody + 1, 'x')) };
    auto text = encodeClaim(claim);
    BOOST_TEST(text.size() < 1000U);
    auto read = decodeClaim(text);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(!read->answer.hasBody);
    BOOST_TEST(read->answer.digest == claim.answer.digest);
}
