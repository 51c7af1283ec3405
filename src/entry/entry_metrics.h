#pragma once

#include "agatevane/admission/admission.h"
#include "agatevane/base/outcome.h"
#include "agatevane/metrics/registry.h"
#include <array>

namespace agatevane::entry {

//! Metrics of the request path. It keeps references to them, so that no request looks up a metric by name.
class EntryMetrics {
public:
    explicit EntryMetrics(metrics::Registry& registry);

    void countCall(WorkClass workClass, Outcome outcome, Millis latency);
    void countShed(admission::ShedReason reason);

    metrics::Counter& limitedCalls;
    metrics::Counter& retries;

private:
    std::array<std::array<metrics::Counter*, 3>, admission::classCount> callCounts_ {};
    std::array<metrics::Histogram*, admission::classCount> callSeconds_ {};
    std::array<metrics::Counter*, 4> shedCounts_ {};
};

} // namespace agatevane::entry
