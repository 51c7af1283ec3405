#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

//! Reads the lines that event_log writes.
namespace agatevane::event_log {

struct LogLine {
    std::int64_t timeMs = 0; //!< Unix time on the clock of the process's machine
    std::string process;
    std::string event;
    nlohmann::json fields; //!< object of all other fields
};

//! The value of a string field; empty if the field is missing or not a string.
std::string textOf(const LogLine& line, const char* field);

//! Appends the structured lines of `log` to `lines`. What a collector of logs has put before a line, such as the name
//! of the machine, is ignored. Returns the number of lines that it skipped because they are not structured lines.
std::size_t readLog(std::istream& log, std::vector<LogLine>& lines);

} // namespace agatevane::event_log
