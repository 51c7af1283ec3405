#pragma once

#include "agatevane/base/instant.h"
#include "node/timer.h"
#include <asio/io_context.hpp>

namespace agatevane::node {

//! Bounds the age of what the process reads. A request may have waited in the kernel while the process was paused or
//! busy, which shows only in the event loop having stood still.
class LoopWatch {
public:
    explicit LoopWatch(asio::io_context& context)
        : timer_(context)
        , lastTick_(bootNow())
        , earlierTick_(lastTick_)
    {
    }

    void start() { arm(); }

    //! What a handler reads now arrived after this time, on the clock of bootNow(). The event loop handles all that had
    //! arrived before one tick by the end of the next.
    Instant arrivedAfter() const { return earlierTick_; }

private:
    static constexpr Millis tickInterval { 200 };

    void arm()
    {
        timer_.arm(tickInterval, [this] {
            earlierTick_ = lastTick_;
            lastTick_ = bootNow();
            arm();
        });
    }

    Timer timer_;
    Instant lastTick_;
    Instant earlierTick_;
};

} // namespace agatevane::node
