#include "agatevane/timeline/ring.h"

#include <algorithm>
#include <chrono>

namespace agatevane::timeline {

Ring::Ring(std::string process, std::size_t capacity)
    : process_(std::move(process))
    , capacity_(std::max<std::size_t>(1, capacity))
{
}

void Ring::record(Event event)
{
    event.process = process_;
    event.unixMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    if (event.detail.size() > maxDetailBytes)
        event.detail.resize(maxDetailBytes);
    std::lock_guard lock(mutex_);
    // The clock is advanced under the lock, so that the clocks of one ring are in the order of its sequences.
    event.clock = clock_.tick();
    event.sequence = ++recordedCount_;
    if (events_.size() < capacity_)
        events_.push_back(std::move(event));
    else
        events_[(recordedCount_ - 1) % capacity_] = std::move(event);
}

Page Ring::since(std::uint64_t since, std::size_t limit) const
{
    Page page { .process = process_, .next = since, .dropped = 0, .events = {} };
    std::lock_guard lock(mutex_);
    std::uint64_t oldest = recordedCount_ - events_.size() + 1;
    // A restarted process counts from 1 again. A `since` beyond its last event comes from a reader of an earlier run,
    // which gets all events that the ring holds.
    std::uint64_t first = since > recordedCount_ ? oldest : std::max(since + 1, oldest);
    if (since <= recordedCount_)
        page.dropped = first - since - 1;
    std::uint64_t end = std::min<std::uint64_t>(recordedCount_ + 1, first + limit);
    page.events.reserve(end - first);
    for (auto sequence = first; sequence < end; ++sequence)
        page.events.push_back(events_[(sequence - 1) % capacity_]);
    page.next = end - 1;
    return page;
}

} // namespace agatevane::timeline
