#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

//! Seeded measurement of decision modules in simulated time; results repeat exactly for the same seed.
namespace agatevane::bench {

//! Events in the order of their instants; equal instants keep the order of insertion.
class Timeline {
public:
    Instant now() const { return now_; }

    void after(std::chrono::microseconds delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }
    void at(Instant instant, std::function<void()> action) { events_.push({ instant, next_++, std::move(action) }); }

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
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return instant != other.instant ? instant > other.instant : number > other.number;
        }
    };

    Instant now_;
    std::uint64_t next_ = 0;
    std::priority_queue<Event> events_;
};

//! Exponentially distributed with the given mean; at least 1 us.
inline std::chrono::microseconds exponential(Random& random, double meanMs)
{
    double ms = std::exponential_distribution<double>(1 / meanMs)(random);
    return std::chrono::microseconds(1 + static_cast<std::int64_t>(ms * 1000));
}

double percentile(std::vector<double> values, double share);

} // namespace agatevane::bench
