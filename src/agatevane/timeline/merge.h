#pragma once

#include "agatevane/timeline/ring.h"

namespace agatevane::timeline {

//! Selects events whose fields equal all fields set here; an empty field matches any value.
struct Filter {
    JobId job;
    std::string request;
    WorkspaceId workspace;
    DataCentreId dataCentre;
};

bool matches(const Filter& filter, const Event& event);

//! Returns the matching events in order of clock, then process name, then sequence. An event that caused another
//! through a message, or that came before it in the same process, comes first. Events that appear in several pages of
//! one process are kept once.
std::vector<Event> merge(const std::vector<Page>& pages, const Filter& filter = {});

//! Formats the events as a table for terminals.
std::string formatTable(const std::vector<Event>& events);

//! Formats the events in the Chrome trace event format, for chrome://tracing and Perfetto, with one row for each
//! process and one span for each run of a job. Times are the wall clocks, moved forward where they contradict the
//! order.
std::string formatTrace(const std::vector<Event>& events);

//! Formats the events as one HTML file with a text filter. The file refers to no other files.
std::string formatHtml(const std::vector<Event>& events);

} // namespace agatevane::timeline
