#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace agatevane::ctl {

namespace {

    //! A job may suffer from what happened this long before it came: an election, or a silence of the store.
    constexpr std::int64_t spanBeforeMs = 3000;
    constexpr std::int64_t spanAfterMs = 500;

    //! What a process says of itself and of what it depends on.
    constexpr std::array<std::string_view, 17> processEvents { "commit_unanswered", "desired_state_applied", "drained",
        "earlier_life_ended", "fleet_loaded", "lease_lost", "load_failed", "owner_absent", "owner_key_restored",
        "ownership_gained", "ownership_lost", "readiness_changed", "reloaded", "settings_wrong", "started", "stopped",
        "stopping" };

    std::string fieldOf(const LogLine& line, const char* name)
    {
        auto found = line.fields.find(name);
        return found != line.fields.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    bool isAbout(const LogLine& line, const std::string& job)
    {
        return fieldOf(line, "job") == job || fieldOf(line, "for") == job;
    }

    void count(Explanation& result, const LogLine& line, const std::string& job)
    {
        if (fieldOf(line, "job") != job)
            return;
        auto how = fieldOf(line, "how");
        ++result.counts[how.empty() ? line.event : line.event + ":" + how];
        if (line.event != "call_answered")
            return;
        auto reason = fieldOf(line, "reason");
        result.lastAnswer
            = fieldOf(line, "call") + " " + fieldOf(line, "status") + (reason.empty() ? "" : ": " + reason);
    }

} // namespace

std::size_t readLog(std::istream& log, std::vector<LogLine>& lines)
{
    std::size_t unreadable = 0;
    for (std::string text; std::getline(log, text);) {
        auto value = nlohmann::json::parse(text, nullptr, false);
        bool isLine = value.is_object() && value.contains("time_ms") && value["time_ms"].is_number_integer()
            && value.contains("event") && value["event"].is_string() && value.contains("process")
            && value["process"].is_string();
        if (!isLine) {
            ++unreadable;
            continue;
        }
        LogLine line { value["time_ms"].get<std::int64_t>(), value["process"].get<std::string>(),
            value["event"].get<std::string>(), {}, Relation::Job };
        for (const char* name : { "time_ms", "process", "event" })
            value.erase(name);
        line.fields = std::move(value);
        lines.push_back(std::move(line));
    }
    return unreadable;
}

Explanation explain(const std::vector<LogLine>& lines, const std::string& job)
{
    Explanation result;
    std::set<std::string> workers;
    std::set<std::string> processes;
    for (const auto& line : lines) {
        if (!isAbout(line, job))
            continue;
        result.lines.push_back(line);
        workers.insert(fieldOf(line, "worker"));
        processes.insert(line.process);
        processes.insert(fieldOf(line, "owner"));
    }
    auto byTime = [](const LogLine& a, const LogLine& b) { return a.timeMs < b.timeMs; };
    std::stable_sort(result.lines.begin(), result.lines.end(), byTime);
    for (const auto& line : result.lines)
        count(result, line, job);
    if (result.lines.empty())
        return result;
    auto first = result.lines.front().timeMs - spanBeforeMs;
    auto last = result.lines.back().timeMs + spanAfterMs;
    for (const auto& line : lines) {
        if (isAbout(line, job) || line.timeMs < first || line.timeMs > last)
            continue;
        bool isOfProcess = std::find(processEvents.begin(), processEvents.end(), line.event) != processEvents.end();
        bool isOfWorker = line.event.starts_with("worker_") && workers.contains(fieldOf(line, "worker"));
        if (!isOfWorker && !(isOfProcess && processes.contains(line.process)))
            continue;
        result.lines.push_back(line);
        result.lines.back().relation = isOfWorker ? Relation::Worker : Relation::Process;
    }
    std::stable_sort(result.lines.begin(), result.lines.end(), byTime);
    return result;
}

} // namespace agatevane::ctl
