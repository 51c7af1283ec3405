#include "node/prefix_reading.h"

#include "agatevane/base/error.h"
#include "agatevane/event_log/event_log.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis retryDelay { 100 };
    //! Time in which the store has to begin to answer the first call. Each call without an answer adds as much to the
    //! time of the next one, since the store may be slow.
    constexpr Millis answerTimeout { 1000 };
    constexpr int maxTimeoutFactor = 3;

} // namespace

PrefixReading::PrefixReading(asio::io_context& context, kv::Store& store, std::string prefix)
    : store_(store)
    , prefix_(std::move(prefix))
    , retryTimer_(context)
{
}

void PrefixReading::start(Done done)
{
    done_ = std::move(done);
    timeouts_ = 0;
    send();
}

void PrefixReading::stop()
{
    done_ = nullptr;
    retryTimer_.cancel();
    liveness_ = {};
}

void PrefixReading::send()
{
    auto beginBy = now() + answerTimeout * std::min(timeouts_ + 1, maxTimeoutFactor);
    store_.list(
        prefix_, { beginBy, {} }, liveness_.guard([this](kv::ReadResult result) { handleResult(std::move(result)); }));
}

void PrefixReading::handleResult(kv::ReadResult result)
{
    if (result.error) {
        Line("store_not_read").with("prefix", prefix_).with("error", result.error.message());
        if (result.error == Errc::Timeout)
            ++timeouts_;
        return retryTimer_.arm(retryDelay, [this] { send(); });
    }
    auto done = std::exchange(done_, nullptr);
    done(std::move(result));
}

} // namespace agatevane::node
