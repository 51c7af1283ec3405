#pragma once

#include "simulation.h"

//! Watches a simulated fleet for work that could run and does not.
namespace agatevane::test {

//! From this long after the last fault and the end of the traffic on, no work that could run may be idle.
constexpr std::int64_t startBoundMs = 14000;
//! Work counts as idle once nothing of it has run for this long.
constexpr std::int64_t idleBoundMs = 3000;

struct WaitWatch {
    std::int64_t lastFaultMs = 0; //!< also the end of the traffic
    std::map<fleet::TaskId, std::int64_t> idleSinceMs; //!< tasks that could run now; for a gang, its first one
    std::int64_t longestIdleMs = 0; //!< longest that a task was idle although it could run
    //! Tasks that were idle beyond both bounds, with the reason that the owner gave for the job.
    std::map<fleet::TaskId, std::string_view> overdue;
};

//! Notes which tasks are idle now: their turn has come, there is capacity for them twice over on workers that are up,
//! and under half of the fleet's capacity is in use.
void watchWaits(WaitWatch& watch, FleetSimulation& simulation);

} // namespace agatevane::test
