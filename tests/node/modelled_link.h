#pragma once

#include "agatevane/base/error.h"
#include "agatevane/base/transfer.h"
#include "node/timer.h"
#include <algorithm>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace agatevane::test {

//! What one machine receives: all transfers together pass at a set rate, piece by piece in turn.
class ModelledLink {
public:
    ModelledLink(asio::io_context& context, std::size_t bytesPerSecond)
        : context_(context)
        , bytesPerSecond_(bytesPerSecond)
    {
    }

    //! Carries `bytes` within the limits; `done` has an error if they are exceeded.
    void carry(std::size_t bytes, const TransferLimits& limits, std::function<void(std::error_code)> done)
    {
        if (limits.maxBytes > 0 && bytes > limits.maxBytes) {
            auto timer = std::make_shared<node::Timer>(context_);
            return timer->arm(Millis(0), [timer, done = std::move(done)] { done(Errc::TooLarge); });
        }
        carryRest({ std::max<std::size_t>(bytes, 1), 0, limits, StallGuard(limits.beginBy), std::move(done) });
    }

    //! Bytes that have arrived, also those of transfers that were given up.
    std::size_t carriedBytes() const { return carriedBytes_; }

private:
    static constexpr std::size_t pieceBytes = 16384;

    struct Transfer {
        std::size_t bytes = 0;
        std::size_t carried = 0;
        TransferLimits limits;
        StallGuard stallGuard;
        std::function<void(std::error_code)> done;
    };

    void carryRest(Transfer transfer)
    {
        auto piece = std::min(pieceBytes, transfer.bytes - transfer.carried);
        auto duration = std::chrono::nanoseconds(std::chrono::seconds(piece)) / bytesPerSecond_;
        busyUntil_ = std::max(busyUntil_, now()) + std::chrono::duration_cast<Instant::duration>(duration);
        auto timer = std::make_shared<node::Timer>(context_);
        auto wait = std::chrono::ceil<Millis>(busyUntil_ - now());
        if (now() + wait > transfer.stallGuard.endsAt()) {
            auto left = std::max(Millis(0), elapsed(now(), transfer.stallGuard.endsAt()));
            return timer->arm(left, [timer, done = transfer.done] { done(Errc::Timeout); });
        }
        timer->arm(wait, [this, timer, piece, transfer = std::move(transfer)]() mutable {
            carriedBytes_ += piece;
            transfer.carried += piece;
            transfer.stallGuard.note(transfer.carried, now());
            if (transfer.limits.progressed)
                transfer.limits.progressed({ transfer.carried, transfer.bytes });
            if (transfer.carried == transfer.bytes)
                return transfer.done({});
            carryRest(std::move(transfer));
        });
    }

    asio::io_context& context_;
    std::size_t bytesPerSecond_;
    std::size_t carriedBytes_ = 0;
    Instant busyUntil_;
};

} // namespace agatevane::test
