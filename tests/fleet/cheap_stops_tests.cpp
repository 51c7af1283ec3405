#include "agatevane/base/random.h"
#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/runs.h"

#include "busy_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::BusyFleet;

namespace {

constexpr Millis roundInterval { 100 };
constexpr int rounds = 60;

//! The FNV-1a hash of all decisions so far.
class Digest {
public:
    void add(const std::string& text)
    {
        constexpr std::uint64_t prime = 1099511628211U;
        for (unsigned char each : text)
            value_ = (value_ ^ each) * prime;
    }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 14695981039346656037U;
};

void submitAtRandom(BusyFleet& busy, Random& random, int round)
{
    for (int n = static_cast<int>(uniform(random, 0, 3)); n > 0; --n) {
        auto priority = std::min(2, static_cast<int>(uniform(random, 0, 5)));
        bool isGang = uniform(random, 0, 1) == 0;
        bool savesCheckpoints = uniform(random, 0, 1) == 0;
        auto count = static_cast<std::uint32_t>(uniform(random, 1, 8));
        auto& job = busy.submit("j" + std::to_string(round) + "-" + std::to_string(n), count, uniform(random, 1, 8),
            priority, isGang, savesCheckpoints);
        job.acceptedAt = BusyFleet::now() + round * roundInterval;
    }
}

//! Confirms starts, lets stops take effect two rounds later and moves the rest on until it ends, to be repeated.
void moveOn(BusyFleet& busy, Random& random, Instant at)
{
    std::vector<std::pair<fleet::WorkerId, fleet::RunKey>> ended;
    for (auto& [id, worker] : busy.fleet().workers) {
        for (auto& [key, run] : worker.runs) {
            bool hasStopped = run.state == fleet::RunState::Stopping && at - run.nextSendAt >= 2 * roundInterval;
            if (hasStopped || run.percent == 99)
                ended.emplace_back(id, key);
            if (run.state == fleet::RunState::Ordered)
                run.confirmedAt = run.firstReportAt = at;
            if (run.state != fleet::RunState::Stopping) {
                run.state = fleet::RunState::Running;
                run.percent = std::min(99, run.percent + static_cast<int>(uniform(random, 1, 6)));
                run.progressAt = at;
            }
        }
        fleet::markDue(busy.fleet(), worker);
    }
    for (const auto& [id, key] : ended)
        fleet::removeRun(busy.fleet(), busy.fleet().workers.at(id), key);
}

std::uint64_t digestOfDecisions(std::uint64_t seed)
{
    Random random(seed);
    Digest digest;
    BusyFleet busy(12);
    for (int round = 0; round < rounds; ++round) {
        auto at = BusyFleet::now() + round * roundInterval;
        submitAtRandom(busy, random, round);
        fleet::place(busy.fleet(), BusyFleet::unixMs, at);
        for (const auto& [id, worker] : busy.fleet().workers) {
            for (const auto& [key, run] : worker.runs)
                digest.add(id + toString(key.first) + std::to_string(key.second) + std::string(nameOf(run.state)));
        }
        moveOn(busy, random, at);
    }
    BOOST_CHECK_GT(busy.fleet().preemptedRuns, 20U);
    return digest.value();
}

} // namespace

// Guards against rules for costly stops that act where stops are cheap: the digests are those of the decisions of
// revision b585f67, before these rules existed.
BOOST_AUTO_TEST_CASE(With_cheap_stops_all_decisions_stay_as_before, *boost::unit_test::label("preemption"))
{
    const std::vector<std::uint64_t> expected { 17053012662750667325U, 4311001268756318934U };
    for (std::size_t n = 0; n < expected.size(); ++n)
        BOOST_CHECK_EQUAL(digestOfDecisions(n + 2), expected[n]);
}
