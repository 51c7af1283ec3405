#include "agatevane/metrics/registry.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <stdexcept>

namespace agatevane::metrics {

namespace {

    using Axis = boost::histogram::axis::variable<>;
    using SafeCount = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using BoostHistogram = decltype(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<SafeCount> {}, std::declval<Axis>()));

    bool isMetricName(const std::string& name)
    {
        auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_'; };
        return !name.empty() && !(name[0] >= '0' && name[0] <= '9') && std::ranges::all_of(name, isAllowed);
    }

    std::string escape(const std::string& text, bool escapeQuotes)
    {
        std::string result;
        for (char c : text) {
            if (c == '\n')
                result += "\\n";
            else if (c == '\\' || (escapeQuotes && c == '"'))
                result += { '\\', c };
            else
                result += c;
        }
        return result;
    }

    std::string formatNumber(double value)
    {
        if (value != value)
            return "NaN";
        if (value == std::numeric_limits<double>::infinity())
            return "+Inf";
        char buffer[32];
        auto result = std::to_chars(buffer, buffer + sizeof buffer, value);
        return { buffer, result.ptr };
    }

    //! Formats labels as `{a="1",b="2"}`; returns an empty string if there are none.
    std::string formatLabels(const Labels& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += (text.empty() ? "{" : ",") + name + "=\"" + escape(value, true) + "\"";
        return text.empty() ? text : text + "}";
    }

    const char* typeName(MetricType type)
    {
        switch (type) {
        case MetricType::Counter:
            return "counter";
        case MetricType::Gauge:
            return "gauge";
        case MetricType::Histogram:
            return "histogram";
        }
        return "untyped";
    }

    struct Series {
        Labels labels;
        std::unique_ptr<Counter> counter;
        std::unique_ptr<Gauge> gauge;
        std::unique_ptr<Histogram> histogram;
        std::function<double()> value;
    };

    struct Family {
        MetricType type = MetricType::Counter;
        std::string help;
        std::map<std::string, Series> series; //!< key: the formatted labels
    };

    void renderHistogram(const std::string& name, const Series& series, std::string& text)
    {
        auto snapshot = series.histogram->snapshot();
        auto appendBucket = [&](double bound, std::uint64_t count) {
            auto labels = series.labels;
            labels.emplace_back("le", formatNumber(bound));
            text += name + "_bucket" + formatLabels(labels) + " " + std::to_string(count) + "\n";
        };
        for (const auto& [bound, count] : snapshot.cumulative)
            appendBucket(bound, count);
        appendBucket(std::numeric_limits<double>::infinity(), snapshot.count);
        text += name + "_sum" + formatLabels(series.labels) + " " + formatNumber(snapshot.sum) + "\n";
        text += name + "_count" + formatLabels(series.labels) + " " + std::to_string(snapshot.count) + "\n";
    }

} // namespace

struct Histogram::State {
    explicit State(const std::vector<double>& bounds)
        : upperBounds(bounds)
        , counts(boost::histogram::make_histogram_with(boost::histogram::dense_storage<SafeCount> {}, makeAxis(bounds)))
    {
    }

    //! Bins of Boost include their lower edge, while buckets of Prometheus include their upper one. Therefore each edge
    //! is the next larger number after the bound.
    static Axis makeAxis(const std::vector<double>& bounds)
    {
        std::vector<double> edges { std::numeric_limits<double>::lowest() };
        for (double bound : bounds)
            edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
        return Axis(edges);
    }

    std::vector<double> upperBounds;
    BoostHistogram counts;
    std::atomic<double> sum { 0 };
};

Histogram::Histogram(const std::vector<double>& upperBounds)
    : state_(std::make_unique<State>(upperBounds))
{
}

Histogram::~Histogram() = default;

void Histogram::observe(double value)
{
    if (value != value)
        return;
    state_->counts(value);
    state_->sum.fetch_add(value, std::memory_order_relaxed);
}

