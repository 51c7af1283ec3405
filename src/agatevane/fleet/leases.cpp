#include "agatevane/fleet/leases.h"

#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! Long enough that runs outlast most outages of the store.
    constexpr Millis preferredUnconfirmedOwnership { 8000 };

} // namespace

std::int64_t minClockMs(const Worker& worker, Instant at)
{
    auto passed = static_cast<double>(elapsed(worker.clockAt, at).count());
    return worker.clockMs + static_cast<std::int64_t>(std::max(0.0, passed) * (1 - maxClockLag));
}

Millis maxLeaseDuration(Millis span)
{
    auto longest = static_cast<double>(span.count()) / (1 - maxClockLag);
    return Millis(static_cast<std::int64_t>(longest)) + leaseMargin;
}

Millis earlierLeaseWait(const Limits& limits)
{
    return std::max(limits.earlierLeaseTimeout, maxLeaseDuration(limits.maxLease));
}

Millis maxUnconfirmedOwnership(const Limits& limits)
{
    auto overrun = maxLeaseDuration(limits.leaseDuration) - limits.leaseDuration;
    return std::min(preferredUnconfirmedOwnership, earlierLeaseWait(limits) - overrun);
}

bool isOwnershipConfirmed(const Fleet& fleet, Instant at)
{
    return at < fleet.confirmedUntil;
}

void assumeLongestLease(const Fleet& fleet, Worker& worker, Instant latest)
{
    worker.leaseExpiryBound = std::max(worker.leaseExpiryBound, latest + maxLeaseDuration(fleet.limits.maxLease));
}

std::int64_t extendLease(const Fleet& fleet, Worker& worker, Instant at)
{
    auto span = std::clamp(elapsed(at, fleet.leasesEndBy), Millis(0), fleet.limits.leaseDuration);
    worker.leaseExpiryBound = std::max(worker.leaseExpiryBound, at + maxLeaseDuration(span));
    return minClockMs(worker, at) + span.count();
}

} // namespace agatevane::fleet
