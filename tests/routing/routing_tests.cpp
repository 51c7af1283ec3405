#include "agatevane/routing/routing.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::routing;

namespace {

const ServiceId service { "visitdesk" };
const RegionId ownRegion { "harju" };
const RegionId otherRegion { "tartu" };

std::vector<WorkerConfig> makeWorkers(int local, int remote)
{
    std::vector<WorkerConfig> workers;
    for (int i = 0; i < local + remote; ++i)
        workers.push_back({ { "w" + std::to_string(i) }, i < local ? ownRegion : otherRegion, service, "a", 8, 64 });
    return workers;
}

State makeState(int local, int remote)
{
    State state;
    configure(state, ownRegion, makeWorkers(local, remote), { { otherRegion, { 16, 10 } } });
    return state;
}

void reportAll(State& state, Instant requestedAt)
{
    for (auto& worker : state.workers) {
        Observation observation;
        observation.requestedAt = requestedAt;
        observation.ownInProgress = worker.ownInProgress;
        observation.slotsUsed = std::min(8, worker.ownInProgress);
        onReport(state, worker.config.id, observation);
    }
}

const Worker& workerOf(const State& state, const WorkerId& id)
{
    return state.workers[state.indexById.at(id)];
}

} // namespace

// Guards against requests to workers that are leaving, have not reported, are ejected, are full or were already tried,
// against ejecting more than 30 % of a region, and against more retries than the budget allows, under any order of
// events.
RC_BOOST_PROP(no_unusable_worker_is_chosen, ())
{
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    auto state = makeState(*rc::gen::inRange(1, 12), *rc::gen::inRange(0, 6));
    Instant now;
    std::vector<WorkerId> inProgress;
    std::map<WorkerId, Instant> leavingSince;
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < 400; ++i) {
        now += Millis(uniform(random, 1, 60));
        const auto& randomWorker = state.workers[random() % state.workers.size()];
        auto kind = uniform(random, 0, 9);
        if (kind == 0) {
            Observation observation { now, "", uniform(random, 0, 9) == 0, 0, 0, randomWorker.ownInProgress };
            if (observation.isLeaving)
                leavingSince.emplace(randomWorker.config.id, now);
            else
                leavingSince.erase(randomWorker.config.id);
            onReport(state, randomWorker.config.id, observation);
        } else if (kind == 1) {
            reportAll(state, now);
            leavingSince.clear();
        } else if (kind < 6) {
            Query query { service, uniform(random, 0, 1) == 1, {} };
            if (uniform(random, 0, 3) == 0)
                query.excluded.push_back(randomWorker.config.id);
            requests += query.excluded.empty() ? 1 : 0;
            auto choice = choose(state, query, now, random);
            if (!choice)
                continue;
            const auto& chosen = workerOf(state, choice->worker);
            RC_ASSERT(!leavingSince.contains(choice->worker));
            RC_ASSERT(now - chosen.lastObservation->requestedAt < Millis(3000));
            RC_ASSERT(chosen.ownInProgress <= chosen.config.connections);
            bool wasTried = !query.excluded.empty() && choice->worker == query.excluded[0];
            RC_ASSERT(!wasTried);
            RC_ASSERT(chosen.health == (choice->isProbe ? Health::Probing : Health::Healthy));
            RC_ASSERT(!choice->isProbe || chosen.ownInProgress == 1);
            inProgress.push_back(choice->worker);
        } else if (!inProgress.empty()) {
            auto position = random() % inProgress.size();
            auto id = inProgress[position];
            inProgress.erase(inProgress.begin() + static_cast<std::ptrdiff_t>(position));
            auto result = static_cast<Result>(uniform(random, 0, 4));
            if (result == Result::Leaving)
                leavingSince.emplace(id, now);
            onResult(state, id, result, Millis(20), now, random);
            bool isIdempotent = uniform(random, 0, 1) == 1;
            bool isRetried = mayRetry(state, result, isIdempotent, 1, now + Millis(1), now);
            RC_ASSERT(!isRetried || isRefusal(result) || (isIdempotent && result == Result::Failure));
            retries += isRetried ? 1 : 0;
        }
        for (const auto& region : { ownRegion, otherRegion }) {
            int all = 0;
            int ejected = 0;
            for (const auto& worker : state.workers) {
                if (worker.config.region != region)
                    continue;
                ++all;
                ejected += worker.health == Health::Healthy ? 0 : 1;
            }
            RC_ASSERT(ejected <= 0.3 * all);
        }
        RC_ASSERT(retries <= 0.1 * requests + 10 + 1e-6);
    }
}

