#pragma once

#include "agatevane/membership/members.h"
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <system_error>

namespace agatevane::membership {

//! Called on a thread of the io_context, one at a time; empty functions are allowed.
struct Hooks {
    std::function<void(const Change&)> onChange;
    std::function<std::uint64_t()> lamportTick;
    std::function<void(std::uint64_t)> lamportObserve;
    //! Catalogue revision and age of the freshness proof in milliseconds, carried on each heartbeat.
    std::function<std::pair<std::uint64_t, std::uint32_t>()> catalogue;
    //! A living member has a newer catalogue revision than `catalogue` returned.
    std::function<void(const MemberId&, const net::PeerAddress&, std::uint64_t revision)> onNewerCatalogue;
};

//! Runs the state machine on a UDP socket. Thread-safe.
class Service {
public:
    Service(asio::io_context& context, const Settings& settings, Hooks hooks);
    ~Service();

    //! Binds the socket and starts ticking. Port 0 chooses a free port, which is then announced.
    std::error_code start(const net::PeerAddress& listen);
    int port() const;

    void setListed(const std::vector<ListedMember>& listed);
    //! Sends the announcement at once and with each tick until `stop`.
    void leave();
    void stop();

    std::vector<Member> members() const;
    std::vector<MemberId> aliveMembers() const;
    MemberRecord self() const;

    struct Impl;

private:
    std::shared_ptr<Impl> impl_;
};

} // namespace agatevane::membership
