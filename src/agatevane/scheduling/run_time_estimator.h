#pragma once

#include "agatevane/run_times/histogram.h"
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatevane::scheduling {

//! Distribution of the ratio of actual to declared run time, from 1/32 to 32: declared run times are wrong by a factor
//! of up to ten. Older samples have exponentially less weight.
using RatioHistogram = run_times::Histogram<-5, 5>;

void addSample(RatioHistogram& histogram, double ratio);

//! The upper edge of the bucket that holds the quantile; `defaultValue` while there are too few samples.
double quantile(const RatioHistogram& histogram, double fraction, double defaultValue);

//! Corrects declared run times by the ratios observed for earlier jobs of the same workspace and kind.
struct RunTimeEstimator {
    //! Kinds are free text given by callers. Kinds beyond this number share one entry, which bounds memory.
    static constexpr std::size_t maxKindsPerWorkspace = 64;

    std::map<std::pair<int, std::string>, int> kindSlots; //!< index in `histograms`, by workspace and kind
    std::map<int, std::size_t> kindCounts; //!< by workspace
    std::vector<RatioHistogram> histograms;
};

//! Returns the slot of the kind, which the other functions take as `kind`.
int findOrAddKind(RunTimeEstimator& estimator, int workspace, const std::string& kind);

//! Adds a sample; does nothing if no run time was declared.
void recordRunTime(RunTimeEstimator& estimator, int kind, std::int64_t declaredMs, std::int64_t actualMs);

//! The run time that 90 % of the jobs of this kind with this declared run time are expected not to exceed.
std::int64_t correctedRunTimeMs(const RunTimeEstimator& estimator, int kind, std::int64_t declaredMs);

} // namespace agatevane::scheduling
