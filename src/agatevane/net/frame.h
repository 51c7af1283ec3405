#pragma once

#include "agatevane/net/rpc.h"
#include <array>
#include <cstring>

namespace agatevane::net {

constexpr std::size_t headerBytes = 4 + 8 + 2; //!< length of the rest, request id and kind

struct FrameHeader {
    std::size_t payloadBytes = 0;
    std::uint64_t requestId = 0;
    std::uint16_t kind = 0;
};

inline std::string encodeFrame(std::uint64_t requestId, std::uint16_t kind, std::string_view payload)
{
    auto length = static_cast<std::uint32_t>(sizeof requestId + sizeof kind + payload.size());
    std::string bytes(headerBytes, '\0');
    std::memcpy(bytes.data(), &length, sizeof length);
    std::memcpy(bytes.data() + 4, &requestId, sizeof requestId);
    std::memcpy(bytes.data() + 12, &kind, sizeof kind);
    bytes.append(payload);
    return bytes;
}

//! Returns false if the length is out of bounds; the caller then closes the connection.
inline bool decodeHeader(const std::array<char, headerBytes>& bytes, FrameHeader& header)
{
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data(), sizeof length);
    std::memcpy(&header.requestId, bytes.data() + 4, sizeof header.requestId);
    std::memcpy(&header.kind, bytes.data() + 12, sizeof header.kind);
    constexpr std::size_t fixedBytes = headerBytes - sizeof length;
    if (length < fixedBytes || length > maxFrameBytes)
        return false;
    header.payloadBytes = length - fixedBytes;
    return true;
}

} // namespace agatevane::net
