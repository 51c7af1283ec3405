#pragma once

#include <cstdint>

namespace agatevane::bench {

//! Prints latency and failures for random choice, least loaded by report, and the routing module.
void measureRouting(std::uint64_t seed);

//! Prints what each class, workspace and caller gets during floods, for one FIFO queue and the admission module.
void measureAdmission(std::uint64_t seed);

} // namespace agatevane::bench
