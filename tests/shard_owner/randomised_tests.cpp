#include "simulation.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

using namespace agatevane;
using namespace agatevane::simulation;

namespace {

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

//! The first breach over the seeds; empty if there is none.
std::string firstBreach(Options options, std::uint64_t firstSeed, std::uint64_t seeds, Totals& sum)
{
    for (auto seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        options.seed = seed;
        try {
            auto totals = Simulation(options).run();
            sum.steps += totals.steps;
            sum.accepted += totals.accepted;
            sum.refused += totals.refused;
            sum.finished += totals.finished;
            sum.takeovers += totals.takeovers;
            sum.attempts += totals.attempts;
            sum.longestAloneMs = std::max(sum.longestAloneMs, totals.longestAloneMs);
        } catch (const Breach& breach) {
            return "seed " + std::to_string(seed) + ": " + breach.what();
        }
    }
    return {};
}

void report(const Totals& sum)
{
    std::cerr << sum.steps << " steps, " << sum.accepted << " accepted, " << sum.refused << " refused, " << sum.finished
              << " finished, " << sum.attempts << " attempts, " << sum.takeovers << " takeovers, longest alone "
              << sum.longestAloneMs << " ms\n";
}

} // namespace

// Rerun one seed: AGATEVANE_SEED=17 AGATEVANE_SEEDS=1 AGATEVANE_TRACE=1 build/tests/test_shard_owner -t "Random*".
BOOST_AUTO_TEST_CASE(Random_runs_with_faults_keep_every_invariant, *boost::unit_test::label("randomised"))
{
    Options options { .isTraced = std::getenv("AGATEVANE_TRACE") != nullptr };
    Totals sum;
    auto breach = firstBreach(
        options, numberFromEnvironment("AGATEVANE_SEED", 1), numberFromEnvironment("AGATEVANE_SEEDS", 1000), sum);
    report(sum);
    BOOST_TEST(breach == "");
}

// The checks must be able to fail: each run takes one mechanism out and has to find a breach.
BOOST_AUTO_TEST_CASE(Without_one_of_the_mechanisms_an_invariant_breaks, *boost::unit_test::label("randomised"))
{
    std::vector<std::pair<std::string, Options>> variants {
        { "workers accept lower epochs", { .hasEpochCheck = false } },
        { "leases are renewed without fresh reports", { .hasRenewalRule = false } },
        { "journal writes are not guarded", { .hasJournalGuard = false } },
        { "a lost store answer counts as a failure", { .hasReadBack = false } },
    };
    for (const auto& [name, options] : variants) {
        Totals sum;
        auto breach = firstBreach(options, 1, 1000, sum);
        std::cerr << name << ": " << breach << "\n";
        BOOST_TEST(breach != "", name);
    }
}
