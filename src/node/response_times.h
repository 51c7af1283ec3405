#pragma once

#include "agatevane/base/instant.h"

//! How long to wait for an answer before an idempotent call is sent again. A store that answers within milliseconds
//! and loses an answer should be asked again soon; a slow store must not be flooded with repetitions.
namespace agatevane::node {

//! Answer times of one kind of call, smoothed as TCP smooths round-trip times.
struct ResponseTimes {
    bool hasSample = false;
    double smoothedMs = 0;
    double deviationMs = 0; //!< smoothed difference between an answer time and `smoothedMs`
    int timeoutsInRow = 0; //!< since the last answer
};

void addResponse(ResponseTimes& times, Millis took);
void addTimeout(ResponseTimes& times);

//! Time after which an answer counts as lost; doubles with the timeouts in a row. `longest` without a sample, and at
//! most.
Millis responseTimeout(const ResponseTimes& times, Millis longest);

} // namespace agatevane::node