// Guards against a worker that fails requests immediately, therefore looks idle and attracts requests.
BOOST_AUTO_TEST_CASE(A_worker_that_fails_immediately_gets_few_requests, *boost::unit_test::label("health"))
{
    for (int workers :
        { 2, 10 }) { // Of two workers none may be ejected; the failure penalty alone must keep requests away.
        Random random(1);
        auto state = makeState(workers, 0);
        Instant now;
        int toFailing = 0;
        std::multimap<Instant, WorkerId> ends;
        const int requests = 4000;
        for (int i = 0; i < requests; ++i) {
            now += Millis(5);
            if (i % 100 == 0)
                reportAll(state, now);
            while (!ends.empty() && ends.begin()->first <= now) {
                bool isFailing = ends.begin()->second.value == "w0";
                onResult(state, ends.begin()->second, isFailing ? Result::Failure : Result::Success, Millis(20), now,
                    random);
                ends.erase(ends.begin());
            }
            auto choice = choose(state, { service, true, {} }, now, random);
            BOOST_REQUIRE(choice);
            bool isFailing = choice->worker.value == "w0";
            toFailing += isFailing ? 1 : 0;
            ends.emplace(now + Millis(isFailing ? 1 : 20), choice->worker);
        }
        BOOST_TEST_MESSAGE("share of requests sent to the failing worker of " << workers << ": "
                                                                              << 100.0 * toFailing / requests << " %");
        BOOST_TEST(toFailing < requests * 0.02);
    }
}

// Guards against an ejected worker that is never readmitted, and against more than one probe at a time.
BOOST_AUTO_TEST_CASE(An_ejected_worker_is_readmitted_by_single_probes, *boost::unit_test::label("health"))
{
    Random random(1);
    auto state = makeState(4, 0);
    Instant now;
    reportAll(state, now);
    for (int i = 0; i < 5; ++i)
        onResult(state, { "w0" }, Result::Failure, Millis(1), now, random);
    BOOST_TEST((workerOf(state, { "w0" }).health == Health::Ejected));
    Millis lastWait { 0 };
    for (int round = 0; round < 3; ++round) {
        auto ejected = now;
        now = workerOf(state, { "w0" }).ejectedUntil;
        BOOST_TEST((now - ejected > lastWait));
        lastWait = elapsed(ejected, now);
        reportAll(state, now);
        auto probe = choose(state, { service, true, {} }, now, random);
        BOOST_TEST(probe->isProbe);
        BOOST_TEST(!choose(state, { service, true, {} }, now, random)->isProbe);
        onResult(state, probe->worker, round < 2 ? Result::Failure : Result::Success, Millis(1), now, random);
    }
    BOOST_TEST((workerOf(state, { "w0" }).health == Health::Healthy));
}

// Guards against paying for cross-region traffic while the own region has free slots, and against long waits in the own
// region while the other one has free slots.
BOOST_AUTO_TEST_CASE(
    Requests_go_to_another_region_only_if_the_local_wait_costs_more, *boost::unit_test::label("regions"))
{
    Random random(1);
    auto state = makeState(2, 2);
    state.meanServiceMs = 50;
    Instant now;
    reportAll(state, now);
    int local = 0;
    while (choose(state, { service, false, {} }, now, random)->worker.value < "w2")
        ++local;
    // The link costs 26 ms, which is half the mean service time: 8 slots and 4 waiting on each of two workers.
    BOOST_TEST(local >= 22);
    BOOST_TEST(local <= 28);
}
