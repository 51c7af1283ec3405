#include "agatevane/scheduling/run_time_estimator.h"
#include <algorithm>
#include <cmath>

namespace agatevane::scheduling {

namespace {

    //! Factor applied to the weight of older samples with each new one. About the last 50 samples count, so that the
    //! estimate soon follows a change in run times.
    constexpr float decayPerSample = 0.98F;
    constexpr float minSamples = 5; //!< below this number of samples the default ratio is used
    constexpr double upperQuantile = 0.9;
    constexpr double defaultRatio = 10; //!< declared run times are wrong by a factor of up to ten

} // namespace

void addSample(RatioHistogram& histogram, double ratio)
{
    constexpr int middle = RatioHistogram::octaves * RatioHistogram::bucketsPerOctave;
    int bucket = middle;
    if (ratio > 0)
        bucket
            += static_cast<int>(std::ceil(std::log2(std::clamp(ratio, 1e-6, 1e6)) * RatioHistogram::bucketsPerOctave));
    else
        bucket = 0;
    for (float& count : histogram.counts)
        count *= decayPerSample;
    histogram.counts[std::clamp(bucket, 0, RatioHistogram::size - 1)] += 1;
    histogram.total = histogram.total * decayPerSample + 1;
}

double quantile(const RatioHistogram& histogram, double fraction, double defaultValue)
{
    if (histogram.total < minSamples * decayPerSample)
        return defaultValue;
    constexpr int middle = RatioHistogram::octaves * RatioHistogram::bucketsPerOctave;
    double left = histogram.total * fraction;
    int bucket = 0;
    while (bucket < RatioHistogram::size - 1 && left > histogram.counts[bucket]) {
        left -= histogram.counts[bucket];
        ++bucket;
    }
    return std::exp2(static_cast<double>(bucket - middle) / RatioHistogram::bucketsPerOctave);
}

int findOrAddKind(RunTimeEstimator& estimator, int workspace, const std::string& kind)
{
    auto found = estimator.kindSlots.find({ workspace, kind });
    if (found != estimator.kindSlots.end())
        return found->second;
    std::size_t& kinds = estimator.kindCounts[workspace];
    if (kinds > RunTimeEstimator::maxKindsPerWorkspace && !kind.empty())
        return findOrAddKind(estimator, workspace, "");
    ++kinds;
    int slot = static_cast<int>(estimator.histograms.size());
    estimator.histograms.emplace_back();
    estimator.kindSlots.emplace(std::pair { workspace, kind }, slot);
    return slot;
}

void recordRunTime(RunTimeEstimator& estimator, int kind, std::int64_t declaredMs, std::int64_t actualMs)
{
    if (declaredMs > 0)
        addSample(estimator.histograms[kind], static_cast<double>(actualMs) / static_cast<double>(declaredMs));
}

std::int64_t correctedRunTimeMs(const RunTimeEstimator& estimator, int kind, std::int64_t declaredMs)
{
    constexpr std::int64_t defaultDeclaredMs = 3'600'000; // assumed if none is declared: most jobs run for hours
    double ratio = quantile(estimator.histograms[kind], upperQuantile, defaultRatio);
    return static_cast<std::int64_t>(static_cast<double>(declaredMs > 0 ? declaredMs : defaultDeclaredMs) * ratio);
}

} // namespace agatevane::scheduling
