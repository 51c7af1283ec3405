#pragma once

#include "agatevane/run_times/model.h"

namespace agatevane::test {

//! Adds `count` runs of one kind that have ended after the same time, one second apart.
inline void addEnded(run_times::Model& model, const run_times::Kind& kind, std::int64_t durationMs, int count,
    Instant at = Instant(std::chrono::hours(1)))
{
    for (int n = 0; n < count; ++n) {
        run_times::Sample sample;
        run_times::setDuration(model, kind, sample, durationMs, at + std::chrono::seconds(n));
    }
}

inline std::int64_t quantileMs(const run_times::Model& model, const run_times::Kind& kind, double fraction)
{
    return run_times::quantileMs(run_times::estimate(model, kind), fraction);
}

} // namespace agatevane::test