Histogram::Snapshot Histogram::snapshot() const
{
    Snapshot snapshot;
    for (std::size_t i = 0; i < state_->upperBounds.size(); ++i) {
        snapshot.count += state_->counts.at(static_cast<int>(i));
        snapshot.cumulative.emplace_back(state_->upperBounds[i], snapshot.count);
    }
    // The last bin is the overflow bin, which counts the values above all bounds.
    snapshot.count += state_->counts.at(static_cast<int>(state_->upperBounds.size()));
    snapshot.sum = state_->sum.load(std::memory_order_relaxed);
    return snapshot;
}

std::vector<double> latencyBounds()
{
    return { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 9.3, 15, 30 };
}

struct Registry::State {
    mutable std::mutex mutex;
    std::map<std::string, Family> families;
    std::uint64_t overflows = 0;

    //! Returns the series of these labels and creates it if needed. The caller holds `mutex`.
    Series& findOrCreate(const std::string& name, const std::string& help, MetricType type, const Labels& labels)
    {
        if (!isMetricName(name) || (type == MetricType::Counter) != name.ends_with("_total"))
            throw std::invalid_argument("metric name violates the naming conventions: " + name);
        auto [position, isNew] = families.try_emplace(name);
        auto& family = position->second;
        if (isNew) {
            family.type = type;
            family.help = help;
        } else if (family.type != type) {
            throw std::invalid_argument("metric is already registered with another type: " + name);
        }
        auto key = formatLabels(labels);
        auto found = family.series.find(key);
        if (found != family.series.end())
            return found->second;
        auto seriesLabels = labels;
        if (family.series.size() >= maxSeries) {
            ++overflows;
            for (auto& label : seriesLabels)
                label.second = "other";
            key = formatLabels(seriesLabels);
        }
        auto& series = family.series[key];
        series.labels = std::move(seriesLabels);
        return series;
    }
};

Registry::Registry()
    : state_(std::make_unique<State>())
{
}

Registry::~Registry() = default;

Counter& Registry::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    std::lock_guard lock(state_->mutex);
    auto& series = state_->findOrCreate(name, help, MetricType::Counter, labels);
    if (!series.counter)
        series.counter = std::make_unique<Counter>();
    return *series.counter;
}

Gauge& Registry::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    std::lock_guard lock(state_->mutex);
    auto& series = state_->findOrCreate(name, help, MetricType::Gauge, labels);
    if (!series.gauge)
        series.gauge = std::make_unique<Gauge>();
    return *series.gauge;
}

Histogram& Registry::histogram(
    const std::string& name, const std::string& help, const std::vector<double>& upperBounds, const Labels& labels)
{
    std::lock_guard lock(state_->mutex);
    auto& series = state_->findOrCreate(name, help, MetricType::Histogram, labels);
    if (!series.histogram)
        series.histogram = std::make_unique<Histogram>(upperBounds);
    return *series.histogram;
}

void Registry::observe(const std::string& name, const std::string& help, MetricType type, std::function<double()> value,
    const Labels& labels)
{
    std::lock_guard lock(state_->mutex);
    state_->findOrCreate(name, help, type, labels).value = std::move(value);
}

std::string Registry::render() const
{
    std::lock_guard lock(state_->mutex);
    std::string text;
    auto appendHeader = [&](const std::string& name, const std::string& help, const char* type) {
        text += "# HELP " + name + " " + escape(help, false) + "\n# TYPE " + name + " " + type + "\n";
    };
    for (const auto& [name, family] : state_->families) {
        appendHeader(name, family.help, typeName(family.type));
        for (const auto& [labels, series] : family.series) {
            if (series.histogram)
                renderHistogram(name, series, text);
            else if (series.value)
                text += name + labels + " " + formatNumber(series.value()) + "\n";
            else if (series.counter)
                text += name + labels + " " + std::to_string(series.counter->value()) + "\n";
            else if (series.gauge)
                text += name + labels + " " + formatNumber(series.gauge->value()) + "\n";
        }
    }
    constexpr const char* overflowName = "agatevane_metrics_overflowed_lookups_total";
    appendHeader(
        overflowName, "Lookups of series beyond the bound, counted under the label value \"other\".", "counter");
    text += std::string(overflowName) + " " + std::to_string(state_->overflows) + "\n";
    return text;
}

Registry& registry()
{
    static Registry instance;
    return instance;
}

} // namespace agatevane::metrics
