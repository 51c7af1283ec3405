#pragma once

#include "agatevane/admission/admission.h"
#include "agatevane/base/outcome.h"
#include "agatevane/metrics/registry.h"
#include <array>

namespace agatevane::entry {

//! Counters of the request path; references are kept, so that no request looks up a name.
class EntryMetrics {
public:
    explicit EntryMetrics(metrics::Registry& registry);

    void countCall(WorkClass workClass, Outcome outcome, Millis took);
    void countShed(admission::ShedReason reason);

    metrics::Counter& limited;
    metrics::Counter& retries;

private:
    std::array<std::array<metrics::Counter*, 3>, admission::classCount> calls_ {};
    std::array<metrics::Histogram*, admission::classCount> seconds_ {};
    std::array<metrics::Counter*, 4> shed_ {};
};

} // namespace agatevane::entry
