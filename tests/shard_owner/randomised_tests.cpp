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

//! The first violated invariant over the seeds; empty if there is none.
std::string firstViolation(Options options, std::uint64_t firstSeed, std::uint64_t seeds, Totals& totals)
{
    for (auto seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        options.seed = seed;
        try {
            auto runTotals = Simulation(options).run();
            totals.steps += runTotals.steps;
            totals.accepted += runTotals.accepted;
            totals.refused += runTotals.refused;
            totals.finished += runTotals.finished;
            totals.takeovers += runTotals.takeovers;
            totals.attempts += runTotals.attempts;
            totals.longestPartialRunMs = std::max(totals.longestPartialRunMs, runTotals.longestPartialRunMs);
        } catch (const InvariantViolation& violation) {
            return "seed " + std::to_string(seed) + ": " + violation.what();
        }
    }
    return {};
}

void printTotals(const Totals& totals)
{
    std::cerr << totals.steps << " steps, " << totals.accepted << " accepted, " << totals.refused << " refused, "
              << totals.finished << " finished, " << totals.attempts << " attempts, " << totals.takeovers
              << " takeovers, longest run in an incomplete gang " << totals.longestPartialRunMs << " ms\n";
}

} // namespace

// To run one seed again:
// AGATEVANE_SEED=17 AGATEVANE_SEEDS=1 AGATEVANE_TRACE=1 build/tests/test_shard_owner -t "Random*"
BOOST_AUTO_TEST_CASE(Random_runs_with_faults_keep_every_invariant, *boost::unit_test::label("randomised"))
{
    Options options { .isTraceEnabled = std::getenv("AGATEVANE_TRACE") != nullptr };
    Totals totals;
    auto violation = firstViolation(
        options, numberFromEnvironment("AGATEVANE_SEED", 1), numberFromEnvironment("AGATEVANE_SEEDS", 1000), totals);
    printTotals(totals);
    BOOST_TEST(violation == "");
}

// Shows that the checks can fail: each variant removes one mechanism and must find a violated invariant.
BOOST_AUTO_TEST_CASE(Removing_a_safety_mechanism_violates_an_invariant, *boost::unit_test::label("randomised"))
{
    std::vector<std::pair<std::string, Options>> variants {
        { "workers accept lower epochs", { .workersCheckEpochs = false } },
        { "leases are renewed without fresh reports", { .renewsOnlyFreshLeases = false } },
        { "journal writes are not guarded", { .guardsJournalWrites = false } },
        { "a lost store answer counts as a failure", { .readsBackLostAnswers = false } },
    };
    for (const auto& [name, options] : variants) {
        Totals totals;
        auto violation = firstViolation(options, 1, 1000, totals);
        std::cerr << name << ": " << violation << "\n";
        BOOST_TEST(violation != "", name);
    }
}
