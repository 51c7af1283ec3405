#pragma once

#include "agatevane/timeline/ring.h"

namespace agatevane::timeline {

//! Which events to keep; an empty field keeps all.
struct Filter {
    JobId job;
    std::string request;
    WorkspaceId workspace;
    DataCentreId dataCentre;
};

bool matches(const Filter& filter, const Event& event);

//! All events by clock, then process name, then sequence. An event that caused another through a message, or that came
//! before it in the same process, comes first. Events that appear in several pages of one process are kept once.
std::vector<Event> merge(const std::vector<Page>& pages, const Filter& filter = {});

//! A table for terminals.
std::string formatTable(const std::vector<Event>& events);

//! Chrome trace event format, for chrome://tracing and Perfetto: one row for each process, and one span for each run of
//! a job. Times are the wall clocks, moved forward where they contradict the order.
std::string formatTrace(const std::vector<Event>& events);

//! One HTML file without outside references, with a text filter.
std::string formatHtml(const std::vector<Event>& events);

} // namespace agatevane::timeline
