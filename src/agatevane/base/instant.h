#pragma once

#include <chrono>
#include <ctime>

namespace agatevane {

using Millis = std::chrono::milliseconds;

//! A point on this process's monotonic clock. Instants of different processes are never compared.
using Instant = std::chrono::steady_clock::time_point;

//! The sources of the process's time.
struct Clock {
    Instant (*now)(); //!< see now()
    Instant (*bootNow)(); //!< see bootNow()
};

inline Instant systemNow()
{
    return std::chrono::steady_clock::now();
}

inline Instant systemBootNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

//! The clock that this process goes by: the system's, unless a test sets another while no other thread runs.
inline Clock& processClock()
{
    static constinit Clock clock { systemNow, systemBootNow };
    return clock;
}

inline Instant now()
{
    return processClock().now();
}

//! Like now(), but the clock also advances while the machine is suspended. Leases and other guarantees to other
//! processes are checked against this clock. The two clocks are never compared with each other.
inline Instant bootNow()
{
    return processClock().bootNow();
}

//! Returns the whole milliseconds from `from` to `to`; negative if `to` is earlier.
inline Millis elapsed(Instant from, Instant to)
{
    return std::chrono::duration_cast<Millis>(to - from);
}

} // namespace agatevane
