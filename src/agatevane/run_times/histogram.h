#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

//! Histograms of durations and of their ratios, and the estimates that are made from them. No I/O, no clock.
namespace agatevane::run_times {

//! Buckets for each doubling of the value; the edges of a bucket are 19 % apart.
constexpr int bucketsPerOctave = 4;

//! Distribution of a positive value. The upper edges of the buckets are powers of two, in steps of 1/4 of an exponent,
//! from `LowestOctave` to `HighestOctave`. Values outside are counted in the first or the last bucket.
template <int LowestOctave, int HighestOctave> struct Histogram {
    static constexpr int lowest = LowestOctave * bucketsPerOctave; //!< exponent of the first bucket, in quarters
    static constexpr int size = (HighestOctave - LowestOctave) * bucketsPerOctave + 1;

    std::array<float, size> counts {};
    float total = 0; //!< sum of all counts
};

//! The bucket with the least upper edge that is not below `value`.
template <typename Counts> int bucketOf(double value)
{
    constexpr double least = 1e-6;
    constexpr double most = 1e12;
    if (!(value > 0))
        return 0;
    auto exponent = std::ceil(std::log2(std::clamp(value, least, most)) * bucketsPerOctave);
    return std::clamp(static_cast<int>(exponent) - Counts::lowest, 0, Counts::size - 1);
}

template <typename Counts> double upperEdge(int bucket)
{
    return std::exp2(static_cast<double>(bucket + Counts::lowest) / bucketsPerOctave);
}

//! Multiplies the weight of all samples by `factor`.
template <typename Counts> void decay(Counts& histogram, float factor)
{
    for (float& count : histogram.counts)
        count *= factor;
    histogram.total *= factor;
}

//! Multiplies the weight of all samples by `factor`, then adds one.
template <typename Counts> void addToBucket(Counts& histogram, int bucket, float factor)
{
    decay(histogram, factor);
    histogram.counts[static_cast<std::size_t>(bucket)] += 1;
    histogram.total += 1;
}

//! Moves a sample that has this weight by now to another bucket.
template <typename Counts> void moveSample(Counts& histogram, int from, int to, float weight)
{
    auto moved = std::min(weight, histogram.counts[static_cast<std::size_t>(from)]);
    histogram.counts[static_cast<std::size_t>(from)] -= moved;
    histogram.counts[static_cast<std::size_t>(to)] += moved;
}

//! The bucket of the quantile among the samples from `first` on, whose weights have the sum `total`.
template <typename Counts> int quantileBucket(const Counts& histogram, double fraction, double total, int first = 0)
{
    double left = total * fraction;
    int bucket = first;
    while (bucket < Counts::size - 1 && left > histogram.counts[static_cast<std::size_t>(bucket)]) {
        left -= histogram.counts[static_cast<std::size_t>(bucket)];
        ++bucket;
    }
    return bucket;
}

//! Weight of the samples in the buckets from `first` on.
template <typename Counts> double weightFrom(const Counts& histogram, int first)
{
    return std::accumulate(histogram.counts.begin() + first, histogram.counts.end(), 0.0);
}

} // namespace agatevane::run_times
