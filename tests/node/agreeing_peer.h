#pragma once

#include "agatevane/net/rpc.h"
#include "node/peer_messages.h"
#include "node/settings.h"
#include "node/timer.h"
#include "tests/support/free_port.h"
#include <asio/io_context.hpp>
#include <atomic>
#include <memory>
#include <thread>

namespace agatevane::test {

//! A node that knows no later owner than the one that asks it. It runs on its own thread, so that it goes on while the
//! test's thread is held up.
class AgreeingPeer {
public:
    AgreeingPeer()
        : server_(context_, [this](std::uint16_t, std::string_view, const net::Reply& reply) { handle(reply); })
        , address_ { "127.0.0.1", freePort() }
    {
        server_.listen(address_);
        thread_ = std::thread([this] { context_.run(); });
    }

    ~AgreeingPeer()
    {
        context_.stop();
        thread_.join();
    }

    AgreeingPeer(const AgreeingPeer&) = delete;
    AgreeingPeer& operator=(const AgreeingPeer&) = delete;

    const net::PeerAddress& address() const { return address_; }
    int pulls() const { return pulls_; }
    //! Calls that arrive from now on get no answer.
    void answerNoMore() { isSilent_ = true; }
    void delayAnswers(Millis delay) { answerDelay_ = delay; }

private:
    void handle(const net::Reply& reply)
    {
        if (isSilent_)
            return;
        ++pulls_;
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(answerDelay_, [timer, reply] { reply(net::encode(node::PullReply {})); });
    }

    asio::io_context context_;
    net::RpcServer server_;
    net::PeerAddress address_;
    std::atomic<int> pulls_ { 0 };
    std::atomic<bool> isSilent_ { false };
    std::atomic<Millis> answerDelay_ { Millis(50) };
    std::thread thread_;
};

} // namespace agatevane::test
