#pragma once

#include "agatevane/http/client.h"
#include "agatevane/timeline/merge.h"
#include <vector>

namespace agatevane::timeline_tool {

struct Collected {
    std::vector<timeline::Page> pages;
    Findings unanswered; //!< place: the process's address
};

//! Reads the whole ring of one process, page by page. Findings say why it failed; pages read before are kept.
Findings readRing(const http::Endpoint& process, Instant deadline, std::vector<timeline::Page>& pages);

//! Asks all processes at the same time.
Collected collect(const std::vector<http::Endpoint>& processes, Millis timeout);

} // namespace agatevane::timeline_tool
