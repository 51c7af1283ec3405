#pragma once

#include "agatevane/event_log/log_reader.h"
#include "agatevane/timeline/merge.h"
#include <vector>

//! The logs of agatevane-node as a time line.
namespace agatevane::timeline_tool {

//! One page for each process. Nodes carry no Lamport clock, so that their wall clocks order the events. Lines that are
//! no event of the time line are left out.
std::vector<timeline::Page> pagesOf(const std::vector<event_log::LogLine>& lines);

} // namespace agatevane::timeline_tool
