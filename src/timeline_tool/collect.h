#pragma once

#include "agatevane/http/client.h"
#include "agatevane/timeline/merge.h"
#include <vector>

namespace agatevane::timeline_tool {

struct Collected {
    std::vector<timeline::Page> pages;
    Findings failures; //!< processes and log files that could not be read; the place is the address or the path
};

//! Reads all events in the ring buffer of one process, page by page. If a page cannot be read, the findings state the
//! reason, and the pages read before it stay in `pages`.
Findings readEvents(const http::Endpoint& process, Instant deadline, std::vector<timeline::Page>& pages);

//! Reads the events of all processes at the same time. `timeout` limits the whole call.
Collected collect(const std::vector<http::Endpoint>& processes, Millis timeout);

} // namespace agatevane::timeline_tool
