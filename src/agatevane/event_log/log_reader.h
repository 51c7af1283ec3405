#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

//! Reads what event_log has written.
namespace agatevane::event_log {

struct LogLine {
    std::int64_t timeMs = 0; //!< Unix time by the clock of the process
    std::string process;
    std::string event;
    nlohmann::json fields; //!< the others
};

//! A field that is text; empty if it is missing or no text.
std::string textOf(const LogLine& line, const char* field);

//! Appends the structured lines of a log and returns how many lines were none.
std::size_t readLog(std::istream& log, std::vector<LogLine>& lines);

} // namespace agatevane::event_log
