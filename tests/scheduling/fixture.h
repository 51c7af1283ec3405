#pragma once

#include "agatevane/scheduling/shard.h"
#include <string>
#include <vector>

//! Builders of workers and jobs for the scheduling tests.
namespace agatevane::scheduling::testing {

//! Instant of the simulated time, in seconds after the start of a test.
inline Instant at(double seconds)
{
    return Instant {} + std::chrono::hours(1) + Millis(static_cast<std::int64_t>(seconds * 1000));
}

inline WorkerState worker(int rack, int number, int accelerators = 8)
{
    return { .id = { "w" + std::to_string(rack) + "-" + std::to_string(number) },
        .rack = { "r" + std::to_string(rack) },
        .capacity = { .accelerators = accelerators } };
}

//! Adds workers named w<rack>-<number> in racks named r<rack>.
inline void addRacks(Shard& shard, int racks, int workersPerRack, int accelerators = 8)
{
    for (int rack = 0; rack < racks; ++rack) {
        for (int number = 0; number < workersPerRack; ++number)
            setWorker(shard, worker(rack, number, accelerators));
    }
}

inline JobSpec job(const std::string& id, int accelerators, const std::string& workspace = "a",
    WorkClass workClass = WorkClass::Standard)
{
    return { .id = { id },
        .workspace = { workspace },
        .caller = { workspace + "-caller" },
        .kind = "kind",
        .workClass = workClass,
        .accelerators = accelerators,
        .expectedMs = 60000,
        .canCheckpoint = true };
}

//! The decisions of one type, in their order.
template <typename T> std::vector<T> decisionsOf(const std::vector<Decision>& decisions)
{
    std::vector<T> found;
    for (const auto& decision : decisions) {
        if (const auto* match = std::get_if<T>(&decision))
            found.push_back(*match);
    }
    return found;
}

} // namespace agatevane::scheduling::testing
