#include "agatevane/event_log/event_log.h"

#include <cerrno>
#include <chrono>
#include <fcntl.h>
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

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\n") != std::string_view::npos;
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
    text_ = std::to_string(unixMillis()) + " " + std::string(event);
    with("process", output().processName);
}

Line& Line::with(std::string_view key, std::string_view value)
{
    if (!output().isOpen)
        return *this;
    text_ += " ";
    text_ += key;
    text_ += "=";
    if (!needsQuotes(value)) {
        text_ += value;
        return *this;
    }
    text_ += "\"";
    for (char letter : value) {
        if (letter == '"' || letter == '\\')
            text_ += '\\';
        text_ += letter == '\n' ? ' ' : letter;
    }
    text_ += "\"";
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
            write(std::to_string(second * 1000) + " log_lines_dropped total=" + std::to_string(out.dropped) + "\n");
            out.droppedReported = out.dropped;
        }
    }
    if (++out.linesInSecond > maxLinesPerSecond) {
        ++out.dropped;
        return;
    }
    text_ += "\n";
    write(text_);
}

} // namespace agatevane::event_log
