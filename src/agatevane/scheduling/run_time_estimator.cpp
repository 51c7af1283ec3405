#include "agatevane/scheduling/run_time_estimator.h"
#include <algorithm>
#include <cmath>

namespace agatevane::scheduling {

namespace {

    constexpr float fading
        = 0.98F; //!< of each older sample; about 50 samples count, so a changed habit is learned soon
    constexpr float fewestSamples = 5;
    constexpr double upperQuantile = 0.9;
    constexpr double priorRatio = 10; //!< declared run times are known to be off by up to ten

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
        count *= fading;
    histogram.counts[std::clamp(bucket, 0, RatioHistogram::size - 1)] += 1;
    histogram.total = histogram.total * fading + 1;
}

double quantile(const RatioHistogram& histogram, double fraction, double prior)
{
    if (histogram.total < fewestSamples * fading)
        return prior;
    constexpr int middle = RatioHistogram::octaves * RatioHistogram::bucketsPerOctave;
    double left = histogram.total * fraction;
    int bucket = 0;
    while (bucket < RatioHistogram::size - 1 && left > histogram.counts[bucket]) {
        left -= histogram.counts[bucket];
        ++bucket;
    }
    return std::exp2(static_cast<double>(bucket - middle) / RatioHistogram::bucketsPerOctave);
}

int kindSlot(RunTimeEstimator& estimator, int workspace, const std::string& kind)
{
    auto found = estimator.slots.find({ workspace, kind });
    if (found != estimator.slots.end())
        return found->second;
    std::size_t& kinds = estimator.kindsOf[workspace];
    if (kinds > RunTimeEstimator::maxKindsPerWorkspace && !kind.empty())
        return kindSlot(estimator, workspace, "");
    ++kinds;
    int slot = static_cast<int>(estimator.histograms.size());
    estimator.histograms.emplace_back();
    estimator.slots.emplace(std::pair { workspace, kind }, slot);
    return slot;
}

void learn(RunTimeEstimator& estimator, int kind, std::int64_t declaredMs, std::int64_t actualMs)
{
    if (declaredMs > 0)
        addSample(estimator.histograms[kind], static_cast<double>(actualMs) / static_cast<double>(declaredMs));
}

std::int64_t correctedMs(const RunTimeEstimator& estimator, int kind, std::int64_t declaredMs)
{
    constexpr std::int64_t undeclaredMs = 3'600'000; // most jobs run for hours
    double ratio = quantile(estimator.histograms[kind], upperQuantile, priorRatio);
    return static_cast<std::int64_t>(static_cast<double>(declaredMs > 0 ? declaredMs : undeclaredMs) * ratio);
}

} // namespace agatevane::scheduling
