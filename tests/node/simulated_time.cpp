#include "simulated_time.h"

#include <utility>

namespace agatevane::test {

namespace {

    //! A part of a millisecond, because the store counts in whole ones and the nodes don't.
    constexpr std::chrono::microseconds timeStep { 250 };

    Instant& simulatedNow()
    {
        static Instant at;
        return at;
    }

    Instant readSimulatedNow()
    {
        return simulatedNow();
    }

} // namespace

SimulatedTime::SimulatedTime(asio::io_context& context)
    : context_(context)
    , wakeUp_(context)
    , earlierClock_(std::exchange(processClock(), { readSimulatedNow, readSimulatedNow }))
{
    simulatedNow() = Instant(std::chrono::hours(1)) + 3 * timeStep;
}

SimulatedTime::~SimulatedTime()
{
    processClock() = earlierClock_;
}

void SimulatedTime::advance()
{
    simulatedNow() += timeStep;
    runDue();
}

bool SimulatedTime::runUntil(Millis limit, const std::function<bool()>& condition)
{
    auto end = now() + limit;
    while (!condition()) {
        if (now() >= end)
            return false;
        advance();
    }
    return true;
}

//! What is due may make more due at once.
void SimulatedTime::runDue()
{
    std::size_t calls = 0;
    do {
        context_.restart();
        calls = runExpiredTimers();
        calls += context_.poll();
    } while (calls > 0);
}

//! The event loop sleeps on the system's clock. A timer that has expired already makes it compare all with this one.
//! Returns the number of other calls that it has made.
std::size_t SimulatedTime::runExpiredTimers()
{
    bool isAwake = false;
    wakeUp_.arm(Millis(-1), [&isAwake] { isAwake = true; });
    std::size_t calls = 0;
    while (!isAwake)
        calls += context_.run_one();
    return calls - 1;
}

} // namespace agatevane::test
