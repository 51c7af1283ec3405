#pragma once

#include "scheduler.h"
#include "workload.h"

namespace agatevane::experiment {

//! What happened to one job.
struct Outcome {
    const Arrival* arrival = nullptr;
    std::int64_t startedMs = -1; //!< first start
    std::int64_t endedMs = -1;
    int preemptions = 0;
};

struct Result {
    std::vector<Outcome> outcomes; //!< in the order of the arrivals
    double fragmentation = 0; //!< time average over the arrival period, share of all accelerators
    double utilisation = 0;
};

//! Feeds the arrivals to the scheduler and carries out its decisions with fake workers in virtual time. Gangs take
//! 200 ms to start. Runs until all work is done or `untilMs`.
Result simulate(const Setting& setting, Scheduler& scheduler, const std::vector<Arrival>& arrivals,
    bool isFragmentedAtStart, std::uint64_t seed, std::int64_t untilMs);

} // namespace agatevane::experiment
