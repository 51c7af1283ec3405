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
    double memoryMiB = 0; //!< heap memory allocated for the shard and its jobs
    int decisions = 0; //!< total over all calls, including the first
};

//! Measures the decision time on one core and the memory of one shard at 0.25, 0.5, 1 and 2 times the target scale.
std::vector<CostSample> measureCost(std::uint64_t seed);

//! Returns the exponent b of the power law value = a * size^b, fitted by least squares on the logarithms.
double growthExponent(const std::vector<double>& size, const std::vector<double>& value);

} // namespace agatevane::experiment
