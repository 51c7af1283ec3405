#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

//! Counters, gauges and histograms in the Prometheus text format. Names follow its conventions: base units (seconds,
//! bytes), and "_total" at the end of counters.
namespace agatevane::metrics {

//! Label names and values. The values of one label should come from a small set; see `maxSeries`.
using Labels = std::vector<std::pair<std::string, std::string>>;

//! Series of one metric. Beyond the bound, observations go to a series whose label values are "other", so that callers
//! who choose label values cannot exhaust memory.
constexpr std::size_t maxSeries = 500;

class Counter {
public:
    void add(std::uint64_t count = 1) { value_.fetch_add(count, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ { 0 };
};

class Gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double difference) { value_.fetch_add(difference, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_ { 0 };
};

//! Counts observations in buckets. Thread-safe without a lock.
class Histogram {
public:
    //! `upperBounds` ascend strictly and are at least one.
    explicit Histogram(const std::vector<double>& upperBounds);
    ~Histogram();

    void observe(double value);

    struct Snapshot {
        std::vector<std::pair<double, std::uint64_t>> cumulative; //!< upper bound, observations at or below it
        std::uint64_t count = 0;
        double sum = 0;
    };
    Snapshot snapshot() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

//! Bounds for latencies in seconds: 1 ms to 30 s, with 9.3 s, the bound for the start of urgent work.
std::vector<double> latencyBounds();

enum class MetricType { Counter, Gauge, Histogram };

//! A set of metrics. References stay valid as long as the registry; keep them instead of asking again on a hot path.
class Registry {
public:
    Registry();
    ~Registry();
    Registry(const Registry&) = delete;
    Registry& operator=(const Registry&) = delete;

    //! Each returns the same object for the same name and labels. std::invalid_argument if the name breaks the
    //! conventions or was used with another type.
    Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
    Histogram& histogram(const std::string& name, const std::string& help, const std::vector<double>& upperBounds,
        const Labels& labels = {});

    //! A counter or gauge whose value is asked for at each rendering.
    void observe(const std::string& name, const std::string& help, MetricType type, std::function<double()> value,
        const Labels& labels = {});

    //! Prometheus text format 0.0.4.
    std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

//! The registry of this process.
Registry& registry();

constexpr const char* contentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace agatevane::metrics
