#pragma once

#include "agatevane/event_log/log_reader.h"
#include <map>
#include <string>
#include <vector>

//! Finds in the nodes' logs what decided about one job.
namespace agatevane::ctl {

//! What a line is about.
enum class Relation {
    Job, //!< a decision on the job
    Worker, //!< a belief about a worker that the job was on
    Process //!< a node that answered for the job, or the owner of the fleet
};

struct ExplainedLine {
    event_log::LogLine line;
    Relation relation = Relation::Job;
};

struct Explanation {
    std::vector<ExplainedLine> lines; //!< by time
    std::map<std::string, int> counts; //!< of the job's own events, "run_ended:failed" for ends by kind
    std::string lastAnswer; //!< call, status and reason of the last logged answer; successful reads are not logged
};

//! The lines on the job, and those on its workers and on the nodes that answered for it or owned the fleet from shortly
//! before its first line until shortly after its last one.
Explanation explain(const std::vector<event_log::LogLine>& lines, const std::string& job);

} // namespace agatevane::ctl
