#include "agatevane/json/reader.h"
#include "agatevane/timeline/merge.h"
#include <algorithm>
#include <array>
#include <ctime>
#include <map>

namespace agatevane::timeline {

namespace {

    constexpr std::array<const char*, 10> headings { "clock", "time", "process", "event", "job", "request", "workspace",
        "data centre", "worker/member", "detail" };

    std::string timeOfDay(std::int64_t unixMs)
    {
        auto seconds = static_cast<std::time_t>(unixMs / 1000);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char text[32];
        auto length = std::strftime(text, sizeof text, "%H:%M:%S", &parts);
        auto millis = std::to_string(1000 + std::abs(unixMs % 1000)).substr(1);
        return std::string(text, length) + "." + millis;
    }

    //! Replaces control characters by blanks, since text from other processes must not write control sequences to the
    //! terminal.
    std::string replaceControlCharacters(std::string text)
    {
        std::ranges::replace_if(
            text, [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
        return text;
    }

    std::array<std::string, headings.size()> tableCells(const Event& event)
    {
        return { std::to_string(event.clock), timeOfDay(event.unixMs), replaceControlCharacters(event.process),
            std::string(nameOf(event.type)), replaceControlCharacters(event.job.value),
            replaceControlCharacters(event.request), replaceControlCharacters(event.workspace.value),
            replaceControlCharacters(event.dataCentre.value),
            replaceControlCharacters(event.worker.empty() ? event.member.value : event.worker.value),
            replaceControlCharacters(event.detail) };
    }

    std::string escapeHtml(const std::string& text)
    {
        std::string escaped;
        for (char c : text) {
            if (c == '<')
                escaped += "&lt;";
            else if (c == '>')
                escaped += "&gt;";
            else if (c == '&')
                escaped += "&amp;";
            else if (c == '"')
                escaped += "&quot;";
            else
                escaped += c;
        }
        return escaped;
    }

    //! Returns the trace phase of an event: 'b' if it begins a run of its job, 'e' if it ends one, 0 otherwise.
    char tracePhase(EventType type)
    {
        switch (type) {
        case EventType::JobStarted:
            return 'b';
        case EventType::JobStopped:
        case EventType::JobFinished:
        case EventType::JobFailed:
        case EventType::JobCancelled:
            return 'e';
        default:
            return 0;
        }
    }

    constexpr const char* htmlHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>agatevane timeline</title><style>
body { font: 13px sans-serif; margin: 1em }
table { border-collapse: collapse }
th, td { text-align: left; padding: 2px 8px; border-bottom: 1px solid #ddd; white-space: nowrap }
th { position: sticky; top: 0; background: #fff }
</style></head><body>
<p><label>Filter <input id="filter" size="40"></label> <span id="count"></span></p>
<table><thead><tr>)";

    constexpr const char* htmlTail = R"(</tbody></table>
<script>
const rows = [...document.querySelectorAll("tbody tr")];
const input = document.getElementById("filter");
function apply() {
    const words = input.value.toLowerCase().split(" ").filter(Boolean);
    let shown = 0;
    for (const row of rows) {
        const text = row.textContent.toLowerCase();
        row.hidden = !words.every(word => text.includes(word));
        shown += row.hidden ? 0 : 1;
    }
    document.getElementById("count").textContent = shown + " of " + rows.length + " events";
}
input.addEventListener("input", apply);
apply();
</script></body></html>
)";

} // namespace

std::string formatTable(const std::vector<Event>& events)
{
    std::vector<std::array<std::string, headings.size()>> rows;
    rows.reserve(events.size() + 1);
    std::ranges::copy(headings, rows.emplace_back().begin());
    for (const auto& event : events)
        rows.push_back(tableCells(event));
    std::array<std::size_t, headings.size()> widths {};
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string formatTrace(const std::vector<Event>& events)
{
    auto trace = nlohmann::json::array();
    std::map<std::string, int> processes;
    std::map<std::string, int> openRuns; // Key: the job. Value: the number of the process that began its run.
    std::int64_t microseconds = 0;
    for (const auto& event : events) {
        microseconds = std::max(microseconds + 1, event.unixMs * 1000);
        auto [process, isNew] = processes.try_emplace(event.process, static_cast<int>(processes.size()) + 1);
        if (isNew) {
            trace.push_back({ { "ph", "M" }, { "name", "process_name" }, { "pid", process->second }, { "tid", 1 },
                { "args", { { "name", event.process } } } });
        }
        nlohmann::json arguments { { "clock", event.clock }, { "job", event.job.value }, { "request", event.request },
            { "workspace", event.workspace.value }, { "dataCentre", event.dataCentre.value },
            { "worker", event.worker.value }, { "member", event.member.value }, { "detail", event.detail } };
        trace.push_back({ { "ph", "i" }, { "s", "p" }, { "name", nameOf(event.type) }, { "pid", process->second },
            { "tid", 1 }, { "ts", microseconds }, { "args", std::move(arguments) } });
        auto phase = tracePhase(event.type);
        if (phase == 0 || event.job.empty())
            continue;
        auto openRun = openRuns.find(event.job.value);
        // Viewers reject an end without a begin and two begins with the same id.
        if ((phase == 'b') != (openRun == openRuns.end()))
            continue;
        if (phase == 'b')
            openRun = openRuns.emplace(event.job.value, process->second).first;
        trace.push_back({ { "ph", std::string(1, phase) }, { "cat", "job" }, { "id", event.job.value },
            { "name", event.job.value }, { "pid", openRun->second }, { "tid", 1 }, { "ts", microseconds } });
        if (phase == 'e')
            openRuns.erase(openRun);
    }
    return json::dump({ { "displayTimeUnit", "ms" }, { "traceEvents", std::move(trace) } });
}

std::string formatHtml(const std::vector<Event>& events)
{
    std::string page = htmlHead;
    for (const auto* heading : headings)
        page += std::string("<th>") + heading + "</th>";
    page += "</tr></thead><tbody>\n";
    for (const auto& event : events) {
        page += "<tr>";
        for (const auto& cell : tableCells(event))
            page += "<td>" + escapeHtml(cell) + "</td>";
        page += "</tr>\n";
    }
    return page + htmlTail;
}

} // namespace agatevane::timeline
