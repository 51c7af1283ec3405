#pragma once

#include "rig/record.h"
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace review {

//! A TCP link to one address that can be cut. Bytes that were sent on an open channel during a cut are held and
//! delivered when it heals, also if the sender has closed the channel, but not if it has reset it. Channels that are
//! opened during a cut carry nothing.
class Relay {
public:
    //! `name` is for the record.
    Relay(asio::io_context& context, Record& record, std::string name);

    int port() const;
    void setTarget(int port) { targetPort_ = port; }
    void setCut(bool isCut);

private:
    struct Session;
    struct Pump;

    void accept();
    static void read(const std::shared_ptr<Session>& session, bool isToTarget);
    static void deliver(const std::shared_ptr<Session>& session, bool isToTarget);

    asio::io_context& context_;
    Record& record_;
    std::string name_;
    asio::ip::tcp::acceptor acceptor_;
    int targetPort_ = 0;
    bool isCut_ = false;
    std::vector<std::weak_ptr<Session>> sessions_;
};

} // namespace review
