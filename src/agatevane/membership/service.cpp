#include "agatevane/membership/service.h"

#include "agatevane/metrics/process.h"
#include <asio/steady_timer.hpp>
#include <mutex>

namespace agatevane::membership {

struct Service::Impl : std::enable_shared_from_this<Service::Impl> {
    Impl(asio::io_context& context, const Settings& settings, Hooks serviceHooks)
        : timer(context)
        , hooks(std::move(serviceHooks))
        , state(makeState(settings))
        , socketContext(context)
    {
    }

    void open()
    {
        // The socket's handler holds a weak reference, since a shared one would form a cycle and neither object would
        // ever be destroyed.
        socket = std::make_unique<net::DatagramSocket>(
            socketContext, [weak = weak_from_this()](std::string_view bytes, const net::PeerAddress&) {
                if (auto self = weak.lock())
                    self->receive(bytes);
            });
    }

    void applyOutput(const Output& output)
    {
        for (const auto& datagram : output.datagrams) {
            auto bytes = encodeHeartbeat(datagram.heartbeat);
            metrics::countControlBytesSent("membership", bytes.size() + datagramOverhead);
            socket->send(std::move(bytes), datagram.to);
        }
        if (!hooks.onChange)
            return;
        for (const auto& change : output.changes)
            hooks.onChange(change);
    }

    //! Takes the values that heartbeats carry from the hooks. Called with the mutex held.
    void updateHeartbeatContent()
    {
        if (hooks.lamportTick)
            state.lamportClock = hooks.lamportTick();
        if (hooks.catalogueStatus)
            std::tie(state.catalogueRevision, state.freshnessProofAgeMs) = hooks.catalogueStatus();
    }

    void runTick()
    {
        Output output;
        {
            std::lock_guard lock(mutex);
            updateHeartbeatContent();
            output = tick(state, now(), random);
        }
        applyOutput(output);
    }

    void receive(std::string_view bytes)
    {
        metrics::countControlBytesReceived("membership", bytes.size() + datagramOverhead);
        Heartbeat heartbeat;
        if (!decodeHeartbeat(bytes, heartbeat)) {
            metrics::registry()
                .counter("agatevane_membership_malformed_datagrams_total", "Datagrams that are not heartbeats.")
                .add();
            return;
        }
        if (hooks.lamportObserve)
            hooks.lamportObserve(heartbeat.lamportClock);
        Output output;
        bool hasNewerCatalogue = false;
        {
            std::lock_guard lock(mutex);
            updateHeartbeatContent();
            output = membership::receive(state, heartbeat, now());
            hasNewerCatalogue = heartbeat.deployment == state.settings.deployment
                && heartbeat.catalogueRevision > state.catalogueRevision;
        }
        applyOutput(output);
        if (hasNewerCatalogue && hooks.onNewerCatalogue)
            hooks.onNewerCatalogue(heartbeat.sender.member, heartbeat.sender.address, heartbeat.catalogueRevision);
    }

    void schedule()
    {
        timer.expires_after(state.settings.interval);
        timer.async_wait([weak = weak_from_this()](std::error_code error) {
            auto self = weak.lock();
            if (error || !self || self->isStopped)
                return;
            self->runTick();
            self->schedule();
        });
    }

    asio::steady_timer timer;
    Hooks hooks;
    mutable std::mutex mutex;
    State state;
    Random random = makeRandom();
    asio::io_context& socketContext;
    std::unique_ptr<net::DatagramSocket> socket;
    std::atomic<bool> isStopped { false };
};

Service::Service(asio::io_context& context, const Settings& settings, Hooks hooks)
    : impl_(std::make_shared<Impl>(context, settings, std::move(hooks)))
{
    impl_->open();
}

Service::~Service()
{
    stop();
}

std::error_code Service::start(const net::PeerAddress& listen)
{
    if (auto error = impl_->socket->bind(listen))
        return error;
    {
        std::lock_guard lock(impl_->mutex);
        auto& address = impl_->state.self.address;
        if (address.address.empty())
            address.address = listen.address;
        if (address.port == 0)
            address.port = impl_->socket->port();
    }
    impl_->runTick();
    impl_->schedule();
    return {};
}

int Service::port() const
{
    return impl_->socket->port();
}

void Service::setListedMembers(const std::vector<ListedMember>& listed)
{
    std::lock_guard lock(impl_->mutex);
    membership::setListedMembers(impl_->state, listed, now());
}

void Service::leave()
{
    {
        std::lock_guard lock(impl_->mutex);
        membership::leave(impl_->state);
    }
    impl_->runTick();
}

void Service::stop()
{
    impl_->isStopped = true;
    impl_->socket->close();
}

std::vector<Member> Service::members() const
{
    std::lock_guard lock(impl_->mutex);
    std::vector<Member> members;
    members.reserve(impl_->state.others.size());
    for (const auto& [key, member] : impl_->state.others)
        members.push_back(member);
    return members;
}

std::vector<MemberId> Service::aliveMembers() const
{
    std::lock_guard lock(impl_->mutex);
    return membership::aliveMembers(impl_->state);
}

MemberRecord Service::self() const
{
    std::lock_guard lock(impl_->mutex);
    return impl_->state.self;
}

} // namespace agatevane::membership
