#include "agatevane/admission/admission.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace agatevane;
using namespace agatevane::admission;

namespace {

const WorkspaceId small { "small" };
const WorkspaceId large { "large" };

Config twoWorkspaces(int slots)
{
    Config config;
    config.slots = slots;
    config.classFloors = { 0.1, 0.1, 0.1 };
    config.maxQueued = 50;
    config.maxQueuedTotal = 100;
    config.workspaces = { { small, { 1, 0.1 } }, { large, { 1, 0 } } };
    return config;
}

Arrival request(RequestId requestId, const WorkspaceId& workspace, const std::string& caller, WorkClass workClass)
{
    return { requestId, workClass, workspace, { caller }, Instant() + Millis(3600000) };
}

//! Ends running requests one by one and counts the requests started in their place, by workspace and caller. Every
//! caller must have requests waiting throughout.
std::map<std::pair<std::string, std::string>, int> startsOf(
    State& state, std::map<RequestId, std::pair<std::string, std::string>>& names, int rounds)
{
    std::map<std::pair<std::string, std::string>, int> starts;
    std::deque<RequestId> running;
    for (const auto& [requestId, entry] : state.running)
        running.push_back(requestId);
    for (int i = 0; i < rounds && !running.empty(); ++i) {
        auto ended = running.front();
        running.pop_front();
        for (const auto& action : finish(state, ended, Instant() + Millis(i))) {
            auto requestId = std::get<Start>(action).requestId;
            running.push_back(requestId);
            ++starts[names.at(requestId)];
        }
    }
    return starts;
}

} // namespace

// Checks invariants under any order of events: each request is started or shed exactly once, queues stay bounded, no
// reserved slot is used by others, and no request waits while a slot is free for it.
RC_BOOST_PROP(any_order_of_events_keeps_queue_limits_and_floors, ())
{
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    auto config = twoWorkspaces(*rc::gen::inRange(1, 40));
    config.maxQueued = *rc::gen::inRange(1, 20);
    config.maxQueuedTotal = *rc::gen::inRange(1, 30);
    State state;
    Instant now;
    configure(state, config, now);
    std::set<RequestId> waiting, running, shed;
    auto apply = [&](const Actions& actions) {
        for (const auto& action : actions) {
            if (const auto* started = std::get_if<Start>(&action)) {
                RC_ASSERT(waiting.erase(started->requestId) == 1);
                running.insert(started->requestId);
            } else {
                auto requestId = std::get<Shed>(action).requestId;
                RC_ASSERT(std::get<Shed>(action).retryAfter >= Millis(1000));
                RC_ASSERT(waiting.erase(requestId) == 1);
                shed.insert(requestId);
            }
        }
    };
    RequestId next = 1;
    for (int i = 0; i < 300; ++i) {
        now += Millis(uniform(random, 0, 30));
        auto kind = uniform(random, 0, 9);
        if (kind < 6) {
            Arrival arrival { next++, static_cast<WorkClass>(uniform(random, 0, 2)),
                uniform(random, 0, 1) ? small : large, { std::to_string(uniform(random, 0, 3)) },
                now + Millis(uniform(random, -5, 500)) };
            waiting.insert(arrival.requestId);
            apply(arrive(state, arrival, now, random));
        } else if (kind < 9 && !running.empty()) {
            auto ended = *running.begin();
            running.erase(ended);
            apply(finish(state, ended, now));
        } else {
            apply(expire(state, now, random));
        }
        RC_ASSERT(static_cast<int>(running.size()) <= config.slots);
        RC_ASSERT(static_cast<int>(waiting.size()) <= config.maxQueuedTotal);
        RC_ASSERT(state.running.size() == running.size());
        int poolsUsed = state.shared.used;
        for (std::size_t c = 0; c < classCount; ++c) {
            poolsUsed += state.classPools[c].used;
            RC_ASSERT(state.waiting[c] <= config.maxQueued);
            RC_ASSERT(state.waiting[c] == 0 || !(state.classPools[c].isFree() || state.shared.isFree()));
        }
        for (const auto& [id, workspace] : state.workspaces) {
            poolsUsed += workspace.floor.used;
            bool waits = workspace.waiting[0] + workspace.waiting[1] + workspace.waiting[2] > 0;
            RC_ASSERT(!waits || !workspace.floor.isFree());
        }
        RC_ASSERT(poolsUsed == static_cast<int>(running.size()));
    }
}

