#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/base/instant.h"
#include "agatevane/event_http/client_limits.h"
#include "agatevane/fleet/state.h"
#include "agatevane/net/rpc.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace agatevane::node {

//! Settings of one node: its machine, the other nodes and the platform's services.
struct Settings {
    std::string name; //!< name of the machine
    std::string zone;
    std::string region;
    net::PeerAddress callerAddress; //!< the node listens here for callers
    net::PeerAddress readinessAddress; //!< the node listens here for the load balancer's checks
    net::PeerAddress peerListenAddress; //!< the node listens here for other nodes
    //! Other nodes reach this node here. It differs from `peerListenAddress` behind a forwarder.
    net::PeerAddress peerAddress;
    net::PeerAddress metricsAddress; //!< the node listens here for requests of metrics and of operators
    std::vector<net::PeerAddress> seedNodes; //!< some of the other nodes, to contact first; the list may be outdated
    net::PeerAddress storeAddress;
    net::PeerAddress machinesAddress; //!< service that lists machines and takes them down for upkeep; port 0: none
    net::PeerAddress adviceAddress; //!< advice service; port 0: none
    double cpuShare = 1; //!< processor time that the node may use, in cores
    std::size_t maxDescriptors = 4096; //!< open files and sockets that the process may have
    std::size_t memoryBytes = std::size_t(160) * 1024 * 1024; //!< memory that the process may use
    Millis minLeaseTtl { 1000 }; //!< shortest lease that the store grants
    Millis shutdownGrace { 6000 }; //!< time from SIGTERM until the machine kills the process
    Millis stateApplyBound { 2500 }; //!< a desired state has to be in force this long after it was acknowledged
    event_http::ClientLimits clientLimits; //!< what callers, readiness checks and operators may use
    fleet::Limits fleetLimits;
};

inline event_http::MachineLimits machineLimits(const Settings& settings)
{
    return { settings.memoryBytes, settings.maxDescriptors };
}

} // namespace agatevane::node
