#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

//! Structured log lines on standard output: one for each decision that touches a request or changes a belief.
//! A line is one JSON object that begins with `time_ms` (Unix time), `event` and `process`. Writing never blocks; lines
//! beyond a bound are counted and dropped.
namespace agatevane::event_log {

//! Most lines a second that are written; a flood of requests must not turn into a flood of lines. The owner of a fleet
//! that starts 250 tasks a second writes about 800.
constexpr int maxLinesPerSecond = 1000;

//! One line; it is written when the object is destroyed. Keys are names of the program: they need no escapes.
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
            return withRaw(key, value ? std::string_view("true") : std::string_view("false"));
        else
            return withRaw(key, std::to_string(value));
    }

private:
    //! `value` is JSON.
    Line& withRaw(std::string_view key, std::string_view value);

    std::string text_;
};

//! Sets the process's name, which stands on each line, and makes standard output non-blocking. Before, lines are
//! dropped, so that tests of the decisions print nothing.
void open(const std::string& processName);

//! Lines that were dropped because of the bound or because the reader of standard output did not keep up.
std::uint64_t droppedLines();

} // namespace agatevane::event_log
