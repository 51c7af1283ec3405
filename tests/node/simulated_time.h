#pragma once

#include "agatevane/base/instant.h"
#include "node/timer.h"
#include <asio/io_context.hpp>
#include <functional>

namespace agatevane::test {

//! While it exists, now(), bootNow() and the timers of `context` go by a clock that advances only in advance(), so that
//! neither a pause of the process nor the load of the machine matters. All that the test waits for must be timers.
class SimulatedTime {
public:
    explicit SimulatedTime(asio::io_context& context);
    ~SimulatedTime();
    SimulatedTime(const SimulatedTime&) = delete;
    SimulatedTime& operator=(const SimulatedTime&) = delete;

    //! Lets one step of time pass and carries out all that is due then.
    void advance();
    //! Advances until `condition` holds, but at most by `limit`. Returns true if it holds.
    bool runUntil(Millis limit, const std::function<bool()>& condition);

private:
    void runDue();
    std::size_t runExpiredTimers();

    asio::io_context& context_;
    node::Timer wakeUp_;
    Clock earlierClock_;
};

} // namespace agatevane::test
