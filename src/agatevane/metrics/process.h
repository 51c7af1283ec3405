#pragma once

#include "agatevane/metrics/registry.h"
#include <cstdint>
#include <string>

namespace agatevane::metrics {

//! Counts a broken invariant as `agatevane_invariant_violations_total{name}` and logs the first ones of each name.
//! `name` is a fixed identifier such as "gang_not_whole".
void reportViolation(const std::string& name, const std::string& detail);

//! All violations that this process has reported; 0 in a correct run.
std::uint64_t violationCount();

//! Control traffic of this process, by channel ("membership", "rpc", "store", "worker"). The budget is 3 KB/s for a
//! node.
void countControlBytesSent(const std::string& channel, std::uint64_t bytes);
void countControlBytesReceived(const std::string& channel, std::uint64_t bytes);

//! Adds processor time, resident memory and start time of this process.
void addProcessMetrics(Registry& registry);

} // namespace agatevane::metrics
