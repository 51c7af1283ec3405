#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

//! Measures decision modules in simulated time; the same seed always gives the same results.
namespace agatevane::bench {

//! Runs events in time order; events with the same instant run in the order of insertion.
class Timeline {
public:
    Instant now() const { return now_; }

    void after(std::chrono::microseconds delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
    void at(Instant instant, std::function<void()> action)
    {
        events_.push({ instant, nextSequence_++, std::move(action) });
    }

    void runUntil(Instant end)
    {
        while (!events_.empty() && events_.top().instant <= end) {
            auto event = events_.top();
            events_.pop();
            now_ = event.instant;
            event.action();
        }
        now_ = end;
    }

private:
    struct Event {
        Instant instant;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return instant != other.instant ? instant > other.instant : sequence > other.sequence;
        }
    };

    Instant now_;
    std::uint64_t nextSequence_ = 0;
    std::priority_queue<Event> events_;
};

//! Draws an exponentially distributed duration with the given mean; the result is at least 1 us.
inline std::chrono::microseconds exponential(Random& random, double meanMs)
{
    double ms = std::exponential_distribution<double>(1 / meanMs)(random);
    return std::chrono::microseconds(1 + static_cast<std::int64_t>(ms * 1000));
}

//! Returns the value at the position `fraction` (0 to 1) of the sorted values; 0 if there are none.
double percentile(std::vector<double> values, double fraction);

} // namespace agatevane::bench
