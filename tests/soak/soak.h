#pragma once

#include "tests/soak/ledger.h"
#include "tests/soak/plan.h"
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace agatevane::soak {

struct SoakOptions {
    PlanOptions plan;
    int nodes = 3;
    int workers = 6;
    //! Share of the jobs that are cancelled soon after their acceptance. Without a value, it depends on the seed if the
    //! plan draws from kinds that were added together with this option, and is 0 otherwise.
    std::optional<int> cancelSoonPercent;
    //! Longest lease that workers grant. Without a value, it depends on the seed in the same way, and is 6 s otherwise.
    std::optional<std::int64_t> maxLeaseMs;
    //! Rate of each node's links to the store and from other nodes. Without a value, 10 Mbit/s if the plan draws from
    //! DesiredStateGrown, and no limit otherwise.
    std::optional<std::uint64_t> linkBytesPerSecond;
    std::string logFolder; //!< receives the nodes' logs if a seed violates an invariant; if empty, no logs are saved
};

//! Runs one plan against real processes and returns the violated invariants, empty if there are none. Writes a summary
//! of jobs, runs and answers to `out`.
std::vector<std::string> runSoak(const SoakOptions& options, std::ostream& out);

} // namespace agatevane::soak
