#include "entry/entry_metrics.h"

namespace agatevane::entry {

EntryMetrics::EntryMetrics(metrics::Registry& registry)
    : limitedCalls(registry.counter("agatevane_calls_limited_total", "Calls refused by a limit in requests/s"))
    , retries(registry.counter("agatevane_call_retries_total", "Further attempts after the first of a call"))
{
    for (const auto& [workClass, className] : EnumNames<WorkClass>::table) {
        auto classIndex = static_cast<std::size_t>(workClass);
        metrics::Labels classLabel { { "class", std::string(className) } };
        callSeconds_[classIndex] = &registry.histogram("agatevane_call_seconds",
            "Time from the arrival of a call to its answer", metrics::latencyBounds(), classLabel);
        for (const auto& [outcome, outcomeName] : EnumNames<Outcome>::table) {
            auto labels = classLabel;
            labels.emplace_back("outcome", std::string(outcomeName));
            callCounts_[classIndex][static_cast<std::size_t>(outcome)]
                = &registry.counter("agatevane_calls_total", "Calls by class and what the caller was told", labels);
        }
    }
    for (const auto& [reason, name] : EnumNames<admission::ShedReason>::table) {
        shedCounts_[static_cast<std::size_t>(reason)] = &registry.counter(
            "agatevane_calls_shed_total", "Calls refused by admission, by reason", { { "reason", std::string(name) } });
    }
}

void EntryMetrics::countCall(WorkClass workClass, Outcome outcome, Millis latency)
{
    auto classIndex = static_cast<std::size_t>(workClass);
    callCounts_[classIndex][static_cast<std::size_t>(outcome)]->add();
    callSeconds_[classIndex]->observe(std::chrono::duration<double>(latency).count());
}

void EntryMetrics::countShed(admission::ShedReason reason)
{
    shedCounts_[static_cast<std::size_t>(reason)]->add();
}

} // namespace agatevane::entry
