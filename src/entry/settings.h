#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/http/client.h"
#include "agatevane/http/server.h"
#include "agatevane/net/rpc.h"
#include "agatevane/settings/settings.h"
#include <iosfwd>
#include <map>
#include <optional>
#include <vector>

namespace agatevane::entry {

using MemberAddresses = std::map<MemberId, net::PeerAddress>;

struct Settings {
    MemberId name;
    RegionId region;
    DataCentreId dataCentre;
    net::PeerAddress listen { "127.0.0.1", 8080 };
    net::PeerAddress rpcListen { "127.0.0.1", 0 }; //!< address for other entry VMs
    std::vector<http::Endpoint> stores;
    std::optional<http::Endpoint> vmList;
    MemberAddresses schedulers;
    MemberAddresses peers; //!< RPC addresses of the other entry VMs
    std::optional<http::TlsFiles> tls;
    int threads = 256; //!< requests in progress or waiting at the same time
    Millis defaultTimeout { 30000 }; //!< timeout of requests whose caller sends no deadline
    Millis reportInterval { 1000 }; //!< time between two reports of a worker
    Millis drainWait { 2000 }; //!< time to keep serving after SIGTERM, in which the load balancer notices /readyz
};

//! Reads flags and AGATEVANE_* environment variables. Returns an exit code if the program must end: 0 after
//! printing the help, 2 after printing all findings.
std::optional<int> readSettings(
    int argc, const char* const* argv, Settings& result, std::ostream& out, std::ostream& err);

} // namespace agatevane::entry
