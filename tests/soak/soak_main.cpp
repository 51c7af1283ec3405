#include "tests/soak/soak.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <iostream>

using namespace agatevane;

int main(int argc, char** argv)
{
    CLI::App app { "Injects seeded faults into real processes and checks what callers and workers see. Exits with "
                   "1 if an invariant was violated." };
    soak::SoakOptions options;
    std::uint64_t first = 1;
    std::uint64_t count = 1;
    int seconds = 20;
    app.add_option("--first-seed", first, "First seed")->envname("AGATEVANE_SOAK_FIRST_SEED")->capture_default_str();
    app.add_option("--seeds", count, "Number of seeds")->check(CLI::Range(1, 10000))->capture_default_str();
    app.add_option("--seconds", seconds, "Time in which faults begin, for each seed")
        ->check(CLI::Range(1, 3600))
        ->capture_default_str();
    app.add_option("--longest-pause-ms", options.plan.longestPauseMs, "Longest time between the begins of two faults")
        ->check(CLI::Range(110, 60000))
        ->capture_default_str();
    app.add_option("--fault-kinds", options.plan.kinds, "Number of fault kinds to draw from, as recorded with a seed")
        ->check(CLI::Range(1, static_cast<int>(EnumNames<soak::FaultKind>::table.size())))
        ->capture_default_str();
    app.add_option("--first-kind", options.plan.firstKind, "Index of the first fault kind to draw from")
        ->check(CLI::Range(0, static_cast<int>(EnumNames<soak::FaultKind>::table.size()) - 1));
    app.add_option("--cancel-soon-percent", options.cancelSoonPercent,
           "Share of the jobs that are cancelled soon after their acceptance")
        ->check(CLI::Range(0, 100));
    app.add_option("--max-lease-ms", options.maxLeaseMs, "Longest lease that workers grant")
        ->check(CLI::Range(6000, 60000));
    app.add_option("--link-bytes-per-second", options.linkBytesPerSecond,
           "Rate of each node's links to the store and from other nodes; 0: no limit")
        ->check(CLI::Range(0, 1'000'000'000));
    app.add_option("--nodes", options.nodes, "Nodes")->check(CLI::Range(1, 150))->capture_default_str();
    app.add_option("--workers", options.workers, "Workers")->check(CLI::Range(1, 300))->capture_default_str();
    app.add_option("--logs", options.logFolder, "Folder for the nodes' logs of a seed that violates an invariant")
        ->check(CLI::ExistingDirectory);
    CLI11_PARSE(app, argc, argv);
    options.plan.firstKind = std::min(options.plan.firstKind, options.plan.kinds - 1);
    std::signal(SIGPIPE, SIG_IGN);
    constexpr std::int64_t millisPerSecond = 1000;
    options.plan.lengthMs = seconds * millisPerSecond;
    int seedsWithViolations = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        options.plan.seed = seed;
        auto violations = soak::runSoak(options, std::cout);
        for (const auto& violation : violations)
            std::cout << "VIOLATION in seed " << seed << ": " << violation << "\n";
        seedsWithViolations += violations.empty() ? 0 : 1;
        std::cout.flush();
    }
    std::cout << count << " seeds, " << seedsWithViolations << " with a violated invariant\n";
    return seedsWithViolations == 0 ? 0 : 1;
}
