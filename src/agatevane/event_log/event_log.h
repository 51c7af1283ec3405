#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

//! Structured log lines on standard output: one for each decision that affects a request or changes what the process
//! assumes about the rest of the system. A line is one JSON object that begins with `time_ms` (Unix time), `event` and
//! `process`. Writing never blocks; lines beyond a limit are dropped and counted.
namespace agatevane::event_log {

//! Lines beyond this number per second are dropped, so that a flood of requests does not cause a flood of lines. The
//! owner of a fleet that starts 250 tasks a second writes about 800 lines a second.
constexpr int maxLinesPerSecond = 1000;

//! One line, written when the object is destroyed. Keys are constants of the program and are written without escaping.
class Line {
public:
    explicit Line(std::string_view event);
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    Line& with(std::string_view key, std::string_view value);

    template <typename Number>
    requires std::is_arithmetic_v<Number> Line& with(std::string_view key, Number value)
    {
        if constexpr (std::is_same_v<Number, bool>)
            return withJson(key, value ? std::string_view("true") : std::string_view("false"));
        else
            return withJson(key, std::to_string(value));
    }

private:
    //! Appends a field; `value` is already JSON.
    Line& withJson(std::string_view key, std::string_view value);

    std::string text_;
};

//! Sets the process name that each line contains, makes standard output non-blocking and enables the log. Lines before
//! this call are discarded, so that unit tests print nothing.
void open(const std::string& processName);

//! Number of lines that were dropped because of the limit or because the reader of standard output did not keep up.
std::uint64_t droppedLines();

} // namespace agatevane::event_log
