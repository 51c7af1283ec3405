#pragma once

#include "tests/soak/ledger.h"
#include "tests/soak/plan.h"
#include <cstdint>
#include <ostream>
#include <string>

namespace agatevane::soak {

struct SoakOptions {
    PlanOptions plan;
    int nodes = 3;
    int workers = 6;
    std::string logFolder; //!< gets the nodes' logs of a seed that breaks a promise; empty: they are dropped
};

//! Runs one plan against real processes and returns the broken promises; empty if all were kept. What was injected and
//! counted goes to `out`.
std::vector<std::string> runSoak(const SoakOptions& options, std::ostream& out);

} // namespace agatevane::soak
