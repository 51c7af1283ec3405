#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatevane::scheduling {

//! Distribution of the ratio of actual to declared run time. Bucket edges are powers of two in steps of 1/4 of an
//! exponent, from 1/32 to 32. Older samples have exponentially less weight.
struct RatioHistogram {
    static constexpr int bucketsPerOctave = 4;
    //! Number of doublings on each side of the ratio 1. Declared run times are wrong by a factor of up to ten.
    static constexpr int octaves = 5;
    static constexpr int size = 2 * octaves * bucketsPerOctave + 1;

    std::array<float, size> counts {};
    float total = 0; //!< sum of all counts
};

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
