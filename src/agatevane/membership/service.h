#pragma once

#include "agatevane/membership/members.h"
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <system_error>

namespace agatevane::membership {

//! Functions that the service calls. Each may be empty. They are called on a thread of the io_context, one at a time.
struct Hooks {
    std::function<void(const Change&)> onChange;
    std::function<std::uint64_t()> lamportTick; //!< advances the Lamport clock and returns its new value
    std::function<void(std::uint64_t)> lamportObserve; //!< receives the Lamport clock of each valid heartbeat
    //! Returns the catalogue revision and the age of the freshness proof in milliseconds, which each heartbeat carries.
    std::function<std::pair<std::uint64_t, std::uint32_t>()> catalogueStatus;
    //! Called when a member's heartbeat has a newer catalogue revision than `catalogueStatus` returned.
    std::function<void(const MemberId&, const net::PeerAddress&, std::uint64_t revision)> onNewerCatalogue;
};

//! Runs the membership protocol on a UDP socket. Thread-safe.
class Service {
public:
    Service(asio::io_context& context, const Settings& settings, Hooks hooks);
    ~Service();

    //! Binds the socket and starts sending heartbeats. Port 0 chooses a free port, which heartbeats then announce.
    std::error_code start(const net::PeerAddress& listen);
    int port() const;

    void setListedMembers(const std::vector<ListedMember>& listed);
    //! Announces at once, and with each tick until `stop`, that this member leaves.
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
