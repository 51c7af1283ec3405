#pragma once

#include "agatevane/event_http/server.h"
#include <map>
#include <utility>

namespace agatevane::node {

//! Counts and logs the connections that were closed because of a limit: at most one line a second for each address and
//! reason, which says how many there were since the line before.
class ClosedConnections {
public:
    void note(event_http::Audience audience, event_http::CloseReason reason, std::size_t refusedRequests);

private:
    struct Unlogged {
        Instant logAgainAt;
        std::size_t connections = 0;
        std::size_t refusedRequests = 0;
    };

    std::map<std::pair<event_http::Audience, event_http::CloseReason>, Unlogged> unlogged_;
};

} // namespace agatevane::node
