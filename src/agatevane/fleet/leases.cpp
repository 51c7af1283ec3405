#include "agatevane/fleet/leases.h"

#include <algorithm>

namespace agatevane::fleet {

std::int64_t leastClockMs(const Worker& worker, Instant at)
{
    auto passed = static_cast<double>(elapsed(worker.clockAt, at).count());
    return worker.clockMs + static_cast<std::int64_t>(std::max(0.0, passed) * (1 - maxClockLag));
}

std::int64_t extendLease(const Fleet& fleet, Worker& worker, Instant at)
{
    auto span = static_cast<double>(fleet.limits.leaseSpan.count());
    auto longest = Millis(static_cast<std::int64_t>(span / (1 - maxClockLag))) + leaseMargin;
    worker.leaseBound = std::max(worker.leaseBound, at + longest);
    return leastClockMs(worker, at) + fleet.limits.leaseSpan.count();
}

} // namespace agatevane::fleet
