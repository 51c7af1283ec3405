#include "agatevane/fleet/limits.h"

namespace agatevane::fleet {

namespace {

    //! Time that a stop and the restart after it take where stops are cheap.
    constexpr Millis cheapStopDuration { 500 };

} // namespace

bool areStopsCostly(const Limits& limits)
{
    return limits.stopDuration + limits.restoreDuration > cheapStopDuration;
}

} // namespace agatevane::fleet
