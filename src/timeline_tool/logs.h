#pragma once

#include "agatevane/event_log/log_reader.h"
#include "agatevane/timeline/merge.h"
#include <vector>

//! Converts the logs of agatevane-node to events of the time line.
namespace agatevane::timeline_tool {

//! Returns one page for each process. Nodes have no Lamport clock, so their events are ordered by the wall clock. Lines
//! that match no event type of the time line are left out.
std::vector<timeline::Page> pagesFromLogs(const std::vector<event_log::LogLine>& lines);

} // namespace agatevane::timeline_tool
