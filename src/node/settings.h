#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/instant.h"
#include "agatevane/fleet/state.h"
#include "agatevane/net/rpc.h"
#include <cstdint>
#include <string>
#include <vector>

namespace agatevane::node {

//! What one process is told about its machine, its neighbours and the platform.
struct Settings {
    std::string name; //!< of the machine
    std::string zone;
    std::string region;
    net::PeerAddress callers; //!< listens for jobs
    net::PeerAddress readiness; //!< listens for the balancer's checks
    net::PeerAddress peersListen; //!< listens for the other nodes
    net::PeerAddress peers; //!< where other nodes reach this one; not the same behind a forwarder
    net::PeerAddress metrics; //!< listens for metrics
    std::vector<net::PeerAddress> seeds; //!< some nodes; may be stale
    net::PeerAddress store;
    net::PeerAddress machines; //!< lists and moves machines; port 0: there is no such service
    net::PeerAddress advice; //!< port 0: there is no advice service
    double processorShare = 1; //!< of a core
    Millis leastLease { 1000 }; //!< shortest lease that the store grants
    Millis stopGrace { 6000 }; //!< from SIGTERM to the end
    fleet::Limits fleet;
};

} // namespace agatevane::node
