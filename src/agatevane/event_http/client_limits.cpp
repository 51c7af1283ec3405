#include "agatevane/event_http/client_limits.h"

#include <algorithm>

namespace agatevane::event_http {

namespace {

    //! The rest of the memory is for the state of the fleet, for other nodes and workers, and for fragmentation.
    constexpr std::size_t memoryPerBudget = 4;
    constexpr std::size_t hundred = 100;
    //! Three quarters of the descriptors are for calls to workers and the store; what remains beside these shares is
    //! for other nodes and files.
    constexpr std::size_t callerDescriptorPercent = 18;
    constexpr std::size_t reservedDescriptorPercent = 1; //!< each for readiness checks and operators
    constexpr std::size_t minReservedDescriptors = 8;
    //! Each connection may hold at least this much, several times what an idle one holds, so that idle connections
    //! alone cause no pressure.
    constexpr std::size_t minBytesPerConnection = 16384;

    constexpr std::size_t minHeaderBytes = 4096;
    constexpr std::size_t minHeaderFields = 32;
    constexpr std::size_t minBodyBytes = 262144; //!< a job with the most steps and a specification of full length
    constexpr std::size_t minSocketBufferBytes = 4096;
    //! Twice the longest interruption of a link, because TCP sends again after up to twice the time.
    constexpr Millis minTime { 24000 };
    //! Bodies of full length that have to fit below the critical use. A body's buffer doubles while it grows, and one
    //! request must not be closed for its own size.
    constexpr std::size_t bodiesInShare = 4;

    constexpr std::size_t readinessBodyBytes = 4096;

} // namespace

std::size_t budgetBytes(const ClientLimits& limits, const MachineLimits& machine)
{
    return limits.budgetBytes > 0 ? limits.budgetBytes : machine.memoryBytes / memoryPerBudget;
}

std::size_t requestBytes(const ClientLimits& limits, const MachineLimits& machine)
{
    return limits.requestBytes > 0 ? limits.requestBytes : machine.memoryBytes / memoryPerBudget;
}

ServerLimits serverLimits(const ClientLimits& limits, const MachineLimits& machine, Audience audience)
{
    ServerLimits server;
    server.message = { limits.headerBytes, limits.bodyBytes, limits.headerFields };
    server.queuedRequests = limits.queuedRequests;
    server.headerTime = limits.headerTime;
    server.messageTime = limits.messageTime;
    server.minBodyRate = limits.minBodyRate;
    server.bodyRateGrace = limits.bodyRateGrace;
    server.unreadTime = limits.unreadTime;
    server.socketBufferBytes = limits.socketBufferBytes;
    server.connections = std::max(minReservedDescriptors, machine.descriptors * reservedDescriptorPercent / hundred);
    if (audience == Audience::Callers) {
        auto descriptors = machine.descriptors * callerDescriptorPercent / hundred;
        auto forMemory = shareOf(audience, budgetBytes(limits, machine)) / minBytesPerConnection;
        server.connections = limits.connections > 0 ? limits.connections : std::min(descriptors, forMemory);
        server.connectionsPerSource = limits.connectionsPerSource;
    } else if (audience == Audience::Readiness) {
        server.message.bodyBytes = readinessBodyBytes;
    }
    return server;
}

void checkLimits(
    const ClientLimits& limits, const MachineLimits& machine, const std::string& prefix, Findings& findings)
{
    auto require = [&](bool isMet, const char* name, const std::string& text) {
        if (!isMet)
            findings.push_back({ prefix + name, text });
    };
    auto atLeast = [&](std::size_t value, std::size_t least, const char* name) {
        require(value >= least, name, "is less than " + std::to_string(least));
    };
    auto longEnough = [&](Millis value, const char* name) {
        require(value >= minTime, name, "is shorter than " + std::to_string(minTime.count() / 1000) + " s");
    };
    atLeast(limits.headerBytes, minHeaderBytes, "headerBytes");
    atLeast(limits.headerFields, minHeaderFields, "headerFields");
    atLeast(limits.bodyBytes, minBodyBytes, "bodyBytes");
    atLeast(limits.queuedRequests, 1, "queuedRequests");
    atLeast(limits.socketBufferBytes, minSocketBufferBytes, "socketBufferBytes");
    longEnough(limits.headerTime, "headerS");
    longEnough(limits.messageTime, "messageS");
    longEnough(limits.bodyRateGrace, "bodyRateGraceS");
    longEnough(limits.unreadTime, "unreadS");
    auto budget = budgetBytes(limits, machine);
    require(budget <= machine.memoryBytes / 2, "budgetMb", "is more than half of the machine's memory");
    require(criticalBytes(shareOf(Audience::Callers, budget)) >= bodiesInShare * limits.bodyBytes, "budgetMb",
        "is too little for " + std::to_string(bodiesInShare) + " bodies of " + std::to_string(limits.bodyBytes)
            + " bytes");
    auto requests = requestBytes(limits, machine);
    require(requests <= machine.memoryBytes / 2, "requestMb", "is more than half of the machine's memory");
    require(requests >= bodiesInShare * limits.bodyBytes, "requestMb", "is too little for a body of full length");
    auto connections = serverLimits(limits, machine, Audience::Callers).connections;
    require(connections > 0 && connections <= machine.descriptors / 2, "connections",
        "is 0 or more than half of the machine's file descriptors");
    require(connections * minBytesPerConnection <= shareOf(Audience::Callers, budget), "connections",
        "is too much for the memory of all connections");
}

} // namespace agatevane::event_http
