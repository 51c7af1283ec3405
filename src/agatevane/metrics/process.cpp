#include "agatevane/metrics/process.h"

#include <chrono>
#include <fstream>
#include <glog/logging.h>
#include <sys/resource.h>
#include <unistd.h>

namespace agatevane::metrics {

namespace {

    //! Violations of one invariant that are logged; later ones are only counted.
    constexpr std::uint64_t maxLoggedViolations = 10;

    std::atomic<std::uint64_t>& violations()
    {
        static std::atomic<std::uint64_t> count { 0 };
        return count;
    }

    double cpuSeconds()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        auto seconds = [](const timeval& time) {
            return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
        };
        return seconds(usage.ru_utime) + seconds(usage.ru_stime);
    }

    double residentBytes()
    {
        std::ifstream statm("/proc/self/statm");
        double totalPages = 0;
        double residentPages = 0;
        statm >> totalPages >> residentPages;
        return residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

} // namespace

void reportViolation(const std::string& name, const std::string& detail)
{
    violations().fetch_add(1, std::memory_order_relaxed);
    auto& counter = registry().counter(
        "agatevane_invariant_violations_total", "Invariants found broken; 0 in a correct run.", { { "name", name } });
    counter.add();
    if (counter.value() <= maxLoggedViolations)
        LOG(ERROR) << "invariant " << name << " violated: " << detail;
}

std::uint64_t violationCount()
{
    return violations().load(std::memory_order_relaxed);
}

void countControlBytesSent(const std::string& channel, std::uint64_t bytes)
{
    registry()
        .counter("agatevane_control_sent_bytes_total", "Bytes of control traffic sent.", { { "channel", channel } })
        .add(bytes);
}

void countControlBytesReceived(const std::string& channel, std::uint64_t bytes)
{
    registry()
        .counter(
            "agatevane_control_received_bytes_total", "Bytes of control traffic received.", { { "channel", channel } })
        .add(bytes);
}

void addProcessMetrics(Registry& registry)
{
    registry.observe(
        "process_cpu_seconds_total", "Processor time used, user and system.", MetricType::Counter, cpuSeconds);
    registry.observe("process_resident_memory_bytes", "Resident memory.", MetricType::Gauge, residentBytes);
    auto start = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    registry.gauge("process_start_time_seconds", "Start of the process, in seconds since 1970.").set(start);
}

} // namespace agatevane::metrics
