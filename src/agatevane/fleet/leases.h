#pragma once

#include "agatevane/fleet/state.h"

//! Leases of runs are measured on the worker's own steady clock, which may be slow.
namespace agatevane::fleet {

//! The most that a worker's clock lags behind, as a share of the time that has passed.
constexpr double maxClockLag = 0.02;
//! Added to the bound for rounding and for timers that fire late.
constexpr Millis leaseMargin { 100 };

//! The least that the worker's clock shows at `at`.
std::int64_t leastClockMs(const Worker& worker, Instant at);

//! A lease over `span` that is asked for now has passed on every worker's clock after this.
Millis longestLease(Millis span);

//! The time on the worker's clock to ask a lease for, if the order is sent at `at`. Moves `leaseExpiryBound` on, since
//! the order may be carried out whether or not an answer comes.
std::int64_t extendLease(const Fleet& fleet, Worker& worker, Instant at);

} // namespace agatevane::fleet
