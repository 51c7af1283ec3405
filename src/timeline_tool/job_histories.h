#pragma once

#include "agatevane/event_log/log_reader.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! Gathers what the logs of nodes tell of jobs, runs, owners and clocks.
namespace agatevane::timeline_tool {

//! An instant on the clock of the process that logged it.
struct LogInstant {
    std::int64_t unixMs = 0;
    std::string process;
};

struct JobHistory {
    std::optional<LogInstant> accepted; //!< earliest acceptance
    std::optional<LogInstant> cancelled; //!< earliest answer "ok" or "no such job" to a cancellation
    std::optional<LogInstant> ended; //!< earliest end that an owner logged
    std::string queue; //!< of the acceptance
    std::string tenant; //!< of the acceptance
};

struct RunHistory {
    std::string job;
    LogInstant lastSeen; //!< last line that tells of the run
    std::string lastEvent; //!< event of that line
    bool isGone = false; //!< an owner logged its end, and no worker has reported it since
    std::string worker;
    std::optional<LogInstant> stopOrdered; //!< first stop order
    std::string stopReason; //!< of the first stop order
};

//! One tenure of an owner.
struct Tenure {
    LogInstant elected;
    std::optional<LogInstant> loaded;
    std::uint32_t number = 0;
    std::int64_t revision = 0; //!< of the owner's record in the store
};

struct Histories {
    std::map<std::string, JobHistory> jobs;
    std::map<std::string, RunHistory> runs; //!< by nameOfRun
    std::vector<Tenure> tenures; //!< by time
    std::map<std::string, std::int64_t> workersRemovedAt; //!< worker to the Unix time at which an owner gave it up, ms
    std::map<std::string, std::int64_t> clockSteps; //!< process to the largest step back of its clock, ms
    std::set<std::string> lossyProcesses; //!< processes that dropped lines
    std::int64_t lastLineAt = 0; //!< Unix time, ms
};

//! The job that a line is about; empty if it is about none.
std::string jobOf(const event_log::LogLine& line);

//! Task and number of the run that a line is about; empty if it is about none.
std::string nameOfRun(const event_log::LogLine& line);

//! The status of an answer to a caller; empty for other lines.
std::string answerStatus(const event_log::LogLine& line);

LogInstant instantOf(const event_log::LogLine& line);

//! Reads the clocks' steps from lines in the order in which they were read, then sorts the lines by time and gathers
//! the rest.
Histories gatherHistories(std::vector<event_log::LogLine>& lines);

} // namespace agatevane::timeline_tool
