#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatevane::scheduling {

//! Distribution of actual / declared run time in quarter powers of two from 1/32 to 32. Old samples fade.
struct RatioHistogram {
    static constexpr int bucketsPerOctave = 4;
    static constexpr int octaves = 5; //!< on each side of 1; declared run times are off by up to ten
    static constexpr int size = 2 * octaves * bucketsPerOctave + 1;

    std::array<float, size> counts {};
    float total = 0;
};

void addSample(RatioHistogram& histogram, double ratio);

//! The upper edge of the bucket that holds the quantile; `prior` while there are too few samples.
double quantile(const RatioHistogram& histogram, double fraction, double prior);

//! Learned corrections of declared run times.
struct RunTimeEstimator {
    static constexpr std::size_t maxKindsPerWorkspace
        = 64; //!< kinds are free text of callers; the rest share one entry

    std::map<std::pair<int, std::string>, int> slots; //!< by workspace and kind
    std::map<int, std::size_t> kindsOf;
    std::vector<RatioHistogram> histograms;
};

int kindSlot(RunTimeEstimator& estimator, int workspace, const std::string& kind);
void learn(RunTimeEstimator& estimator, int kind, std::int64_t declaredMs, std::int64_t actualMs);

//! Run time that 90 % of the jobs of this kind do not exceed.
std::int64_t correctedMs(const RunTimeEstimator& estimator, int kind, std::int64_t declaredMs);

} // namespace agatevane::scheduling
