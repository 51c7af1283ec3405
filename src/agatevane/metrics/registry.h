#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

//! Counters, gauges and histograms in the Prometheus text format. Names follow the conventions of Prometheus: base
//! units (seconds, bytes), and "_total" at the end of counters.
namespace agatevane::metrics {

//! Label names and values. The values of one label should come from a small set; see `maxSeries`.
using Labels = std::vector<std::pair<std::string, std::string>>;

//! Maximum number of series of one metric. Observations with further label values go to a series whose label values are
//! all "other", so that callers who choose label values cannot exhaust memory.
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

//! Counts observations in buckets. It is thread-safe and takes no lock.
class Histogram {
public:
    //! `upperBounds` must hold at least one value and be strictly ascending.
    explicit Histogram(const std::vector<double>& upperBounds);
    ~Histogram();

    void observe(double value);

    struct Snapshot {
        std::vector<std::pair<double, std::uint64_t>>
            cumulative; //!< upper bounds, each with the number of observations at or below it
        std::uint64_t count = 0;
        double sum = 0;
    };
    Snapshot snapshot() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

//! Bucket bounds for latencies, in seconds: from 1 ms to 30 s, including 9.3 s, the time limit for the start of urgent
//! work.
std::vector<double> latencyBounds();

enum class MetricType { Counter, Gauge, Histogram };

//! A set of metrics. References stay valid as long as the registry; hot paths keep them instead of looking them up
//! again.
class Registry {
public:
    Registry();
    ~Registry();
    Registry(const Registry&) = delete;
    Registry& operator=(const Registry&) = delete;

    //! Each returns the same object for the same name and labels, and throws std::invalid_argument if the name violates
    //! the conventions or was used with another type.
    Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
    Histogram& histogram(const std::string& name, const std::string& help, const std::vector<double>& upperBounds,
        const Labels& labels = {});

    //! Adds a counter or gauge whose value is read by calling `value` at each rendering.
    void observe(const std::string& name, const std::string& help, MetricType type, std::function<double()> value,
        const Labels& labels = {});

    //! Returns all metrics in the Prometheus text format 0.0.4.
    std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

//! The registry of this process.
Registry& registry();

constexpr const char* contentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace agatevane::metrics
