#pragma once

#include "simulation.h"

//! Watches a simulated fleet for runs of cancelled jobs that go on.
namespace agatevane::test {

//! A run of a cancelled job must be gone this long after the acknowledgement, the end of the last fault or the late
//! start of the run. The rule excuses 4 s more after a fault or a late start: none here, so that short leases hide no
//! run.
constexpr std::int64_t unwantedBoundMs = 4200;

struct UnwantedWatch {
    std::int64_t longestMs = 0; //!< longest that an unwanted run went on, from the event that its bound counts from
    std::size_t watched = 0; //!< steps at which an unwanted run was seen, with its bound counting
    //! Runs that went on beyond the bound, by position in the history, with what is known of them.
    std::map<std::size_t, std::string> overdue;
};

//! Notes which runs of cancelled jobs go on now, and for how long the rule has wanted them gone.
void watchUnwantedRuns(UnwantedWatch& watch, const FleetSimulation& simulation);

} // namespace agatevane::test
