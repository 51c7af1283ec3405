#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/instant.h"
#include "agatevane/event_http/parser.h"
#include <cstddef>
#include <limits>
#include <optional>

namespace agatevane::event_http {

//! Why a server has closed a connection, apart from an orderly end.
enum class CloseReason {
    ConnectionLimit, //!< all connections are in use and a new one needs the place
    SourceLimit, //!< the source address has too many connections
    HeaderTime,
    MessageTime,
    BodyRate,
    UnreadAnswer,
    HeaderSize,
    BodySize,
    Malformed,
    Memory, //!< the byte budget is used up
};

//! The limits on the clients of one server. The default values leave everything but the size of a message unlimited.
struct ServerLimits {
    MessageLimits message;
    std::size_t connections = std::numeric_limits<std::size_t>::max();
    std::size_t connectionsPerSource = 0; //!< 0: unlimited
    std::size_t queuedRequests = 16; //!< the server reads no more from a connection while this many requests wait
    Millis headerTime { 0 }; //!< from the first byte of a message to the end of its header; 0: unlimited
    Millis messageTime { 0 }; //!< from the first byte of a message to its last; 0: unlimited
    std::size_t minBodyRate = 0; //!< bytes per second that a body has to keep from `bodyRateGrace` on
    Millis bodyRateGrace { 0 };
    Millis unreadTime { 0 }; //!< for which a client may take no byte of an answer; 0: unlimited
    std::size_t socketBufferBytes = 0; //!< of the kernel in each direction of a connection; 0: the kernel's choice
};

//! True if connections have deadlines that have to be checked.
inline bool hasDeadlines(const ServerLimits& limits)
{
    return limits.headerTime > Millis(0) || limits.messageTime > Millis(0) || limits.minBodyRate > 0
        || limits.unreadTime > Millis(0);
}

//! The deadlines of one connection.
struct ConnectionDeadlines {
    Instant headerBy = Instant::max();
    Instant messageBy = Instant::max();
    Instant bodyRateFrom = Instant::max(); //!< from then on the body has to keep its lowest rate
    Instant answerTakenBy = Instant::max(); //!< the client has to take more of the answer by then
};

//! The deadlines of a message that begins, or whose reading continues, at `at`.
void startMessage(ConnectionDeadlines& deadlines, const ServerLimits& limits, Instant at);
//! The header is complete at `at`.
void startBody(ConnectionDeadlines& deadlines, const ServerLimits& limits, Instant at);
void endMessage(ConnectionDeadlines& deadlines);
//! An answer begins, or the client has taken a part of it.
void extendAnswer(ConnectionDeadlines& deadlines, const ServerLimits& limits, Instant at);
void endAnswer(ConnectionDeadlines& deadlines);

//! The limit that a connection exceeds at `at`, if any. `bodyBytes` have arrived of the current body.
std::optional<CloseReason> exceededLimit(
    const ConnectionDeadlines& deadlines, const ServerLimits& limits, std::size_t bodyBytes, Instant at);

//! What a connection holds, as far as closing it can free memory.
struct HeldMemory {
    std::size_t bytes = 0;
    Instant progressAt; //!< when bytes last arrived or were taken
};

//! Orders connections for closing: those that hold the most for the least progress have the highest value.
double closingOrder(const HeldMemory& memory, Instant at);

} // namespace agatevane::event_http

template <> struct agatevane::EnumNames<agatevane::event_http::CloseReason> {
    using Reason = agatevane::event_http::CloseReason;
    static constexpr std::array<std::pair<Reason, std::string_view>, 10> table { {
        { Reason::ConnectionLimit, "connection_limit" },
        { Reason::SourceLimit, "source_limit" },
        { Reason::HeaderTime, "header_time" },
        { Reason::MessageTime, "message_time" },
        { Reason::BodyRate, "body_rate" },
        { Reason::UnreadAnswer, "unread_answer" },
        { Reason::HeaderSize, "header_size" },
        { Reason::BodySize, "body_size" },
        { Reason::Malformed, "malformed" },
        { Reason::Memory, "memory" },
    } };
};