// Guards against overload by one workspace, urgent work included, that takes slots reserved for other classes and
// workspaces.
BOOST_AUTO_TEST_CASE(Overload_leaves_the_slots_of_other_floors_free, *boost::unit_test::label("floors"))
{
    for (auto overloadedClass : { WorkClass::Urgent, WorkClass::Batch }) {
        Random random(1);
        State state;
        configure(state, twoWorkspaces(40), Instant());
        for (RequestId requestId = 1; requestId <= 500; ++requestId)
            arrive(state, request(requestId, large, "c", overloadedClass), Instant(), random);
        auto other = arrive(state, request(1000, large, "d", WorkClass::Standard), Instant(), random);
        BOOST_TEST((other.size() == 1 && std::holds_alternative<Start>(other[0])));
        auto reserved = arrive(state, request(1001, small, "e", overloadedClass), Instant(), random);
        BOOST_TEST((reserved.size() == 1 && std::holds_alternative<Start>(reserved[0])));
    }
}

// Guards against callers that gain a larger share by sending more requests or by using many caller names.
BOOST_AUTO_TEST_CASE(More_requests_or_more_caller_names_gain_no_larger_share, *boost::unit_test::label("fairness"))
{
    Random random(1);
    State state;
    auto config = twoWorkspaces(10);
    config.maxQueued = config.maxQueuedTotal = 100000;
    config.maxQueuedFor = Millis(3600000);
    config.workspaces = { { small, { 1, 0 } }, { large, { 1, 0 } } };
    configure(state, config, Instant());
    std::map<RequestId, std::pair<std::string, std::string>> names;
    RequestId requestId = 0;
    auto add = [&](const WorkspaceId& workspace, const std::string& caller, int count) {
        for (int i = 0; i < count; ++i) {
            names[++requestId] = { workspace.value, caller };
            arrive(state, request(requestId, workspace, caller, WorkClass::Standard), Instant(), random);
        }
    };
    for (int caller = 0; caller < 20; ++caller)
        add(large, "many" + std::to_string(caller), 500);
    add(small, "busy", 10000);
    add(small, "modest", 100);
    auto starts = startsOf(state, names, 200);
    int smallStarts = starts[{ "small", "busy" }] + starts[{ "small", "modest" }];
    BOOST_TEST(std::abs(smallStarts - 100) <= 10);
    BOOST_TEST(std::abs(starts[{ "small", "busy" }] - starts[{ "small", "modest" }]) <= 2);
}

// Guards against queuing a request that cannot start before its deadline.
BOOST_AUTO_TEST_CASE(
    A_request_is_shed_immediately_if_the_expected_wait_exceeds_its_deadline, *boost::unit_test::label("deadline"))
{
    Random random(1);
    State state;
    configure(state, twoWorkspaces(10), Instant());
    for (RequestId requestId = 1; requestId <= 40; ++requestId)
        arrive(state, request(requestId, large, "c", WorkClass::Batch), Instant(), random);
    auto late = request(100, large, "c", WorkClass::Batch);
    late.deadline = Instant() + Millis(20);
    auto actions = arrive(state, late, Instant(), random);
    BOOST_REQUIRE(actions.size() == 1);
    BOOST_TEST((std::get<Shed>(actions[0]).reason == ShedReason::DeadlineTooClose));
}

// Guards against shed callers that all retry in the same second.
BOOST_AUTO_TEST_CASE(Retry_after_is_spread_over_the_drain_time, *boost::unit_test::label("retry_after"))
{
    Random random(1);
    State state;
    auto config = twoWorkspaces(2);
    config.maxQueuedFor = Millis(3600000);
    configure(state, config, Instant());
    state.meanServiceMs = 1000;
    std::set<std::int64_t> seconds;
    for (RequestId requestId = 1; requestId <= 300; ++requestId) {
        for (const auto& action : arrive(state, request(requestId, large, "c", WorkClass::Batch), Instant(), random)) {
            if (const auto* shed = std::get_if<Shed>(&action))
                seconds.insert(shed->retryAfter.count() / 1000);
        }
    }
    BOOST_TEST(seconds.size() > 20);
}
