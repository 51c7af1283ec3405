#pragma once

#include <cstdint>

namespace agatevane::bench {

//! Prints latency and failures for three policies: random choice, the least reported load, and the routing module.
void measureRouting(std::uint64_t seed);

//! Prints the requests served and the latency of each traffic source during floods, for one FIFO queue and for the
//! admission module.
void measureAdmission(std::uint64_t seed);

} // namespace agatevane::bench
