#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/http/server.h"
#include "agatevane/timeline/event.h"
#include <mutex>
#include <string>
#include <vector>

namespace agatevane::timeline {

//! A contiguous range of the events of one process, oldest first.
struct Page {
    std::string process;
    std::uint64_t next = 0; //!< value to pass as `since` to get the events that follow
    std::uint64_t dropped = 0; //!< events after `since` that the ring no longer holds
    std::vector<Event> events;

    bool operator==(const Page&) const = default;
};

constexpr std::size_t defaultRingEvents = 8192;
constexpr std::size_t maxPageEvents = 10000;
constexpr std::size_t maxDetailBytes = 256;

//! Holds the latest events of this process in bounded memory. Thread-safe.
class Ring {
public:
    explicit Ring(std::string process, std::size_t capacity = defaultRingEvents);

    //! Sets the clock, sequence, process and wall clock of `event` and adds it. Truncates its detail to
    //! `maxDetailBytes`.
    void record(Event event);

    //! Returns at most `limit` events whose sequence is larger than `since`.
    Page since(std::uint64_t since, std::size_t limit = maxPageEvents) const;

    LamportClock& clock() { return clock_; }

private:
    const std::string process_;
    const std::size_t capacity_;
    LamportClock clock_;
    mutable std::mutex mutex_;
    std::vector<Event> events_; //!< the event with number `sequence` is at (sequence - 1) % capacity
    std::uint64_t recordedCount_ = 0; //!< number of events ever recorded
};

std::string encode(const Page& page);
Findings decode(const std::string& text, Page& page);

//! Adds `GET /v1/timeline?since=<sequence>&limit=<events>`. The ring must outlive the server.
void registerTimelineRoute(http::Server& server, const Ring& ring);

} // namespace agatevane::timeline
