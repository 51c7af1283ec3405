#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/net/peer_address.h"
#include <asio/io_context.hpp>
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace agatevane::test {

enum class Reading { Prompt, Slow, Never };

//! What a client sends on each of its connections, and how.
struct Behaviour {
    std::string opening; //!< sent first
    std::string repeated; //!< then sent `repetitions` times
    std::size_t repetitions = 0;
    std::size_t pieceBytes = 65536; //!< bytes of one write
    Millis pause { 0 }; //!< between two writes
    Reading reading = Reading::Prompt;
};

//! Clients that send the same over and over, each on one connection at a time, on a thread of their own. A client keeps
//! its connection open after it has sent everything, and connects anew some time after the server has closed it.
class Crowd {
public:
    Crowd(const net::PeerAddress& server, std::size_t clients, std::vector<Behaviour> behaviours);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    //! True once each client has sent everything, or the first piece if it pauses between pieces, or has lost its
    //! connection at least once.
    bool hasActed() const { return actedClients_ >= clients_; }

private:
    class Client;

    asio::io_context context_;
    std::vector<Behaviour> behaviours_;
    std::size_t clients_;
    std::atomic<std::size_t> actedClients_ { 0 };
    std::thread thread_;
};

} // namespace agatevane::test
