#pragma once

#include "agatevane/metrics/registry.h"
#include <cstdint>
#include <string>

namespace agatevane::metrics {

//! Counts a violated invariant as `agatevane_invariant_violations_total{name}` and logs the first ones of each name.
//! `name` is a fixed identifier such as "gang_not_whole".
void reportViolation(const std::string& name, const std::string& detail);

//! Number of violations that this process has reported; 0 in a correct run.
std::uint64_t violationCount();

//! Counts the control traffic of this process by channel ("membership", "rpc", "store", "worker"). The budget of a node
//! is 3 KB/s.
void countControlBytesSent(const std::string& channel, std::uint64_t bytes);
void countControlBytesReceived(const std::string& channel, std::uint64_t bytes);

//! Adds the CPU time, resident memory and start time of this process to `registry`.
void addProcessMetrics(Registry& registry);

} // namespace agatevane::metrics
