#pragma once

#include <chrono>

namespace agatevane {

using Millis = std::chrono::milliseconds;

//! A point on this process's monotonic clock. Instants of different processes are never compared.
using Instant = std::chrono::steady_clock::time_point;

inline Instant now()
{
    return std::chrono::steady_clock::now();
}

//! Whole milliseconds from `from` to `to`; negative if `to` is earlier.
inline Millis elapsed(Instant from, Instant to)
{
    return std::chrono::duration_cast<Millis>(to - from);
}

} // namespace agatevane
