#pragma once

#include "agatevane/base/finding.h"
#include "agatevane/event_http/byte_budget.h"
#include "agatevane/event_http/server_limits.h"

namespace agatevane::event_http {

//! The settings of a process that limit what its HTTP clients may use. A client within the documented limits reaches
//! none of the defaults: links may be interrupted for 12 s, after which TCP may take as long again to send the next
//! segment, and a job has at most 4,000 bytes and its steps.
struct ClientLimits {
    std::size_t budgetBytes = 0; //!< memory for all connections; 0: a quarter of the machine's memory
    std::size_t requestBytes = 0; //!< memory for callers' requests under way; 0: a quarter of the machine's memory
    std::size_t connections = 0; //!< at the callers' address; 0: a share of the machine's file descriptors
    std::size_t connectionsPerSource = 0; //!< 0: unlimited, because many callers may share an address
    std::size_t headerBytes = 16384;
    std::size_t headerFields = 128;
    std::size_t bodyBytes = 1048576;
    Millis headerTime { 60000 };
    Millis messageTime { 180000 };
    std::size_t minBodyRate = 256; //!< bytes per second
    Millis bodyRateGrace { 60000 }; //!< a body may be slower at first
    Millis unreadTime { 60000 };
    std::size_t queuedRequests = 16; //!< of one connection
    std::size_t socketBufferBytes = 16384; //!< of the kernel in each direction of a connection
};

//! What the machine has.
struct MachineLimits {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

std::size_t budgetBytes(const ClientLimits& limits, const MachineLimits& machine);
std::size_t requestBytes(const ClientLimits& limits, const MachineLimits& machine);
//! The limits of the server at the address for `audience`.
ServerLimits serverLimits(const ClientLimits& limits, const MachineLimits& machine, Audience audience);
//! Adds a finding for each value with which the process could not serve its clients. `prefix` precedes the names of the
//! settings.
void checkLimits(
    const ClientLimits& limits, const MachineLimits& machine, const std::string& prefix, Findings& findings);

} // namespace agatevane::event_http
