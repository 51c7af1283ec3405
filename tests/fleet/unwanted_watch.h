#pragma once

#include "simulation.h"

//! Watches a simulated fleet for runs of cancelled jobs that go on.
namespace agatevane::test {

//! A run of a cancelled job must be gone this long after the acknowledgement: 3 s to find and stop it, 0.2 s to end.
constexpr std::int64_t unwantedBoundMs = 4200;
//! After the end of a fault, or the start of a run on a late order, the bound counts from this long after it.
constexpr std::int64_t calmAfterMs = 4000;

struct UnwantedWatch {
    std::int64_t longestMs = 0; //!< longest that an unwanted run went on, from the event that its bound counts from
    std::size_t watched = 0; //!< steps at which an unwanted run was seen, with its bound counting
    //! Runs that went on beyond the bound, by position in the history, with what is known of them.
    std::map<std::size_t, std::string> overdue;
};

//! Notes which runs of cancelled jobs go on now, and for how long the rule has wanted them gone.
void watchUnwantedRuns(UnwantedWatch& watch, const FleetSimulation& simulation);

} // namespace agatevane::test
