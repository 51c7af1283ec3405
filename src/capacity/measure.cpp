#include "capacity/measure.h"

#include <algorithm>
#include <limits>
#include <malloc.h>
#include <sys/resource.h>

namespace agatevane::capacity {

Line fit(const std::vector<Sample>& samples)
{
    double n = static_cast<double>(samples.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (const auto& [x, y] : samples) {
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    double denominator = n * sumXX - sumX * sumX;
    Line line;
    line.slope = denominator == 0 ? 0 : (n * sumXY - sumX * sumY) / denominator;
    line.intercept = n == 0 ? 0 : (sumY - line.slope * sumX) / n;
    return line;
}

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double heapBytes()
{
    auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double measureMicroseconds(const std::function<void()>& call)
{
    constexpr int runs = 3;
    constexpr double minRunSeconds = 0.02;
    double lowestMean = std::numeric_limits<double>::max();
    for (int run = 0; run < runs; ++run) {
        int calls = 0;
        double start = processorSeconds();
        double spent = 0;
        while (spent < minRunSeconds) {
            call();
            ++calls;
            spent = processorSeconds() - start;
        }
        lowestMean = std::min(lowestMean, spent / calls * 1e6);
    }
    return lowestMean;
}

} // namespace agatevane::capacity
