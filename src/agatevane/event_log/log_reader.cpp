#include "agatevane/event_log/log_reader.h"

namespace agatevane::event_log {

namespace {

    constexpr std::string_view lineStart = "{\"time_ms\"";

    bool isStructuredLine(const nlohmann::json& value)
    {
        if (!value.is_object())
            return false;
        auto time = value.find("time_ms");
        auto event = value.find("event");
        auto process = value.find("process");
        return time != value.end() && time->is_number_integer() && event != value.end() && event->is_string()
            && process != value.end() && process->is_string();
    }

} // namespace

std::string textOf(const LogLine& line, const char* field)
{
    auto found = line.fields.find(field);
    return found != line.fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::size_t readLog(std::istream& log, std::vector<LogLine>& lines)
{
    std::size_t skipped = 0;
    for (std::string text; std::getline(log, text);) {
        auto begin = text.find(lineStart);
        if (begin == std::string::npos) {
            ++skipped;
            continue;
        }
        auto value
            = nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
        if (!isStructuredLine(value)) {
            ++skipped;
            continue;
        }
        LogLine line { value["time_ms"].get<std::int64_t>(), value["process"].get<std::string>(),
            value["event"].get<std::string>(), {} };
        for (const char* name : { "time_ms", "process", "event" })
            value.erase(name);
        line.fields = std::move(value);
        lines.push_back(std::move(line));
    }
    return skipped;
}

} // namespace agatevane::event_log
