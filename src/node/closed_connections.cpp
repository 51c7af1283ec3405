#include "node/closed_connections.h"

#include "agatevane/event_log/event_log.h"
#include "agatevane/metrics/registry.h"

namespace agatevane::node {

namespace {

    constexpr Millis logInterval { 1000 };

    metrics::Counter& counterOf(
        const char* name, const char* help, event_http::Audience audience, event_http::CloseReason reason)
    {
        return metrics::registry().counter(
            name, help, { { "address", std::string(nameOf(audience)) }, { "reason", std::string(nameOf(reason)) } });
    }

} // namespace

void ClosedConnections::note(event_http::Audience audience, event_http::CloseReason reason, std::size_t refusedRequests)
{
    counterOf("agatevane_client_connections_closed_total", "Connections closed because of a limit", audience, reason)
        .add();
    counterOf("agatevane_client_requests_refused_total", "Requests refused because of a limit", audience, reason)
        .add(refusedRequests);
    auto& unlogged = unlogged_[{ audience, reason }];
    ++unlogged.connections;
    unlogged.refusedRequests += refusedRequests;
    auto at = now();
    if (at < unlogged.logAgainAt)
        return;
    event_log::Line("client_connections_closed")
        .with("address", nameOf(audience))
        .with("reason", nameOf(reason))
        .with("connections", unlogged.connections)
        .with("requests_refused", unlogged.refusedRequests);
    unlogged = { at + logInterval, 0, 0 };
}

} // namespace agatevane::node
