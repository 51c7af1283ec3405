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
        std::int64_t second = 0; //!< Unix time of the current window of the bound
        int linesInSecond = 0;
        std::uint64_t dropped = 0;
        std::uint64_t droppedReported = 0;
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

    //! A line that the reader of standard output does not take whole is lost rather than waited for.
    void write(const std::string& text)
    {
        auto written = ::write(STDOUT_FILENO, text.data(), text.size());
        if (written != static_cast<ssize_t>(text.size()))
            ++output().dropped;
    }

    bool needsEscape(unsigned char letter)
    {
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char lastAscii = 0x7e;
        return letter < firstPrintable || letter > lastAscii || letter == '"' || letter == '\\';
    }

    //! Bytes that are not UTF-8 come from outside and are replaced.
    std::string toJson(std::string_view value)
    {
        if (std::none_of(value.begin(), value.end(), needsEscape))
            return '"' + std::string(value) + '"';
        return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::string beginningOf(std::int64_t timeMs, std::string_view event)
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
    text_ = beginningOf(unixMillis(), event);
}

Line& Line::with(std::string_view key, std::string_view value)
{
    return output().isOpen ? withRaw(key, toJson(value)) : *this;
}

Line& Line::withRaw(std::string_view key, std::string_view value)
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
                beginningOf(second * 1000, "log_lines_dropped") + R"(,"total":)" + std::to_string(out.dropped) + "}\n");
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
