#include "agatevane/event_log/event_log.h"

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace agatevane::event_log {

namespace {

    struct Output {
        bool isOpen = false;
        std::string processName;
        std::int64_t second = 0; //!< Unix time, in seconds, in which `linesInSecond` are counted
        int linesInSecond = 0;
        std::uint64_t dropped = 0;
        std::uint64_t droppedReported = 0; //!< value of `dropped` in the last `log_lines_dropped` line
    };

    Output& output()
    {
        static Output instance;
        return instance;
    }

    std::int64_t unixMillis()
    {
        using std::chrono::duration_cast, std::chrono::milliseconds, std::chrono::system_clock;
        return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    }

    //! Does not wait for a slow reader: a line that standard output does not accept as a whole counts as dropped.
    void write(const std::string& text)
    {
        auto written = ::write(STDOUT_FILENO, text.data(), text.size());
        if (written != static_cast<ssize_t>(text.size()))
            ++output().dropped;
    }

    bool needsEscape(unsigned char character)
    {
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char lastPrintable = 0x7e;
        return character < firstPrintable || character > lastPrintable || character == '"' || character == '\\';
    }

    //! Values from outside the process may not be valid UTF-8; their invalid bytes are replaced.
    std::string toJson(std::string_view value)
    {
        if (std::none_of(value.begin(), value.end(), needsEscape))
            return '"' + std::string(value) + '"';
        return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::string linePrefix(std::int64_t timeMs, std::string_view event)
    {
        return R"({"time_ms":)" + std::to_string(timeMs) + R"(,"event":)" + toJson(event) + R"(,"process":)"
            + toJson(output().processName);
    }

} // namespace

void open(const std::string& processName)
{
    output().processName = processName;
    output().isOpen = true;
    auto flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

std::uint64_t droppedLines()
{
    return output().dropped;
}

Line::Line(std::string_view event)
{
    if (!output().isOpen)
        return;
    text_ = linePrefix(unixMillis(), event);
}

Line& Line::with(std::string_view key, std::string_view value)
{
    return output().isOpen ? withJson(key, toJson(value)) : *this;
}

Line& Line::withJson(std::string_view key, std::string_view value)
{
    if (!output().isOpen)
        return *this;
    text_ += ",\"";
    text_ += key;
    text_ += "\":";
    text_ += value;
    return *this;
}

Line::~Line()
{
    auto& out = output();
    if (!out.isOpen)
        return;
    auto second = unixMillis() / 1000;
    if (second != out.second) {
        out.second = second;
        out.linesInSecond = 0;
        if (out.dropped != out.droppedReported) {
            write(
                linePrefix(second * 1000, "log_lines_dropped") + R"(,"total":)" + std::to_string(out.dropped) + "}\n");
            out.droppedReported = out.dropped;
        }
    }
    if (++out.linesInSecond > maxLinesPerSecond) {
        ++out.dropped;
        return;
    }
    text_ += "}\n";
    write(text_);
}

} // namespace agatevane::event_log
