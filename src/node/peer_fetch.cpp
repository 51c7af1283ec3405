#include "node/peer_fetch.h"

#include "agatevane/base/error.h"

namespace agatevane::node {

namespace {

    //! A part takes 52 ms on an idle link of 10 Mbit/s.
    constexpr Millis partTimeout { 600 };
    //! Pause after a source that had nothing to give.
    constexpr Millis missPause { 30 };
    //! Random nodes are asked before the one that is known to have the state, so that it does not serve all others.
    constexpr int randomSources = 2;
    //! After this many sources in a row without the next part, the transfer ends.
    constexpr int maxMisses = 6;

} // namespace

PeerFetch::PeerFetch(asio::io_context& context, StatePeers peers, Callbacks callbacks)
    : peers_(std::move(peers))
    , callbacks_(std::move(callbacks))
    , timer_(context)
{
}

void PeerFetch::noteHolder(const net::PeerAddress& address, kv::Revision revision)
{
    if (revision < holderRevision_ || address.port == 0)
        return;
    holder_ = address;
    holderRevision_ = revision;
}

void PeerFetch::start(kv::Revision inForce)
{
    if (isRunning_)
        return;
    isRunning_ = true;
    inForce_ = inForce;
    assembly_ = {};
    reception_ = { StateSource::Part, now(), {}, {} };
    misses_ = 0;
    changeSource();
}

void PeerFetch::cancelIfOutdated(kv::Revision inForce)
{
    inForce_ = inForce;
    if (!isRunning_ || assembly_.revision() > inForce)
        return;
    isRunning_ = false;
    ++generation_;
    timer_.cancel();
}

std::optional<net::PeerAddress> PeerFetch::chooseSource()
{
    bool isHolderDue = holder_.port != 0 && misses_ % (randomSources + 1) == randomSources;
    auto others = peers_.addresses();
    if (isHolderDue || others.empty())
        return holder_.port != 0 ? std::optional(holder_) : std::nullopt;
    auto last = static_cast<std::int64_t>(others.size()) - 1;
    return others[static_cast<std::size_t>(uniform(random_, 0, last))];
}

void PeerFetch::changeSource()
{
    source_ = misses_ < maxMisses ? chooseSource() : std::nullopt;
    isRunning_ = source_.has_value();
    if (isRunning_)
        requestNext();
}

void PeerFetch::requestNext()
{
    auto request = assembly_.nextRequest(inForce_);
    reception_.peer = net::toString(*source_);
    peers_.requestPart(*source_, request, now() + partTimeout,
        liveness_.guard([this, request, generation = generation_](
                            std::error_code error, const StatePart& part, std::size_t receivedBytes) {
            if (generation != generation_)
                return;
            reception_.progress.receivedBytes += receivedBytes;
            handlePart(request, error, part);
        }));
}

void PeerFetch::handlePart(const StatePartRequest& request, std::error_code error, const StatePart& part)
{
    if (error)
        callbacks_.failed(reception_, error.message());
    if (error || !assembly_.add(request, part)) {
        ++misses_;
        return timer_.arm(missPause, [this] { changeSource(); });
    }
    misses_ = 0;
    reception_.progress.expectedBytes = part.totalBytes;
    if (!assembly_.isComplete())
        return requestNext();
    isRunning_ = false;
    ++generation_;
    callbacks_.received(assembly_.revision(), assembly_.bytes());
}

} // namespace agatevane::node
