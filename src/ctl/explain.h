#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

//! Finds in the nodes' logs what decided about one job. No I/O but for reading the streams given.
namespace agatevane::ctl {

//! What a line is about.
enum class Relation {
    Job, //!< a decision on the job
    Worker, //!< a belief about a worker that the job was on
    Process //!< a node that answered for the job, or the owner of the fleet
};

struct LogLine {
    std::int64_t timeMs = 0; //!< Unix time by the clock of the process
    std::string process;
    std::string event;
    nlohmann::json fields; //!< the others
    Relation relation = Relation::Job;
};

//! Appends the structured lines of a log and returns how many lines were none.
std::size_t readLog(std::istream& log, std::vector<LogLine>& lines);

struct Explanation {
    std::vector<LogLine> lines; //!< by time
    std::map<std::string, int> counts; //!< of the job's own events, "run_ended:failed" for ends by kind
    std::string lastAnswer; //!< call, status and reason of the last logged answer; successful reads are not logged
};

//! The lines on the job, and those on its workers and on the nodes that answered for it or owned the fleet from shortly
//! before its first line until shortly after its last one.
Explanation explain(const std::vector<LogLine>& lines, const std::string& job);

} // namespace agatevane::ctl
