#pragma once

#include "scheduler.h"
#include "workload.h"

namespace agatevane::experiment {

//! The recorded course of one job. Times are in virtual time; -1 stands for "not yet".
struct Outcome {
    const Arrival* arrival = nullptr;
    std::int64_t startedMs = -1; //!< time of the first start
    std::int64_t endedMs = -1;
    int preemptions = 0;
};

struct Result {
    std::vector<Outcome> outcomes; //!< in the order of the arrivals
    double fragmentation = 0; //!< share of all accelerators that are free while jobs wait, mean over the arrival period
    double utilisation = 0; //!< share of all accelerators in use, mean over the arrival period
};

//! Submits the arrivals to the scheduler and applies its decisions to simulated workers in virtual time. Gangs take
//! 200 ms to start. The simulation ends when all jobs have ended, at the latest at `untilMs`.
Result simulate(const Setting& setting, Scheduler& scheduler, const std::vector<Arrival>& arrivals,
    bool isFragmentedAtStart, std::uint64_t seed, std::int64_t untilMs);

} // namespace agatevane::experiment
