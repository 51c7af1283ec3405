#pragma once

#include "agatevane/settings/settings.h"
#include <iosfwd>

namespace agatevane::scheduler {

struct SchedulerSettings {
    std::string name;
    std::string region;
    std::string dataCentre;
    net::PeerAddress listen { "127.0.0.1", 0 }; //!< RPC over TCP and heartbeats over UDP, on the same port number
    net::PeerAddress httpListen { "127.0.0.1", 0 };
    std::vector<http::Endpoint> stores;
    std::vector<settings::NamedAddress> peers; //!< the other schedulers
    std::vector<std::string> dataCentres; //!< data centres that this scheduler may own; empty: all in the catalogue
    http::Endpoint vmList; //!< endpoint of the platform's list of VMs; port 0: no list
    int workerThreads = 32;
    int storeThreads = 4;
    Millis workerTimeout { 900 }; //!< stays below the poll interval
    //! The longest wait for an answer of the store. A store that is slower than this is unusable, since every answer
    //! comes too late. A longer time-out delays a takeover while the store does not answer, since a standby queries the
    //! store before it uses its allocated epoch.
    Millis storeTimeout { 2000 };
    Millis memberInterval { 10000 };
    Millis tick { 25 };
    Millis handoverTimeout { 3000 };
};

//! Reads the settings from the command line. Returns the exit code if the program must end: 0 after the help text, 2
//! after findings.
std::optional<int> readSettings(
    int argc, const char* const* argv, SchedulerSettings& result, std::ostream& out, std::ostream& err);

} // namespace agatevane::scheduler
