#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/net/peer_address.h"
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

//! Requests and replies between agatevane's own processes over TCP, and single datagrams over UDP.
//! A TCP frame is: u32 length of the rest, u64 request id, u16 kind, payload. The length is at most `maxFrameBytes`; a
//! longer reply is sent as an empty one, so that it doesn't end the connection.
namespace agatevane::net {

constexpr std::size_t maxFrameBytes = 1 << 20;
constexpr std::size_t maxDatagramBytes = 1200;

//! Sends the reply to one request. It may be called after the handler has returned, from any thread, at most once.
using Reply = std::function<void(std::string payload)>;
using RequestHandler = std::function<void(std::uint16_t kind, std::string_view payload, Reply reply)>;

//! Listens for requests. Handlers run on the threads of the io_context. Destroy the server only after the context has
//! stopped.
class RpcServer {
public:
    RpcServer(asio::io_context& context, RequestHandler handler);
    ~RpcServer();

    //! Port 0 chooses a free port.
    std::error_code listen(const PeerAddress& address);
    int port() const;
    void close();

    struct State;

private:
    std::shared_ptr<State> state_;
};

//! `error` is `Unreachable` if nothing was sent. After `Timeout` or `Disconnected` the effect of the call is unknown.
using CallResult = std::function<void(std::error_code error, std::string payload)>;

//! One connection to one peer, opened at the first call and again at the first call after a failure, which resets it.
//! Thread-safe.
class RpcClient {
public:
    RpcClient(asio::io_context& context, const PeerAddress& peer);
    ~RpcClient();

    //! `done` is called exactly once, on a thread of the io_context.
    void call(std::uint16_t kind, std::string payload, Instant deadline, CallResult done);

    //! Bytes received since the client was created, also those of replies that were cut off.
    std::uint64_t receivedBytes() const;

    //! Blocks until the call ends; must not be called on a thread of the io_context.
    std::error_code callAndWait(std::uint16_t kind, std::string payload, Instant deadline, std::string& reply);

    struct State;

private:
    std::shared_ptr<State> state_;
};

using DatagramHandler = std::function<void(std::string_view bytes, const PeerAddress& from)>;

//! Sends and receives datagrams of at most `maxDatagramBytes`. Larger ones are dropped, and no loss is reported.
class DatagramSocket {
public:
    DatagramSocket(asio::io_context& context, DatagramHandler handler);
    ~DatagramSocket();

    std::error_code bind(const PeerAddress& address);
    int port() const;
    void send(std::string bytes, const PeerAddress& to);
    void close();

    struct State;

private:
    std::shared_ptr<State> state_;
};

} // namespace agatevane::net
