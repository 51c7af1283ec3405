#include "agatevane/metrics/process.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <stdexcept>
#include <thread>

using namespace agatevane::metrics;

namespace {

bool contains(const std::string& text, const std::string& line)
{
    return text.find(line) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(Metrics_are_rendered_in_the_Prometheus_format, *boost::unit_test::label("metrics"))
{
    Registry registry;
    registry.counter("requests_total", "Requests.", { { "class", "ur\"g\\e\nnt" } }).add(3);
    registry.gauge("queue_length", "Queued.").set(2.5);
    auto& latency = registry.histogram("wait_seconds", "Wait.", { 0.1, 1 });
    for (double value : { 0.05, 0.1, 0.5, 7.0 })
        latency.observe(value);
    BOOST_TEST(registry.render()
        == "# HELP queue_length Queued.\n# TYPE queue_length gauge\nqueue_length 2.5\n"
           "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
           "requests_total{class=\"ur\\\"g\\\\e\\nnt\"} 3\n"
           "# HELP wait_seconds Wait.\n# TYPE wait_seconds histogram\n"
           "wait_seconds_bucket{le=\"0.1\"} 2\nwait_seconds_bucket{le=\"1\"} 3\nwait_seconds_bucket{le=\"+Inf\"} 4\n"
           "wait_seconds_sum 7.65\nwait_seconds_count 4\n"
           "# HELP agatevane_metrics_overflowed_lookups_total Lookups of series beyond the bound, counted under the "
           "label value \"other\".\n# TYPE agatevane_metrics_overflowed_lookups_total counter\n"
           "agatevane_metrics_overflowed_lookups_total 0\n");
}

// Guards against memory use that grows with the number of label values that callers choose.
BOOST_AUTO_TEST_CASE(Series_beyond_the_bound_share_one_series, *boost::unit_test::label("metrics"))
{
    Registry registry;
    for (int i = 0; i < 3000; ++i)
        registry.counter("calls_total", "Calls.", { { "caller", std::to_string(i) } }).add();
    auto text = registry.render();
    BOOST_TEST(contains(text, "calls_total{caller=\"other\"} 2500\n"));
    BOOST_TEST(contains(text, "agatevane_metrics_overflowed_lookups_total 2500\n"));
}

BOOST_AUTO_TEST_CASE(A_name_that_violates_the_conventions_is_refused, *boost::unit_test::label("metrics"))
{
    Registry registry;
    BOOST_CHECK_THROW(registry.counter("requests", "No _total."), std::invalid_argument);
    BOOST_CHECK_THROW(registry.gauge("Queue-Length", "Not a name."), std::invalid_argument);
    registry.gauge("queue_length", "Queued.");
    BOOST_CHECK_THROW(registry.histogram("queue_length", "Queued.", { 1 }), std::invalid_argument);
}

// Guards against lost updates when several threads count at the same time.
BOOST_AUTO_TEST_CASE(Concurrent_observations_are_all_counted, *boost::unit_test::label("metrics"))
{
    Registry registry;
    constexpr int threads = 4;
    constexpr int observationsPerThread = 20000;
    std::vector<std::thread> running;
    for (int i = 0; i < threads; ++i) {
        running.emplace_back([&] {
            for (int j = 0; j < observationsPerThread; ++j) {
                registry.counter("events_total", "Events.").add();
                registry.histogram("size_bytes", "Sizes.", { 1, 2 }).observe(1);
            }
        });
    }
    for (auto& thread : running)
        thread.join();
    BOOST_TEST(registry.counter("events_total", "Events.").value() == threads * observationsPerThread);
    auto snapshot = registry.histogram("size_bytes", "Sizes.", { 1, 2 }).snapshot();
    BOOST_TEST(snapshot.count == threads * observationsPerThread);
    BOOST_TEST(snapshot.sum == threads * observationsPerThread);
}

BOOST_AUTO_TEST_CASE(Violations_and_process_metrics_are_visible, *boost::unit_test::label("metrics"))
{
    reportViolation("test_invariant", "expected by this test");
    addProcessMetrics(registry());
    countControlBytesSent("membership", 100);
    auto text = registry().render();
    BOOST_TEST(violationCount() == 1);
    BOOST_TEST(contains(text, "agatevane_invariant_violations_total{name=\"test_invariant\"} 1\n"));
    BOOST_TEST(contains(text, "agatevane_control_sent_bytes_total{channel=\"membership\"} 100\n"));
    BOOST_TEST(contains(text, "process_cpu_seconds_total "));
}

RC_BOOST_PROP(each_value_is_counted_in_the_bucket_of_its_upper_bound, (const std::vector<int>& values))
{
    Histogram histogram({ -10, 0, 10 });
    std::uint64_t atMostZero = 0;
    for (int value : values) {
        histogram.observe(value);
        atMostZero += value <= 0;
    }
    auto snapshot = histogram.snapshot();
    RC_ASSERT(snapshot.cumulative[1].second == atMostZero);
    RC_ASSERT(snapshot.count == values.size());
}
