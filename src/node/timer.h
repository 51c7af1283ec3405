#pragma once

#include "agatevane/base/instant.h"
#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace agatevane::node {

//! The clock of now(), as the event loop takes it.
struct TimerClock {
    using duration = Instant::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = Instant;

    static Instant now() { return agatevane::now(); }
};

//! Calls a function once after a delay. Arming the timer again or destroying it cancels the earlier call, even one that
//! is due and already queued in the event loop.
class Timer {
public:
    explicit Timer(asio::io_context& context)
        : timer_(context)
    {
    }

    void arm(Millis delay, std::function<void()> action)
    {
        armed_ = std::make_shared<char>();
        timer_.expires_after(delay);
        timer_.async_wait([armed = std::weak_ptr<char>(armed_), action = std::move(action)](std::error_code error) {
            if (!error && !armed.expired())
                action();
        });
    }

    void cancel()
    {
        armed_.reset();
        timer_.cancel();
    }

private:
    asio::basic_waitable_timer<TimerClock> timer_;
    std::shared_ptr<char> armed_; //!< expires when the armed call is cancelled or replaced
};

//! Wraps callbacks so that they do nothing once the object that has this member is destroyed.
class Liveness {
public:
    template <typename Function> auto guard(Function function) const
    {
        return [alive = std::weak_ptr<char>(token_), function = std::move(function)](auto&&... arguments) mutable {
            if (!alive.expired())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<char> token_ = std::make_shared<char>();
};

//! Milliseconds since the Unix epoch on the machine's wall clock. The clocks of two machines may differ.
inline std::int64_t unixMillis()
{
    using std::chrono::system_clock;
    return std::chrono::duration_cast<Millis>(system_clock::now().time_since_epoch()).count();
}

} // namespace agatevane::node
