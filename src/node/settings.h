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
    net::PeerAddress callerAddress; //!< listens for jobs
    net::PeerAddress readinessAddress; //!< listens for the balancer's checks
    net::PeerAddress peerListenAddress; //!< listens for the other nodes
    net::PeerAddress peerAddress; //!< where other nodes reach this one; not the same behind a forwarder
    net::PeerAddress metricsAddress; //!< listens for metrics
    std::vector<net::PeerAddress> seedNodes; //!< some nodes; may be stale
    net::PeerAddress storeAddress;
    net::PeerAddress machinesAddress; //!< lists and moves machines; port 0: there is no such service
    net::PeerAddress adviceAddress; //!< port 0: there is no advice service
    double cpuShare = 1; //!< of a core
    Millis minLeaseTtl { 1000 }; //!< shortest lease that the store grants
    Millis shutdownGrace { 6000 }; //!< from SIGTERM to the end
    fleet::Limits fleetLimits;
};

} // namespace agatevane::node
