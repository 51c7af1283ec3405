#include "agatevane/scheduling/run_time_estimator.h"

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
    run_times::addToBucket(histogram, run_times::bucketOf<RatioHistogram>(ratio), decayPerSample);
}

double quantile(const RatioHistogram& histogram, double fraction, double defaultValue)
{
    if (histogram.total < minSamples * decayPerSample)
        return defaultValue;
    return run_times::upperEdge<RatioHistogram>(run_times::quantileBucket(histogram, fraction, histogram.total));
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
