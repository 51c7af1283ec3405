#pragma once

#include <cstdint>
#include <vector>

namespace agatevane::experiment {

struct CostSample {
    int accelerators = 0;
    int tasks = 0;
    int workspaces = 0;
    double medianUs = 0;
    double p99Us = 0;
    double worstUs = 0;
    double memoryMiB = 0; //!< growth of the resident set by the shard
    int decisions = 0;
};

//! Decision time on one core and memory of one shard at a quarter, half, once and twice the target scale.
std::vector<CostSample> measureCost(std::uint64_t seed);

//! Growth exponent of `value` over `size` by least squares on logarithms.
double slope(const std::vector<double>& size, const std::vector<double>& value);

} // namespace agatevane::experiment
