#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace agatevane::ctl {

namespace {

    using event_log::LogLine;
    using event_log::textOf;

    //! Events up to this long before the job's first line are included, since an election or an outage of the store
    //! shortly before a job arrives can still affect it.
    constexpr std::int64_t includedBeforeMs = 3000;
    //! Events up to this long after the job's last line are included.
    constexpr std::int64_t includedAfterMs = 500;

    //! Events about a process itself and about the services it depends on.
    constexpr std::array<std::string_view, 20> processEvents { "commit_unanswered", "desired_state_applied", "drained",
        "earlier_life_ended", "fleet_loaded", "lease_lost", "owner_absent", "owner_key_restored", "ownership_gained",
        "ownership_lost", "readiness_changed", "reloaded", "run_times_loaded", "settings_wrong", "started", "stopped",
        "stopping", "store_heard_again", "store_not_read", "store_silent" };

    bool isAbout(const LogLine& line, const std::string& job)
    {
        return textOf(line, "job") == job || textOf(line, "for") == job;
    }

    void countEvent(Explanation& result, const LogLine& line, const std::string& job)
    {
        if (textOf(line, "job") != job)
            return;
        auto how = textOf(line, "how");
        ++result.counts[how.empty() ? line.event : line.event + ":" + how];
        if (line.event != "call_answered")
            return;
        auto reason = textOf(line, "reason");
        result.lastAnswer = textOf(line, "call") + " " + textOf(line, "status") + (reason.empty() ? "" : ": " + reason);
    }

} // namespace

Explanation explain(const std::vector<LogLine>& lines, const std::string& job)
{
    Explanation result;
    std::set<std::string> workers;
    std::set<std::string> processes;
    for (const auto& line : lines) {
        if (!isAbout(line, job))
            continue;
        result.lines.push_back({ line, Relation::Job });
        workers.insert(textOf(line, "worker"));
        processes.insert(line.process);
        processes.insert(textOf(line, "owner"));
    }
    auto byTime = [](const ExplainedLine& a, const ExplainedLine& b) { return a.line.timeMs < b.line.timeMs; };
    std::stable_sort(result.lines.begin(), result.lines.end(), byTime);
    for (const auto& explained : result.lines)
        countEvent(result, explained.line, job);
    if (result.lines.empty())
        return result;
    auto first = result.lines.front().line.timeMs - includedBeforeMs;
    auto last = result.lines.back().line.timeMs + includedAfterMs;
    for (const auto& line : lines) {
        if (isAbout(line, job) || line.timeMs < first || line.timeMs > last)
            continue;
        bool isProcessEvent = std::find(processEvents.begin(), processEvents.end(), line.event) != processEvents.end();
        if (line.event.starts_with("worker_") && workers.contains(textOf(line, "worker")))
            result.lines.push_back({ line, Relation::Worker });
        else if (isProcessEvent && processes.contains(line.process))
            result.lines.push_back({ line, Relation::Process });
    }
    std::stable_sort(result.lines.begin(), result.lines.end(), byTime);
    return result;
}

} // namespace agatevane::ctl
