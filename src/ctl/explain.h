#pragma once

#include "agatevane/event_log/log_reader.h"
#include <map>
#include <string>
#include <vector>

//! Finds the lines in the nodes' logs that explain what happened to one job.
namespace agatevane::ctl {

//! What a line is about.
enum class Relation {
    Job, //!< a decision on the job
    Worker, //!< a change in a node's view of a worker that ran the job
    Process //!< a node that answered for the job, or the owner of the fleet
};

struct ExplainedLine {
    event_log::LogLine line;
    Relation relation = Relation::Job;
};

struct Explanation {
    std::vector<ExplainedLine> lines; //!< in order of time
    //! Number of the job's events by name. Events of several kinds are counted by kind, such as "run_ended:failed".
    std::map<std::string, int> counts;
    std::string lastAnswer; //!< call, status and reason of the last logged answer; successful reads are not logged
};

//! Returns the lines about the job. Also returns the lines about its workers and about the nodes that answered for it
//! or owned the fleet, from shortly before the job's first line until shortly after its last line.
Explanation explain(const std::vector<event_log::LogLine>& lines, const std::string& job);

} // namespace agatevane::ctl
