#pragma once

#include "agatevane/fleet/state.h"

//! Leases of runs are measured on the worker's own steady clock, which may be slow.
namespace agatevane::fleet {

//! Largest lag of a worker's clock, as a share of the elapsed time.
constexpr double maxClockLag = 0.02;
//! Added to the longest lease, for rounding and for timers that fire late.
constexpr Millis leaseMargin { 100 };

//! Lower bound of the time on the worker's clock at `at`.
std::int64_t minClockMs(const Worker& worker, Instant at);

//! Longest time until a lease of `span` has expired on any worker's clock.
Millis maxLeaseDuration(Millis span);

//! This long after a takeover, all leases that earlier owners gave have ended. An order for the clock of another
//! incarnation may have given the longest lease.
Millis earlierLeaseWait(const Limits& limits);

//! Longest time after the store's last confirmation of the ownership for which an owner gives leases. The store may
//! elect a later owner right after that confirmation, which then waits until the leases of earlier owners have ended.
Millis maxUnconfirmedOwnership(const Limits& limits);

//! True if no other node can be the owner at `at`. Once there may be one, only the fencing tokens that workers know
//! keep two owners apart. A worker that has restarted knows none, and the later owner may have renewed the lease of a
//! run that this one can't see. So without a confirmed ownership, nothing is started and no run is taken for ended
//! because its worker is silent.
bool isOwnershipConfirmed(const Fleet& fleet, Instant at);

//! Postpones `leaseExpiryBound` because of orders that may have reached the worker by `latest` and that may have given
//! it the longest lease: they were made out for the clock of another incarnation, or by an earlier owner.
void assumeLongestLease(const Fleet& fleet, Worker& worker, Instant latest);

//! Returns the end of the lease, on the worker's clock, to ask for in an order that is sent at `at`. Postpones
//! `leaseExpiryBound`, since the order may be carried out whether or not it is answered.
std::int64_t extendLease(const Fleet& fleet, Worker& worker, Instant at);

} // namespace agatevane::fleet
