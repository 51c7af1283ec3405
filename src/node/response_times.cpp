#include "node/response_times.h"

#include <algorithm>
#include <cmath>

namespace agatevane::node {

namespace {

    //! Weights of a new sample, as in RFC 6298. Its weight for the mean is larger here, because calls are rare and the
    //! store's speed changes within seconds.
    constexpr double sampleWeight = 0.25;
    constexpr double deviationWeight = 0.25;
    constexpr double deviationFactor = 4;
    //! No answer counts as lost sooner: the event loop of a small VM may be this late.
    constexpr Millis shortestTimeout { 150 };
    constexpr int maxDoublings = 6;
    //! Every fourth attempt without an answer waits for the longest time, in case that the other side is slow. The
    //! others wait half as long, so that it is heard sooner when it is back.
    constexpr int longAttemptInterval = 4;

} // namespace

void addResponse(ResponseTimes& times, Millis took)
{
    auto sample = static_cast<double>(took.count());
    times.timeoutsInRow = 0;
    if (!times.hasSample) {
        times = { true, sample, sample / 2, 0 };
        return;
    }
    times.deviationMs += deviationWeight * (std::abs(sample - times.smoothedMs) - times.deviationMs);
    times.smoothedMs += sampleWeight * (sample - times.smoothedMs);
}

void addTimeout(ResponseTimes& times)
{
    ++times.timeoutsInRow;
}

Millis responseTimeout(const ResponseTimes& times, Millis longest)
{
    if (!times.hasSample)
        return longest;
    Millis expected(static_cast<std::int64_t>(std::ceil(times.smoothedMs + deviationFactor * times.deviationMs)));
    if (times.timeoutsInRow % longAttemptInterval == longAttemptInterval - 1)
        return longest;
    auto doubled = std::max(expected, shortestTimeout) * (1 << std::min(times.timeoutsInRow, maxDoublings));
    return std::min({ doubled, std::max(longest / 2, expected), longest });
}

} // namespace agatevane::node
