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
    std::vector<std::string> dataCentres; //!< that it may own; empty: all in the catalogue
    http::Endpoint vmList; //!< port 0: none
    int workerThreads = 32;
    int storeThreads = 4;
    Millis workerTimeout { 900 }; //!< below the poll interval
    //! A store that is slower than this cannot be used at all: every answer comes too late. Longer waits delay a
    //! takeover while the store is silent, since a standby asks it before it uses its allocated epoch.
    Millis storeTimeout { 2000 };
    Millis memberInterval { 10000 };
    Millis tick { 25 };
    Millis handoverTimeout { 3000 };
};

//! The exit code if the program must end: 0 after help, 2 after findings.
std::optional<int> readSettings(
    int argc, const char* const* argv, SchedulerSettings& result, std::ostream& out, std::ostream& err);

} // namespace agatevane::scheduler
