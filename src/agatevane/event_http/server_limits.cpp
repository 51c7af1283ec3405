#include "agatevane/event_http/server_limits.h"

namespace agatevane::event_http {

namespace {

    Instant endOf(Millis limit, Instant at)
    {
        return limit > Millis(0) ? at + limit : Instant::max();
    }

    double secondsBetween(Instant from, Instant to)
    {
        return std::chrono::duration<double>(to - from).count();
    }

} // namespace

void startMessage(ConnectionDeadlines& deadlines, const ServerLimits& limits, Instant at)
{
    deadlines.headerBy = endOf(limits.headerTime, at);
    deadlines.messageBy = endOf(limits.messageTime, at);
    deadlines.bodyRateFrom = Instant::max();
}

void startBody(ConnectionDeadlines& deadlines, const ServerLimits& limits, Instant at)
{
    deadlines.headerBy = Instant::max();
    if (limits.minBodyRate > 0)
        deadlines.bodyRateFrom = at + limits.bodyRateGrace;
}

void endMessage(ConnectionDeadlines& deadlines)
{
    deadlines.headerBy = deadlines.messageBy = deadlines.bodyRateFrom = Instant::max();
}

void extendAnswer(ConnectionDeadlines& deadlines, const ServerLimits& limits, Instant at)
{
    deadlines.answerTakenBy = endOf(limits.unreadTime, at);
}

void endAnswer(ConnectionDeadlines& deadlines)
{
    deadlines.answerTakenBy = Instant::max();
}

std::optional<CloseReason> exceededLimit(
    const ConnectionDeadlines& deadlines, const ServerLimits& limits, std::size_t bodyBytes, Instant at)
{
    if (at >= deadlines.answerTakenBy)
        return CloseReason::UnreadAnswer;
    if (at >= deadlines.headerBy)
        return CloseReason::HeaderTime;
    if (at >= deadlines.messageBy)
        return CloseReason::MessageTime;
    if (at > deadlines.bodyRateFrom) {
        auto expected = secondsBetween(deadlines.bodyRateFrom, at) * static_cast<double>(limits.minBodyRate);
        if (static_cast<double>(bodyBytes) < expected)
            return CloseReason::BodyRate;
    }
    return std::nullopt;
}

double closingOrder(const HeldMemory& memory, Instant at)
{
    // Without the added second, a client that sends continuously would never be closed, whatever it holds.
    constexpr double leastSeconds = 1;
    return static_cast<double>(memory.bytes) * (leastSeconds + secondsBetween(memory.progressAt, at));
}

} // namespace agatevane::event_http
